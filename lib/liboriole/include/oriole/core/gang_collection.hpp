/// @file
/// @brief Reserves places for gangs that have waited long, in the manner of backfill scheduling.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief Reserves places for gangs that cannot start otherwise, up to a fixed share of the fleet.
void reserveForGangs(decision_round& round);

/// @brief Starts one gang that has waited far longer than expected, evicting smaller borrowed gangs.
void startStarvedGangs(decision_round& round);

} // namespace oriole
