#include <oriole/agent/agent_view.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds longestStaleness { 2000 };

} // namespace

agent_view::agent_view(std::string failureDomain)
    : m_failureDomain(std::move(failureDomain))
{
}

bool agent_view::apply(const rpc::control_view& received, std::optional<time_point> askedAt)
{
    m_heard = true;
    if (received.fresh && askedAt.has_value()) {
        // What the sender knows may be old itself: both ages count against the one limit.
        const auto provenAt = *askedAt - received.freshAge;
        m_lastFresh = std::max(m_lastFresh.value_or(provenAt), provenAt);
    }

    const bool newConfiguration = m_state.offer(received.configuration);
    const bool newFailureDomains = m_state.offer(received.failureDomains);
    if ((newConfiguration || newFailureDomains) && m_changed)
        m_changed();
    return isBehind(received.configurationRevision, received.failureDomains.revision);
}

bool agent_view::isBehind(std::uint64_t configuration, std::uint64_t failureDomains) const
{
    return configuration > m_state.configurationRevision() || failureDomains > m_state.failureDomains().revision;
}

std::optional<std::string> agent_view::refusal(time_point now) const
{
    if (m_leaving)
        return "worker is leaving";
    return refusalOfAccepted(now);
}

std::optional<std::string> agent_view::refusalOfAccepted(time_point now) const
{
    if (!m_heard)
        return "no control view yet";
    if (isOut())
        return "failure domain is out";
    if (m_lastFresh.has_value() && now - *m_lastFresh > longestStaleness)
        return "stale control view";
    return std::nullopt;
}

limits_config agent_view::limits() const
{
    const auto configuration = m_state.configuration();
    return configuration == nullptr ? limits_config {} : configuration->parsed.limits;
}

} // namespace oriole
