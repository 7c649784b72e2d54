#include <oriole/store/circuit_breaker.hpp>

#include <algorithm>

namespace oriole {

circuit_breaker::circuit_breaker(const circuit_breaker_options& options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

bool circuit_breaker::allow(time_point now)
{
    if (!m_down)
        return true;
    if (m_probing || now < m_probeDue)
        return false;
    m_probing = true;
    return true;
}

void circuit_breaker::succeeded(milliseconds latency)
{
    m_failuresInRow = 0;
    m_down = false;
    m_probing = false;
    m_backOff = milliseconds(0);
    countLatency(latency);
}

void circuit_breaker::failed(time_point now)
{
    ++m_failuresInRow;
    // While down only the outcome of the probe counts, not that of calls sent before.
    if (m_down && !m_probing)
        return;
    if (m_down || m_failuresInRow >= m_options.failuresUntilDown)
        open(now);
}

void circuit_breaker::dropped()
{
    m_probing = false;
}

store_health circuit_breaker::health() const
{
    if (m_down)
        return store_health::Down;
    return m_slow ? store_health::Slow : store_health::Up;
}

void circuit_breaker::open(time_point now)
{
    m_down = true;
    m_probing = false;
    m_backOff = m_backOff.count() == 0 ? m_options.firstBackOff : std::min(m_backOff * 2, m_options.longestBackOff);
    // Half of the back-off is fixed and half is random, so that the processes do not probe in step.
    std::uniform_int_distribution<milliseconds::rep> jitter(0, m_backOff.count() / 2);
    m_probeDue = now + m_backOff / 2 + milliseconds(jitter(m_random));
}

void circuit_breaker::countLatency(milliseconds latency)
{
    const bool slow = latency > m_options.slowLimit;
    m_slowInRow = slow ? m_slowInRow + 1 : 0;
    m_fastInRow = slow ? 0 : m_fastInRow + 1;
    if (m_slowInRow >= m_options.slowRepliesUntilSlow)
        m_slow = true;
    if (m_fastInRow >= m_options.slowRepliesUntilSlow)
        m_slow = false;
}

} // namespace oriole
