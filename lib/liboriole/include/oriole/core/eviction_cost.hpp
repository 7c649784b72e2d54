/// @file
/// @brief Cost of evicting borrowed attempts.
#pragma once

#include <oriole/core/tables.hpp>

namespace oriole {

/// @brief Accelerator-seconds lost by evicting the borrowed attempts that hold these accelerators of the worker.
double evictionCost(const scheduler_tables& tables, worker_index where, accelerator_set taken, time_point now);

/// @brief Rounds a cost to a power of two, so that small differences between the ages known to two entries
/// do not change their plans.
unsigned costBucket(double cost);

/// @brief True if attempts currently hold part of the place.
bool needsEviction(const scheduler_tables& tables, const place& where);

/// @brief Marks the borrowed attempts that hold accelerators of the place as being evicted.
void markEvicting(scheduler_tables& tables, const place& where);

} // namespace oriole
