/// @file
/// @brief Baseline policy: first come, first served over all organisations, on the first place that fits.
#pragma once

#include <oriole/core/commands.hpp>
#include <oriole/core/tables.hpp>

#include <vector>

namespace oriole {

/// @brief Starts waiting jobs in order of acceptance until one does not fit.
void startFirstFit(scheduler_tables& tables, std::vector<command>& commands, time_point now);

/// @brief True if the shape would not exceed the accelerator quota of the organisation.
bool withinQuota(const organisation_row& organisation, const shape& wanted);

} // namespace oriole
