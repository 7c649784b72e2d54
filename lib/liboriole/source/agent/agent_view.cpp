#include <oriole/agent/agent_view.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds maxViewAge { 2000 };

} // namespace

agent_view::agent_view(std::string failureDomain)
    : m_failureDomain(std::move(failureDomain))
{
}

bool agent_view::apply(const rpc::control_view& received, std::optional<time_point> requestedAt)
{
    m_viewReceived = true;
    if (received.fresh && requestedAt.has_value()) {
        // The sender's own copy has an age too; that age and the time since the request share one limit.
        const auto freshAt = *requestedAt - received.freshAge;
        m_freshAsOf = std::max(m_freshAsOf.value_or(freshAt), freshAt);
    }

    const bool newConfiguration = m_state.offer(received.configuration);
    const bool newFailureDomains = m_state.offer(received.failureDomains);
    if ((newConfiguration || newFailureDomains) && m_onChange)
        m_onChange();
    return isBehind(received.configurationRevision, received.failureDomains.revision);
}

bool agent_view::isBehind(std::uint64_t configuration, std::uint64_t failureDomains) const
{
    return configuration > m_state.configurationRevision() || failureDomains > m_state.failureDomains().revision;
}

std::optional<std::string> agent_view::refusalReason(time_point now) const
{
    if (m_leaving)
        return "worker is leaving";
    return refusalReasonForAccepted(now);
}

std::optional<std::string> agent_view::refusalReasonForAccepted(time_point now) const
{
    if (!m_viewReceived)
        return "no control view yet";
    if (isOut())
        return "failure domain is out";
    if (m_freshAsOf.has_value() && now - *m_freshAsOf > maxViewAge)
        return "stale control view";
    return std::nullopt;
}

limits_config agent_view::limits() const
{
    const auto configuration = m_state.configuration();
    return configuration == nullptr ? limits_config {} : configuration->parsed.limits;
}

} // namespace oriole
