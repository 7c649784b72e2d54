/// @file
/// @brief Evicts urgent work from homes of guarantees that have no place.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief Evicts own urgent work that runs outside guarantees and holds resources in a home of an uncovered guarantee.
///
/// This happens if homes change while work is running: with a new configuration, or if an entry did not know all workers
/// yet when it started the work. Every entry finds the same attempts and evicts those that it owns. Unrepeatable work is
/// not evicted.
void repairHomes(decision_round& round);

} // namespace oriole
