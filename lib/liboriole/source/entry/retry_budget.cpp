#include <oriole/entry/retry_budget.hpp>

#include <algorithm>

namespace oriole {

retry_budget::retry_budget(double share, double burst)
    : m_share(share)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void retry_budget::deposit()
{
    m_tokens = std::min(m_burst, m_tokens + m_share);
}

bool retry_budget::take()
{
    if (m_tokens < 1)
        return false;

    m_tokens -= 1;
    return true;
}

} // namespace oriole
