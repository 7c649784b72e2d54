/// @file
/// @brief Order of waiting jobs within an organisation, and of organisations relative to each other.
#pragma once

#include <oriole/core/decision_round.hpp>

#include <vector>

namespace oriole {

/// @brief Rank of a waiting job; lower ranks start first. Short jobs have low ranks, and the rank decreases with
/// waiting time (ageing).
double rankOf(const decision_round& round, const job_row& job);

/// @brief Waiting jobs of the organisation that may start now, ordered by rank.
/// @param onlyNew Omits jobs for which no place was found in the current state of the fleet.
std::vector<job_row*> waitingByRank(const decision_round& round, const organisation_row& organisation, bool onlyNew);

/// @brief Total resources of the fleet, to which shares are relative.
struct fleet_totals {
    double accelerators = 0;
    double processors = 0;
    double memoryGb = 0;
};

fleet_totals totalsOf(const scheduler_tables& tables);

/// @brief Dominant share of borrowed resources divided by the weight; the organisation with the lowest value starts first.
double borrowedShare(const organisation_row& organisation, const fleet_totals& totals);

} // namespace oriole
