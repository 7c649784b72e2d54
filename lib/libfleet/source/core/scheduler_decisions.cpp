#include <fleet/core/near_data.hpp>
#include <fleet/core/scheduler_core.hpp>
#include <fleet/core/stragglers.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

constexpr double faultScorePerStraggler = 1;

} // namespace

std::vector<effect> scheduler_core::decide(time_point now, std::int64_t unixMs)
{
    m_decidedAt = now;
    m_idleServices.reset();
    beginDueOccurrences(unixMs);
    stopRunsOfEndedJobs(now);
    stopBrokenGangs(now);
    orderRestoredRuns(now);
    stopRunsOnDrainingWorkers(now);
    stopStragglers(now);
    placePendingUnits(now);
    return std::exchange(m_effects, {});
}

void scheduler_core::beginDueOccurrences(std::int64_t unixMs)
{
    for (auto& [id, job] : m_state.jobs) {
        if (isFinal(job.progress.state))
            continue;
        const auto& spec = job.job.spec;
        while (job.progress.occurrences.size() < spec.occurrences()) {
            const auto next = static_cast<std::int64_t>(job.progress.occurrences.size());
            if (spec.repeatCount > 0 && spec.firstDueUnixMs + next * spec.intervalMs > unixMs)
                break;
            beginOccurrence(job.progress, spec);
        }
    }
}

void scheduler_core::stop(live_run& run, const std::string& reason, time_point now)
{
    run.phase = run_phase::Stopping;
    run.stoppedAt = now;
    m_evictionCandidates.clear();
    m_releases.reset();
    m_effects.emplace_back(
        stop_effect { run.id, run.worker, reason, run.percent, run.ratePercent, lostWorkOf(m_state, run, now) });
}

void scheduler_core::stopUnit(const unit_id& unit, const std::string& reason, time_point now)
{
    const task_id first { unit.job, unit.occurrence, unit.step, unit.index };
    for (auto entry = firstRunOf(m_state, first); entry != m_state.runs.end() && isSameStep(entry->first.task, first); ++entry) {
        auto& run = m_state.runs.at(entry->first);
        if (run.phase != run_phase::Stopping && unitOf(m_state, entry->first.task) == unit)
            stop(run, reason, now);
    }
}

void scheduler_core::stopRunsOfEndedJobs(time_point now)
{
    for (auto& [id, run] : m_state.runs) {
        if (run.phase == run_phase::Stopping || run.job == nullptr)
            continue;
        const auto state = run.job->progress.state;
        if (state == job_state::Cancelled || state == job_state::Failed)
            stop(run, state == job_state::Failed ? "job failed" : "job cancelled", now);
    }
}

void scheduler_core::stopBrokenGangs(time_point now)
{
    const auto isWaiting = [](const task_progress& member) { return member.status == task_status::Waiting; };
    // The runs of a step follow one another, so its members are examined once.
    const std::vector<task_progress>* examined = nullptr;
    bool broken = false;
    for (auto& [id, run] : m_state.runs) {
        if (run.phase == run_phase::Stopping || run.job == nullptr || !run.job->job.spec.steps[id.task.step].gang)
            continue;
        const auto& members = run.job->progress.occurrences[id.task.occurrence].steps[id.task.step];
        if (&members != examined) {
            examined = &members;
            broken = std::any_of(members.begin(), members.end(), isWaiting);
        }
        if (broken)
            stop(run, "another member ended", now);
    }
}

void scheduler_core::stopStragglers(time_point now)
{
    for (auto& [id, run] : m_state.runs) {
        if (run.phase != run_phase::Active || run.job == nullptr || !run.host->reachable)
            continue;
        const auto& step = run.job->job.spec.steps[id.task.step];
        // A gang member at 100 % waits for the others and is not stalled.
        if (step.lasting || run.percent >= 100)
            continue;
        const bool stalled = isStalled(m_state, run, m_state.limits.gangTimeout, now);
        const bool slow = isSlow(m_state, run) && !run.job->movedAsSlow.contains(unitOf(m_state, id.task));
        if ((!stalled && !slow) || !canRestartElsewhere(run, now))
            continue;
        if (!stalled)
            run.job->movedAsSlow.insert(unitOf(m_state, id.task));
        auto& worker = *run.host;
        worker.faultScore = faultScoreOf(worker, now) + faultScorePerStraggler;
        worker.faultScoreAt = now;
        run.job->failedOn.insert(run.worker);
        stopUnit(unitOf(m_state, id.task), stalled ? "it stands still" : "it is slow there", now);
    }
}

bool scheduler_core::canRestartElsewhere(const live_run& run, time_point now)
{
    const auto& job = *run.job;
    auto request = requestFor(job, unitOf(m_state, run.id.task), now);
    request.avoidedWorkers.insert(run.worker);
    request.excludeSuspects = true;
    request.liveTasksByWorker.clear();
    request.remoteAllowed = prefersOneRack(*request.step) && now - run.placedAt > extraRunTimeElsewhere(job, run.id.task.step);
    return findPlaces(m_state, request, now).has_value();
}

} // namespace fleet
