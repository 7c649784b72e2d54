/// @file
/// @brief State of a gang at its lead: the members' phases, and the lead's answers to their heartbeats.
#pragma once

#include <oriole/core/model.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <map>
#include <optional>
#include <string>

namespace oriole {

/// @brief The lead's answer to a heartbeat: Committed (the member waits), Running (the member starts or continues its
/// task), or the phase in which the gang ended.
struct gang_answer {
    task_phase phase = task_phase::Committed;
    std::string reason;

    auto operator<=>(const gang_answer&) const = default;
};

/// @brief The state of a gang at its lead. Performs no I/O and reads no clock.
class gang_lead {
public:
    /// @param leadWorker Worker of the lead. The lead is a member too and reports its own phase by @c recordPhase.
    gang_lead(const attempt& gangAttempt, std::string leadWorker, time_point now);

    /// @brief Records a member's phase. A member that ends with a phase other than Finished ends the gang.
    void recordPhase(const std::string& worker, task_phase phase, const std::string& reason, time_point now);

    /// @brief True if all members are committed, every member other than the lead has sent a heartbeat within
    /// @p maxHeartbeatAge, and the gang has neither started nor ended.
    [[nodiscard]] bool readyToStart(time_point now, milliseconds maxHeartbeatAge) const;

    /// @brief Starts the gang: the answer to its members is Running from now on.
    void start() { m_started = true; }
    [[nodiscard]] bool started() const { return m_started; }

    /// @brief Ends the gang if a member has sent no heartbeat for @p lease. The gang ends as Released if it has not
    /// started, otherwise as Lost.
    void endIfMemberSilent(time_point now, milliseconds lease);

    /// @brief Ends the gang; has no effect if it has already ended.
    void end(task_phase phase, const std::string& reason);

    /// @brief Phase in which the gang ended, and the reason; empty while the gang has not ended.
    [[nodiscard]] const std::optional<gang_answer>& ended() const { return m_end; }

    [[nodiscard]] gang_answer answer() const;

private:
    struct member {
        task_phase phase = task_phase::Reserved;
        time_point lastHeard;
    };

    [[nodiscard]] bool allMembersIn(task_phase phase) const;

    std::string m_leadWorker;
    std::map<std::string, member> m_members;
    bool m_started = false;
    std::optional<gang_answer> m_end;
};

} // namespace oriole
