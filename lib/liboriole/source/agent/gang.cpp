#include <oriole/agent/gang.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

gang_lead::gang_lead(const attempt& led, std::string self, time_point now)
    : m_self(std::move(self))
{
    for (const auto& share : led.allocations)
        m_members[share.worker] = { task_phase::Reserved, now };
}

void gang_lead::heard(const std::string& worker, task_phase phase, const std::string& reason, time_point now)
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
        all(task_phase::Finished) ? end(task_phase::Finished, "") : void();
    else if (isEnd(phase))
        end(phase, std::string(toString(phase)) + " on worker " + worker + (reason.empty() ? "" : ": " + reason));
}

bool gang_lead::readyToStart(time_point now, milliseconds recency) const
{
    const auto heardRecently
        = [&](const auto& item) { return item.first == m_self || now - item.second.lastHeard <= recency; };
    return !m_started && !m_end && all(task_phase::Committed)
        && std::all_of(m_members.begin(), m_members.end(), heardRecently);
}

void gang_lead::checkSilence(time_point now, milliseconds lease)
{
    if (m_end.has_value())
        return;
    for (const auto& [worker, state] : m_members) {
        // A member that has finished owes nothing more.
        if (worker == m_self || state.phase == task_phase::Finished || now - state.lastHeard < lease)
            continue;
        end(m_started ? task_phase::Lost : task_phase::Released, "worker " + worker + " is silent");
        return;
    }
}

void gang_lead::end(task_phase phase, const std::string& reason)
{
    if (m_end.has_value())
        return;
    // Released promises that no task has started; after the start others may run already.
    const bool startedElsewhere = m_started && phase == task_phase::Released;
    m_end = gang_answer { startedElsewhere ? task_phase::Evicted : phase, reason };
}

gang_answer gang_lead::answer() const
{
    if (m_end.has_value())
        return *m_end;
    return { m_started ? task_phase::Running : task_phase::Committed, "" };
}

bool gang_lead::all(task_phase phase) const
{
    return std::all_of(
        m_members.begin(), m_members.end(), [&](const auto& item) { return item.second.phase == phase; });
}

} // namespace oriole
