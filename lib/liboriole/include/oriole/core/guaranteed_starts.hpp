/// @file
/// @brief Starts jobs within the guarantees of their organisations, evicting borrowed work where needed.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief Recomputes the plan if the fleet or a holding has changed, or if the plan is older than its maximum age.
void updatePlan(decision_round& round);

/// @brief Starts waiting jobs that fit an unused guarantee of their organisation; urgent jobs first, then larger ones.
void startGuaranteed(decision_round& round);

} // namespace oriole
