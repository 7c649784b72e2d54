/// @file
/// @brief The agent's copy of the control state, which decides whether new work may start.
#pragma once

#include <oriole/control/control_state.hpp>
#include <oriole/helpers/timer_service.hpp>
#include <oriole/rpc/convert.hpp>

#include <functional>
#include <optional>
#include <string>

namespace oriole {

class agent_view {
public:
    explicit agent_view(std::string failureDomain);

    /// @brief Takes over the parts of @p received that are newer than the local copy.
    /// @param requestedAt Send time of the request that @p received answers; empty for a push, whose age is unknown.
    /// @return True if the sender knows a newer state than the local copy even after the update.
    bool apply(const rpc::control_view& received, std::optional<time_point> requestedAt);

    /// @brief True if one of the revisions is newer than that of the local copy.
    [[nodiscard]] bool isBehind(std::uint64_t configuration, std::uint64_t failureDomains) const;

    /// @brief Refuses all new work from now on, because the process is stopping.
    void setLeaving() { m_leaving = true; }
    [[nodiscard]] bool leaving() const { return m_leaving; }

    /// @brief The reason why new work is refused; empty if it is permitted.
    [[nodiscard]] std::optional<std::string> refusalReason(time_point now) const;

    /// @brief As @c refusalReason, but for work that has already been accepted: a planned stop does not refuse it.
    [[nodiscard]] std::optional<std::string> refusalReasonForAccepted(time_point now) const;

    [[nodiscard]] bool isOut() const { return m_state.isOut(m_failureDomain); }
    [[nodiscard]] const control_state& state() const { return m_state; }
    [[nodiscard]] limits_config limits() const;

    /// @brief Sets the handler that is called after each change of the state.
    void onChange(std::function<void()> handler) { m_onChange = std::move(handler); }

private:
    std::string m_failureDomain;
    control_state m_state;
    bool m_leaving = false;
    bool m_viewReceived = false;
    std::optional<time_point> m_freshAsOf;
    std::function<void()> m_onChange;
};

} // namespace oriole
