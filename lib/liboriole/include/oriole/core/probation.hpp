/// @file
/// @brief Keeps work off workers that fail everything, and probes them back in.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief How long a worker with that many failures in a row gets only probes, from its last failure on.
milliseconds probationFor(unsigned failuresInRow);

/// @brief Marks the workers with the most failures in a row, a bounded share of the fleet.
void updateProbation(scheduler_tables& tables, time_point now);

/// @brief Starts one small job on each idle worker on probation whose time has come.
void probeWorkers(decision_round& round);

} // namespace oriole
