#include <fleet/core/scheduler_core.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

std::string_view toString(loss_reason reason)
{
    switch (reason) {
    case loss_reason::LeaseExpired:
        return "the lease of everything on its worker has expired";
    case loss_reason::AgentSilent:
        return "no report from its agent until the lease must have expired";
    case loss_reason::OtherIncarnation:
        return "its worker has another incarnation, and the lease of earlier ones has expired";
    case loss_reason::StopConfirmed:
        return "its worker does not list it after a stop";
    case loss_reason::StartRefused:
        return "its start was refused";
    case loss_reason::NotOrdered:
        return "its start was not sent";
    }
    return "";
}

/// Compares the incarnation stored in each run: the worker's entry has none yet if it was created by a restored record.
void scheduler_core::endRunsOfOtherIncarnations(const worker_row& worker, const worker_report& report, time_point now)
{
    // One that is not listed may have ended on the present incarnation all the same.
    if (report.othersMayRun || report.endsTruncated)
        return;
    const auto& present = report.worker.incarnation;
    for (const auto& id : runsOfOtherIncarnations(worker, present)) {
        auto& run = m_state.runs.at(id);
        // An order that was sent to an earlier incarnation may still start the run on one with the same id; a stop excludes it.
        if (run.life.instance != present.instance) {
            if (!outlastsReplacement(run, now))
                loseRun(id, loss_reason::OtherIncarnation, now);
        } else if (run.phase != run_phase::Stopping)
            stop(run, "its worker was started again", now);
    }
}

std::vector<run_id> scheduler_core::runsOfOtherIncarnations(const worker_row& worker, const worker_incarnation& life) const
{
    std::vector<run_id> others;
    std::copy_if(worker.runs.begin(), worker.runs.end(), std::back_inserter(others),
        [&](const run_id& id) { return m_state.runs.at(id).life != life; });
    return others;
}

void scheduler_core::markWorkerLost(const std::string& worker, time_point now)
{
    loseAllRuns(worker, loss_reason::AgentSilent, now);
}

void scheduler_core::loseAllRuns(const std::string& worker, loss_reason reason, time_point now)
{
    const auto lost = workerOf(m_state, worker).runs;
    for (const auto& id : lost) {
        if (!mayRunUnseen(m_state.runs.at(id), now))
            loseRun(id, reason, now);
    }
}

/// The lease that its agent knows of is that of an earlier incarnation, which is not the one that may run it.
bool scheduler_core::mayRunUnseen(const live_run& run, time_point now)
{
    return run.mayRunUnseenUntil && now < *run.mayRunUnseenUntil;
}

/// A run that an earlier scheduler ordered was as a rule answered long ago. After a loss of power of all machines each recorded run is on a
/// worker that another one has replaced, so all of them would wait.
bool scheduler_core::outlastsReplacement(const live_run& run, time_point now)
{
    return run.restored != restore_state::Unknown && mayRunUnseen(run, now);
}

void scheduler_core::startOrdered(const run_id& run, time_point mayRunUntil)
{
    if (const auto found = m_state.runs.find(run); found != m_state.runs.end())
        found->second.mayRunUnseenUntil = mayRunUntil;
}

void scheduler_core::startAccepted(const run_id& run, time_point now)
{
    const auto found = m_state.runs.find(run);
    if (found == m_state.runs.end())
        return;
    auto& started = found->second;
    started.mayRunUnseenUntil.reset();
    if (started.phase != run_phase::Placed)
        return;
    started.phase = run_phase::Active;
    started.unconfirmed = false;
    started.restored = restore_state::None;
    started.missingSince.reset();
    started.advancedAt = started.windowStartedAt = started.checkpointAt = now;
}

void scheduler_core::startRefused(const run_id& run, bool insufficientResources, time_point now)
{
    const auto found = m_state.runs.find(run);
    if (found == m_state.runs.end())
        return;
    if (insufficientResources)
        found->second.host->blockedUntil = now + m_state.limits.refusalBackoff;
    // A later incarnation has taken an earlier scheduler's order of it. Lists and stops show what becomes of it.
    if (found->second.reportedAt != time_point {})
        return;
    // The run may have ended there already; the worker's answer to a stop shows it.
    if (found->second.restored == restore_state::Ordered)
        return stop(found->second, "its restored start was refused", now);
    loseRun(run, loss_reason::StartRefused, now);
}

void scheduler_core::markStartUnconfirmed(const run_id& run)
{
    if (const auto found = m_state.runs.find(run); found != m_state.runs.end())
        found->second.unconfirmed = true;
}

void scheduler_core::confirmRunAbsent(const run_id& run, time_point now, loss_reason reason)
{
    const auto found = m_state.runs.find(run);
    if (found == m_state.runs.end())
        return;
    // A worker with another id says nothing of the run: its agent answers from the leases that it knows of.
    const bool isAnsweredByOther = found->second.life.instance != found->second.host->description.incarnation.instance;
    if (isAnsweredByOther && outlastsReplacement(found->second, now))
        return;
    loseRun(run, reason, now);
}

void scheduler_core::loseRun(const run_id& id, loss_reason reason, time_point now)
{
    const auto found = m_state.runs.find(id);
    if (found == m_state.runs.end())
        return;
    const auto& run = found->second;
    const auto since = [now](time_point then) { return std::chrono::duration_cast<milliseconds>(now - then); };
    m_losses.push_back({ id, run.worker, run.life, reason, run.phase == run_phase::Active, since(run.placedAt),
        since(std::max(run.placedAt, run.reportedAt)) });
    finishRun(id, run_outcome::Lost, {}, now);
}

std::vector<run_loss> scheduler_core::takeLosses()
{
    return std::exchange(m_losses, {});
}

} // namespace fleet
