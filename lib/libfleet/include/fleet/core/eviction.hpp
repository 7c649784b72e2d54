/// @file
/// @brief Makes room for a unit by ending runs that matter less, with the least work lost.
#pragma once

#include <fleet/core/placement.hpp>

#include <set>

namespace fleet {

struct eviction_plan {
    std::vector<std::string> workers; ///< One for each task of the unit that needs room.
    std::set<unit_id> victims;
    double cost = 0; ///< Core-seconds of work that is lost.
};

/// @brief Plans the cheapest room for a unit of @p priority.
/// @param reclaims Whether the unit is within its organisation's guarantee.
/// @return No value when no eviction makes room.
std::optional<eviction_plan> planEviction(
    const tables& state, const placement_request& request, unsigned priority, bool reclaims, time_point now);

/// @brief Organisations whose unfinished jobs of priority 0 all fit into their guarantee.
std::set<std::string> findWithinGuarantee(const tables& state);

/// @brief Core-seconds that are lost when a run is stopped now.
double lossOf(const tables& state, const live_run& run, time_point now);

/// @brief How long a run still needs, by its progress, else by its estimate.
milliseconds remainingOf(const live_run& run);

} // namespace fleet
