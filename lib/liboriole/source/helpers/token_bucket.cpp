#include <oriole/helpers/token_bucket.hpp>

#include <algorithm>

namespace oriole {

token_bucket::token_bucket(double tokensPerSecond, double burst, time_point start)
    : m_tokensPerSecond(tokensPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
    , m_refilled(start)
{
}

bool token_bucket::take(time_point now)
{
    if (now > m_refilled) {
        const std::chrono::duration<double> elapsed = now - m_refilled;
        m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_tokensPerSecond);
        m_refilled = now;
    }
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

} // namespace oriole
