/// @file
/// @brief Collects whole workers or racks for gangs that have waited long.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief Chooses places that are kept free for gangs that cannot start otherwise, a bounded part of the fleet.
void collectForGangs(decision_round& round);

/// @brief Starts gangs that have waited far too long, evicting smaller borrowed work.
void startStarved(decision_round& round);

} // namespace oriole
