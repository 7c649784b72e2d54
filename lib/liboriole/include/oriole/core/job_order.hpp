/// @file
/// @brief Order of waiting jobs within an organisation, and of organisations among each other.
#pragma once

#include <oriole/core/decision_round.hpp>

#include <vector>

namespace oriole {

/// @brief Rank of a waiting job; lower starts first. Short jobs go first, and waiting makes up for length.
double rankOf(const decision_round& round, const job_row& job);

/// @brief Waiting jobs of the organisation that may start now, in the order of their rank.
/// @param onlyNew Leaves out jobs for which no place was found in the present state of the fleet.
std::vector<job_row*> waitingByRank(const decision_round& round, const organisation_row& organisation, bool onlyNew);

/// @brief Totals of the fleet, against which shares are counted.
struct fleet_totals {
    double accelerators = 0;
    double processors = 0;
    double memoryGb = 0;
};

fleet_totals totalsOf(const scheduler_tables& tables);

/// @brief Dominant share of borrowed resources per weight; the organisation with the least goes first.
double borrowedShare(const organisation_row& organisation, const fleet_totals& totals);

} // namespace oriole
