#include <fleet/scheduler/silence_bound.hpp>

#include <algorithm>

namespace fleet {

silence_bound::silence_bound(time_point now)
    : m_lastReportAt(now)
{
}

void silence_bound::reported(const worker_incarnation& incarnation, bool responsive, time_point now)
{
    m_lastReportAt = now;
    if (!m_hasReported || incarnation != m_incarnation) {
        m_incarnation = incarnation;
        m_hasResponded = false;
    }
    m_hasReported = true;
    if (!m_hasResponded)
        m_respondsSince = now;
    m_hasResponded = m_hasResponded || responsive;
}

time_point silence_bound::endsAt(const directory_timing& timing) const
{
    const auto extended = m_lastReportAt + timing.agents.permission + timing.agents.maxLeaseDuration() + timing.lossMargin;
    // Before the first report, a previous scheduler may have answered this agent until its epoch's validity ran out.
    if (!m_hasReported)
        return extended + timing.epochValidity;
    return std::max(extended, m_respondsSince + agent_timing::longestDuration(timing.agents.longestLease) + timing.lossMargin);
}

} // namespace fleet
