#include <oriole/entry/scheduler_pacer.hpp>

namespace oriole {

namespace {

constexpr milliseconds periodWhileJobsWait { 250 };
constexpr milliseconds longestPeriod { 1000 };

// The core's longest back-off with its jitter.
constexpr milliseconds longestBackOff { 3000 };

// The core makes at least so many searches in one run before it leaves the rest to the next.
constexpr std::size_t searchesPerRun = 48;

} // namespace

void scheduler_pacer::backedOff(time_point now)
{
    m_changed = true;
    m_backOffsUntil = now + longestBackOff;
}

bool scheduler_pacer::due(time_point now, std::size_t waitingJobs) const
{
    if (m_changed || m_turnsOwed > 0)
        return true;
    if (waitingJobs > 0 && now < m_backOffsUntil)
        return true;
    return now - m_lastRun >= (waitingJobs > 0 ? periodWhileJobsWait : longestPeriod);
}

void scheduler_pacer::ran(time_point now, std::size_t waitingJobs, bool decided)
{
    if (m_changed)
        m_turnsOwed = waitingJobs / searchesPerRun;
    else if (m_turnsOwed > 0)
        --m_turnsOwed;
    m_changed = decided;
    m_lastRun = now;
}

} // namespace oriole
