/// @file
/// @brief Plans the eviction of lower-priority runs for a unit so that the least work is lost.
#pragma once

#include <fleet/core/placement.hpp>

#include <set>

namespace fleet {

/// @brief A run that ends within this time is not evicted: stopping it and receiving the report of its end would take half
/// of this time.
constexpr milliseconds nearEndLimit { 700 };

struct eviction_plan {
    std::vector<std::string> workers; ///< Worker of each task of the unit to be placed.
    std::set<unit_id> victims;
    double cost = 0; ///< Lost work in core-seconds; units that were evicted before count more.
};

/// @brief Plans the cheapest eviction that lets a unit of @p priority be placed.
/// @param reclaimsGuarantee Whether the unit is within its organisation's guarantee.
/// @return No value when the unit doesn't fit even after evictions.
std::optional<eviction_plan> planEviction(
    const tables& state, const placement_request& request, unsigned priority, bool reclaimsGuarantee, time_point now);

/// @brief Organisations whose unfinished priority-0 jobs together need no more accelerators than are guaranteed.
std::set<std::string> findOrganisationsWithinGuarantee(const tables& state);

/// @brief Core-seconds of work that are lost when the run is stopped at @p now.
double lostWorkOf(const tables& state, const live_run& run, time_point now);

/// @brief Remaining time of a run by its measured rate; by its estimated run time while the rate is unknown.
milliseconds remainingTimeOf(const live_run& run);

} // namespace fleet
