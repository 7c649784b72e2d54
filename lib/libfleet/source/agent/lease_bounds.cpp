#include <fleet/agent/lease_bounds.hpp>

#include <algorithm>

namespace fleet {

lease_bounds::lease_bounds(const agent_timing& timing, time_point now)
    : m_timing(timing)
    , m_lastSentAt(now)
    , m_ownEndAt(now + timing.maxLeaseDuration())
    , m_displacedEndAt(m_ownEndAt)
{
}

void lease_bounds::deadlineSent(time_point sentAt, time_point endsAt)
{
    m_lastSentAt = std::max(m_lastSentAt, sentAt);
    m_ownEndAt = std::max(m_ownEndAt, endsAt);
}

void lease_bounds::restarted()
{
    // What the earlier incarnation had carried out of earlier calls has ended with it: the worker itself says that it holds nothing of before.
    m_displacedEndAt = std::max(m_displacedEndAt, m_ownEndAt);
    m_earlierCallsEndAt = {};
    m_earlierCallsPossible = true;
}

void lease_bounds::earlierCallsExcluded(time_point now)
{
    if (!m_earlierCallsPossible)
        return;
    m_earlierCallsPossible = false;
    m_earlierCallsEndAt = now + agent_timing::longestDuration(m_timing.longestLease);
}

void lease_bounds::replaced()
{
    m_displacedEndAt = allEndAt();
    m_earlierCallsPossible = false;
    m_earlierCallsEndAt = {};
}

time_point lease_bounds::allEndAt() const
{
    const auto known = std::max({ m_displacedEndAt, m_ownEndAt, m_earlierCallsEndAt });
    if (!m_earlierCallsPossible)
        return known;
    return std::max(known, m_lastSentAt + m_timing.maxCallDelay + agent_timing::longestDuration(m_timing.longestLease));
}

} // namespace fleet
