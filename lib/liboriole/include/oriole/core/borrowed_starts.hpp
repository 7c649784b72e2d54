/// @file
/// @brief Starts work outside guarantees on free resources, by fair share between organisations.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief Starts borrowed work until no waiting job fits or the search limit of the tick is reached.
void startBorrowed(decision_round& round);

} // namespace oriole
