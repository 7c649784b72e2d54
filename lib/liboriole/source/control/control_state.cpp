#include <oriole/control/control_state.hpp>

#include <utility>

namespace oriole {

bool control_state::offer(std::shared_ptr<const configuration_head> candidate)
{
    if (candidate == nullptr || candidate->revision <= configurationRevision())
        return false;

    m_configuration = std::move(candidate);
    return true;
}

bool control_state::offer(const failure_domain_states& candidate)
{
    if (candidate.revision <= m_failureDomains.revision)
        return false;

    m_failureDomains = candidate;
    return true;
}

std::uint64_t control_state::configurationRevision() const
{
    return m_configuration == nullptr ? 0 : m_configuration->revision;
}

bool control_state::isOut(const std::string& failureDomain) const
{
    return m_failureDomains.out.contains(failureDomain);
}

} // namespace oriole
