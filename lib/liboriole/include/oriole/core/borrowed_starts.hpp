/// @file
/// @brief Starts work outside guarantees on what is free, by fair share between organisations.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief Starts borrowed work until nothing more fits.
void startBorrowed(decision_round& round);

} // namespace oriole
