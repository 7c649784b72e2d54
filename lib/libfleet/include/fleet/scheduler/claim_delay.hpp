/// @file
/// @brief How long an entry waits before it claims the scheduler's record, so that the strongest entry gets it.
#pragma once

#include <oriole/helpers/timer_service.hpp>

#include <vector>

namespace fleet {

/// @brief Answers a fleet of hundreds of workers whose entries differ several times in processor share: on the weakest entry
/// the scheduler uses its whole share for decisions and loses its lease.
/// @param ownCores Processor share of this entry in cores; 0 if unknown.
/// @param otherCores Shares of all other known entries, whether they run or not.
/// @param lostRecently Whether this entry lost the record a short time ago.
/// @return Time between the removal of the record and the claim. It is bounded, so a weak entry takes over if it is alone.
oriole::milliseconds claimDelay(double ownCores, const std::vector<double>& otherCores, bool lostRecently);

} // namespace fleet
