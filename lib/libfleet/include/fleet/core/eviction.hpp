/// @file
/// @brief Plans the eviction of lower-priority runs for a unit so that the least work is lost.
#pragma once

#include <fleet/core/placement.hpp>

#include <set>
#include <utility>
#include <vector>

namespace fleet {

/// @brief How far a unit may displace other runs.
enum class reclaim_right {
    None, ///< Runs of lower priority.
    Guaranteed, ///< Runs outside of guarantees too, unless their job is in time. Runs that are about to end are awaited.
    Due, ///< As Guaranteed, also if their job is in time; no run is awaited unless it was stopped.
};

struct eviction_plan {
    std::vector<std::string> workers; ///< Worker of each task of the unit to be placed.
    std::set<unit_id> victims;
    double cost = 0; ///< Lost work in core-seconds; units that were evicted before count more.
};

/// @brief Runs that units of one priority and right may displace. It stays valid until a run starts or is stopped, so that
/// many urgent units that wait at the same time share it.
struct eviction_candidates {
    struct victim {
        unit_id unit;
        double cost = 0;
        std::vector<std::pair<std::size_t, resources>> freed; ///< Resources that the eviction frees, by slot of the worker.
    };

    std::vector<victim> victims; ///< In order of their units.
    std::vector<std::vector<std::pair<std::size_t, resources>>> byWorker; ///< By slot: victims by ascending cost, and what they free.
    std::vector<resources> expectedFree; ///< By slot: resources of runs that are being stopped or are about to end.
};

eviction_candidates collectEvictionCandidates(
    const tables& state, unsigned priority, reclaim_right right, time_point now);

/// @brief Plans the cheapest eviction that lets a unit be placed.
/// @return No value when the unit doesn't fit even after evictions.
std::optional<eviction_plan> planEviction(
    const tables& state, const placement_request& request, const eviction_candidates& candidates, time_point now);

/// @brief Unfinished priority-0 jobs that fit into their organisation's guarantee. It is given out in order of acceptance; a
/// job that needs more than is left is passed over.
std::set<std::string> findGuaranteedJobs(const tables& state);

/// @brief Core-seconds of work that are lost when the run is stopped at @p now.
double lostWorkOf(const tables& state, const live_run& run, time_point now);

/// @brief Whether the run was stopped and its end is not overdue.
bool isStopExpected(const tables& state, const live_run& run, time_point now);

/// @brief Time until the run is expected to free its resources. The members of a gang free theirs together.
milliseconds releaseTimeOf(const tables& state, const live_run& run);

/// @brief When a run is expected to free its resources.
struct expected_release {
    std::size_t slot = 0; ///< Of the run's worker.
    resources need;
    bool isStopped = false; ///< It was stopped, so its resources are expected at once.
    milliseconds time { 0 };
};

/// @brief Expected releases of all runs that are active, or stopped with an end that is not overdue.
std::vector<expected_release> collectReleases(const tables& state, time_point now);

/// @brief Remaining time of a run by its measured rate; by its estimated run time while the rate is unknown.
milliseconds remainingTimeOf(const live_run& run);

} // namespace fleet
