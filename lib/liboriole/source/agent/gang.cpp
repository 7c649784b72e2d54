#include <oriole/agent/gang.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

gang_lead::gang_lead(const attempt& gangAttempt, std::string leadWorker, time_point now)
    : m_leadWorker(std::move(leadWorker))
{
    for (const auto& allocation : gangAttempt.allocations)
        m_members[allocation.worker] = { task_phase::Reserved, now };
}

void gang_lead::recordPhase(const std::string& worker, task_phase phase, const std::string& reason, time_point now)
{
    const auto found = m_members.find(worker);
    if (found == m_members.end() || m_end.has_value())
        return;

    found->second.lastHeard = now;
    if (found->second.phase == task_phase::Finished)
        return;
    found->second.phase = phase;

    if (phase == task_phase::Evicting)
        end(task_phase::Evicted, "evicted on worker " + worker);
    else if (phase == task_phase::Finished)
        allMembersIn(task_phase::Finished) ? end(task_phase::Finished, "") : void();
    else if (isTerminal(phase))
        end(phase, std::string(toString(phase)) + " on worker " + worker + (reason.empty() ? "" : ": " + reason));
}

bool gang_lead::readyToStart(time_point now, milliseconds maxHeartbeatAge) const
{
    const auto isRecent
        = [&](const auto& item) { return item.first == m_leadWorker || now - item.second.lastHeard <= maxHeartbeatAge; };
    return !m_started && !m_end && allMembersIn(task_phase::Committed)
        && std::all_of(m_members.begin(), m_members.end(), isRecent);
}

void gang_lead::endIfMemberSilent(time_point now, milliseconds lease)
{
    if (m_end.has_value())
        return;
    for (const auto& [worker, state] : m_members) {
        // No further heartbeats are required of a finished member.
        if (worker == m_leadWorker || state.phase == task_phase::Finished || now - state.lastHeard < lease)
            continue;
        end(m_started ? task_phase::Lost : task_phase::Released, "worker " + worker + " is silent");
        return;
    }
}

void gang_lead::end(task_phase phase, const std::string& reason)
{
    if (m_end.has_value())
        return;
    // Released means that no task has started; after the start, tasks of other members may already run.
    const bool startedElsewhere = m_started && phase == task_phase::Released;
    m_end = gang_answer { startedElsewhere ? task_phase::Evicted : phase, reason };
}

gang_answer gang_lead::answer() const
{
    if (m_end.has_value())
        return *m_end;
    return { m_started ? task_phase::Running : task_phase::Committed, "" };
}

bool gang_lead::allMembersIn(task_phase phase) const
{
    return std::all_of(
        m_members.begin(), m_members.end(), [&](const auto& item) { return item.second.phase == phase; });
}

} // namespace oriole
