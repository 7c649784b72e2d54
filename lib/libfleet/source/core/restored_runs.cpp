#include <fleet/core/scheduler_core.hpp>

#include <utility>

namespace fleet {

namespace {

// All agents report to a new scheduler within about half a second. Members of a gang that were started wait 3 s for the others.
constexpr milliseconds restoredGangWait { 1200 };

} // namespace

/// Answers a fleet that comes back all at once, and take-overs in quick succession: what was recorded and not ordered is
/// ordered, not placed anew, so that each scheduler begins with less to do than the one before it.
void scheduler_core::orderRestoredRuns(time_point now)
{
    for (auto& [id, run] : m_state.runs) {
        if (run.restored == restore_state::Absent && run.phase == run_phase::Placed)
            orderRestoredRun(run, now);
    }
}

void scheduler_core::orderRestoredRun(live_run& run, time_point now)
{
    if (!mayStartRestored(run, now))
        return stop(run, "not at its worker", now);
    const auto& id = run.id;
    const auto& step = run.job->job.spec.steps[id.task.step];
    const auto& tasks = run.job->progress.occurrences[id.task.occurrence].steps[id.task.step];
    if (step.gang) {
        for (auto entry = firstRunOf(m_state, id.task); entry != m_state.runs.end() && isSameStep(entry->first.task, id.task); ++entry) {
            const auto& member = entry->second;
            const bool known = member.restored != restore_state::Unknown;
            if (known && (member.restored != restore_state::Absent || mayStartRestored(member, now)))
                continue;
            // The members of a gang start together, so this one waits until the others are known.
            if (now - run.placedAt > restoredGangWait)
                stop(run, "not at its worker", now);
            return;
        }
    }
    run.restored = restore_state::Ordered;
    start_effect order { id, run.worker, run.life, tasks[step.gang ? 0 : id.task.index].checkpoint };
    order.slack = slackOf(*run.job, unitOf(m_state, id.task), now);
    order.waited = std::chrono::duration_cast<milliseconds>(now - run.job->acceptedAt);
    order.isRecorded = true;
    m_effects.emplace_back(std::move(order));
}

bool scheduler_core::mayStartRestored(const live_run& run, time_point now) const
{
    if (run.job == nullptr || run.phase != run_phase::Placed)
        return false;
    placement_request request;
    request.step = &run.job->job.spec.steps[run.id.task.step];
    request.service = run.job->rule.service;
    return run.host->reachable && run.host->blockedUntil <= now && isEligible(*run.host, request, m_state);
}

} // namespace fleet
