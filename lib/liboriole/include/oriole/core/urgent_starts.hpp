/// @file
/// @brief Starts urgent jobs that no guarantee carries.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief True when the job is urgent and its organisation has the right to urgent work.
bool isUrgent(const scheduler_tables& tables, const job_row& job);

/// @brief Starts urgent jobs, evicting borrowed work where needed. Nothing may evict them, so they get only
/// what leaves a place for every unused guarantee.
void startUrgent(decision_round& round);

} // namespace oriole
