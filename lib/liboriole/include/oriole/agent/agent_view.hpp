/// @file
/// @brief The control state as an agent knows it, and whether it permits new starts.
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

    /// @brief Takes what is newer in @p received.
    /// @param askedAt When the question was sent that @p received answers; none for a push, which may be old.
    /// @return True when the sender knows a newer state than this process does now.
    bool apply(const rpc::control_view& received, std::optional<time_point> askedAt);

    /// @brief True when the revisions are above those held.
    [[nodiscard]] bool isBehind(std::uint64_t configuration, std::uint64_t failureDomains) const;

    /// @brief Refuses all new starts from now on; the process is stopping.
    void setLeaving() { m_leaving = true; }
    [[nodiscard]] bool leaving() const { return m_leaving; }

    /// @brief The reason why nothing new may start, if there is one.
    [[nodiscard]] std::optional<std::string> refusal(time_point now) const;

    /// @brief As @c refusal, for work that was accepted before: a planned stop does not refuse it.
    [[nodiscard]] std::optional<std::string> refusalOfAccepted(time_point now) const;

    [[nodiscard]] bool isOut() const { return m_state.isOut(m_failureDomain); }
    [[nodiscard]] const control_state& state() const { return m_state; }
    [[nodiscard]] limits_config limits() const;

    /// @brief Called after each change of the state.
    void onChange(std::function<void()> handler) { m_changed = std::move(handler); }

private:
    std::string m_failureDomain;
    control_state m_state;
    bool m_leaving = false;
    bool m_heard = false;
    std::optional<time_point> m_lastFresh;
    std::function<void()> m_changed;
};

} // namespace oriole
