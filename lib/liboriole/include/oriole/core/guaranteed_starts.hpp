/// @file
/// @brief Starts jobs inside their organisations' guarantees, evicting borrowed work where needed.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief Makes the plan anew when the fleet or a holding changed.
void refreshPlan(decision_round& round);

/// @brief Starts every waiting job that fits an unused guarantee of its organisation, urgent and large ones first.
void startGuaranteed(decision_round& round);

} // namespace oriole
