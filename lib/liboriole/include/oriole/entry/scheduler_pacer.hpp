/// @file
/// @brief Says when the decision core has to run.
#pragma once

#include <oriole/helpers/timer_service.hpp>

#include <cstddef>

namespace oriole {

/// @brief Keeps the core from running while nothing can have changed its decisions.
///
/// The core does not tell when a decision becomes due by time alone (end of a probation, patience of a gang, age of its
/// plan). So it also runs at a coarse period, a longer one while no job waits. Back-offs are short: for as long as
/// one may last after an attempt that did not finish, the core runs at each turn.
class scheduler_pacer {
public:
    /// @brief Something happened that may change a decision.
    void changed() { m_changed = true; }

    /// @brief An attempt ended without success, so its job may wait for the end of a back-off.
    void backedOff(time_point now);

    /// @brief True when the core has to run in this turn.
    [[nodiscard]] bool due(time_point now, std::size_t waitingJobs) const;

    /// @brief The core has run.
    /// @param decided It made decisions, and what they change may permit more of them.
    void ran(time_point now, std::size_t waitingJobs, bool decided);

private:
    bool m_changed = true;
    std::size_t m_turnsOwed = 0; ///< A run searches places for some jobs only; the next ones go on.
    time_point m_lastRun;
    time_point m_backOffsUntil;
};

} // namespace oriole
