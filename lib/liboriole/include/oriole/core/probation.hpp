/// @file
/// @brief Keeps work away from workers on which tasks fail repeatedly, and tests them with probe jobs.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief Duration of the probation, counted from the last failure, for a number of consecutive failures.
milliseconds probationFor(unsigned failuresInRow);

/// @brief Puts the workers with the most consecutive failures on probation, up to a fixed share of the fleet.
void updateProbation(scheduler_tables& tables, time_point now);

/// @brief Starts one small job on each idle worker on probation for which a probe is due.
void probeWorkers(decision_round& round);

} // namespace oriole
