/// @file
/// @brief Chooses workers for a unit: a gang is placed as a whole, on the rack of its data, by best fit.
#pragma once

#include <fleet/core/tables.hpp>

#include <optional>
#include <string>
#include <vector>

namespace fleet {

/// @brief Requirements of a unit, and the workers that it must not use or should avoid.
struct placement_request {
    const step_spec* step = nullptr;
    unsigned tasks = 1;
    std::string service;
    std::string organisation;
    std::map<std::string, unsigned> liveTasksByWorker; ///< Live tasks of the step by worker; only if it has an anti-affinity limit.
    std::set<std::string> avoidedWorkers; ///< Workers on which a run of the job failed or was slow; used only if no other fits.
    bool excludeSuspects = false; ///< Whether suspect workers and avoidedWorkers are excluded, as for a while for a task's last attempt.
    bool remoteAllowed = false; ///< Whether the unit may be placed outside of the rack of its data, and a gang on several racks.
    std::optional<resources> reservedNeed; ///< Resources per task of the unit's own reservation.
    std::vector<std::string> reservedOn; ///< Workers of the unit's own reservation, one entry for each task.
    std::vector<resources> expectedFree; ///< By slot of the worker: resources that live runs are expected to free in time.
};

/// @brief Chooses a worker for each task.
/// @return No value when the unit can't be placed as a whole now.
std::optional<std::vector<std::string>> findPlaces(const tables& state, const placement_request& request, time_point now);

/// @brief Whether the workers that are not suspect could run the unit if nothing else ran on them.
bool canHealthyWorkersHold(const tables& state, placement_request request, time_point now);

/// @brief Whether so many tasks of the unit's step have room now, wherever it is.
bool isRoomFor(const tables& state, placement_request request, unsigned tasks, time_point now);

/// @brief Whether a rack that suits the unit could run it if nothing else ran there, by the workers that can be reached now.
bool canRackHold(const tables& state, const placement_request& request, time_point now);

/// @brief Whether the worker could run a task of the unit if nothing else ran on it.
bool isEligible(const worker_row& worker, const placement_request& request, const tables& state);

/// @brief Factor by which the run time grows because the data or other members of the gang are on another rack.
double slowdownOf(const tables& state, const step_spec& step, const std::vector<std::string>& workers, double spreadFactor);

/// @brief Fault score of a worker at @p now, decayed exponentially since it was last changed.
double faultScoreOf(const worker_row& worker, time_point now);

} // namespace fleet
