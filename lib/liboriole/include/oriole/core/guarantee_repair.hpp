/// @file
/// @brief Gives guarantees back homes in which urgent work stands.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief Evicts own urgent work that runs outside guarantees and stands in the home of a guarantee that has no place.
///
/// That comes about when the homes change under running work: by a new configuration, or at an entry that did not know
/// all workers yet. Every entry finds the same work to move and moves its own. Unrepeatable work is left to end.
void repairHomes(decision_round& round);

} // namespace oriole
