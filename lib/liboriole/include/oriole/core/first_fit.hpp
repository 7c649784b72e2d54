/// @file
/// @brief The baseline: first come first served over all organisations, first place that fits.
#pragma once

#include <oriole/core/commands.hpp>
#include <oriole/core/tables.hpp>

#include <vector>

namespace oriole {

/// @brief Starts waiting jobs in the order of their acceptance until one does not fit.
void startFirstFit(scheduler_tables& tables, std::vector<command>& commands, time_point now);

/// @brief True when the organisation may hold that many accelerators more.
bool withinQuota(const organisation_row& organisation, const shape& wanted);

} // namespace oriole
