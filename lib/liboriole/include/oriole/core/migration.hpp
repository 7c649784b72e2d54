/// @file
/// @brief Moves work out of failure domains that are out, and gradually reopens domains that are back in.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief Evicts own attempts in failure domains that are out, a limited number at a time, first those that fit elsewhere.
void evacuateDomains(decision_round& round);

/// @brief Evicts every own attempt in a failure domain that is out, all at once; for the baseline policy.
void evacuateDomainsAtOnce(scheduler_tables& tables);

/// @brief For a domain that was recently put back in, removes all but a growing part of its workers from the free resources.
void rampDomains(decision_round& round);

} // namespace oriole
