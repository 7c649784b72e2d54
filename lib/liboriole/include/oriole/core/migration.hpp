/// @file
/// @brief Moves work out of failure domains that are out, and brings work back step by step.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief Evicts own attempts in failure domains that are out, a few at a time, those that fit elsewhere first.
void leaveDomains(decision_round& round);

/// @brief Evicts every own attempt in a failure domain that is out, all at once; for the baseline.
void leaveDomainsAtOnce(scheduler_tables& tables);

/// @brief Takes the workers of a domain that has just come back out of the free room, but for a growing part.
void rampDomains(decision_round& round);

} // namespace oriole
