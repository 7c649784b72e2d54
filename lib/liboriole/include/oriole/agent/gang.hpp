/// @file
/// @brief What the lead of a gang knows of its members, and what it answers them.
#pragma once

#include <oriole/core/model.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <map>
#include <optional>
#include <string>

namespace oriole {

/// @brief The lead's answer: Committed (wait), Running (start or go on), or the end of the gang.
struct gang_answer {
    task_phase phase = task_phase::Committed;
    std::string reason;

    auto operator<=>(const gang_answer&) const = default;
};

/// @brief The state of a gang at its lead. Pure: no I/O, no clock.
class gang_lead {
public:
    /// @param self Worker of the lead; it counts itself through @c heard too.
    gang_lead(const attempt& led, std::string self, time_point now);

    /// @brief Takes a member's phase. A member that ends other than Finished ends the gang.
    void heard(const std::string& worker, task_phase phase, const std::string& reason, time_point now);

    /// @brief All members are committed and have said so within @p recency, and nobody has been told to start.
    [[nodiscard]] bool readyToStart(time_point now, milliseconds recency) const;

    /// @brief Members are told to start from now on.
    void start() { m_started = true; }
    [[nodiscard]] bool started() const { return m_started; }

    /// @brief Ends the gang as Lost, or Released before the start, when a member was silent for @p lease.
    void checkSilence(time_point now, milliseconds lease);

    /// @brief Ends the gang; the first end counts.
    void end(task_phase phase, const std::string& reason);

    /// @brief The end of the gang, once there is one.
    [[nodiscard]] const std::optional<gang_answer>& ended() const { return m_end; }

    [[nodiscard]] gang_answer answer() const;

private:
    struct member {
        task_phase phase = task_phase::Reserved;
        time_point lastHeard;
    };

    [[nodiscard]] bool all(task_phase phase) const;

    std::string m_self;
    std::map<std::string, member> m_members;
    bool m_started = false;
    std::optional<gang_answer> m_end;
};

} // namespace oriole
