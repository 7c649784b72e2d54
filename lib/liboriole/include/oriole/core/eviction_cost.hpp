/// @file
/// @brief Work that is lost when borrowed attempts make room.
#pragma once

#include <oriole/core/tables.hpp>

namespace oriole {

/// @brief Accelerator-seconds lost by evicting whatever borrowed work holds these accelerators of the worker.
double evictionCost(const scheduler_tables& tables, worker_index where, accelerator_set taken, time_point now);

/// @brief Rounds a cost so that small differences of age between two entries do not change their plans.
unsigned costStep(double cost);

/// @brief True when attempts hold part of the place now.
bool needsEviction(const scheduler_tables& tables, const place& where);

/// @brief Marks the attempts that the place evicts.
void markEvicted(scheduler_tables& tables, const place& where);

} // namespace oriole
