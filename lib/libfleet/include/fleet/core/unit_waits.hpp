/// @file
/// @brief Since when the units of a job wait for their placement.
///
/// Answers jobs with many occurrences or tasks: with one time for the whole job, set anew by each end of a run and each occurrence
/// that falls due, none of their units would ever have waited long enough for a place away from its data.
#pragma once

#include <fleet/core/unit_id.hpp>

#include <oriole/helpers/timer_service.hpp>

#include <map>
#include <utility>

namespace fleet {

using oriole::milliseconds;
using oriole::time_point;

class unit_waits {
public:
    /// @brief Tasks of a step wait. No effect if others of it do already.
    void beginStep(unsigned occurrence, unsigned step, time_point since) { m_steps.try_emplace({ occurrence, step }, since); }
    /// @brief No task of a step waits any more.
    void endStep(unsigned occurrence, unsigned step) { m_steps.erase({ occurrence, step }); }

    /// @brief A run of the unit has ended, and the unit waits again.
    void beginAgain(const unit_id& unit, time_point since) { m_again[unit] = since; }
    /// @brief The unit was placed.
    void end(const unit_id& unit) { m_again.erase(unit); }

    /// @brief The job has ended.
    void clear();

    /// @return How long the unit has waited; 0 if it does not wait.
    [[nodiscard]] milliseconds waited(const unit_id& unit, time_point now) const;

private:
    std::map<std::pair<unsigned, unsigned>, time_point> m_steps; ///< By occurrence and step.
    std::map<unit_id, time_point> m_again; ///< Units that wait since a run of them ended.
};

} // namespace fleet
