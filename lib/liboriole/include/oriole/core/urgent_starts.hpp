/// @file
/// @brief Starts urgent jobs outside guarantees.
#pragma once

#include <oriole/core/decision_round.hpp>

namespace oriole {

/// @brief True if the job is urgent and its organisation has the right to urgent work.
bool isUrgent(const scheduler_tables& tables, const job_row& job);

/// @brief Starts urgent jobs, evicting borrowed work where needed. Urgent work cannot be evicted by others, so it only uses
/// resources that are not planned for an unused guarantee.
void startUrgent(decision_round& round);

} // namespace oriole
