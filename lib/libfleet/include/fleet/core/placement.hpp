/// @file
/// @brief Chooses workers for a unit: whole gangs at once, near their data, into the smallest hole that fits.
#pragma once

#include <fleet/core/tables.hpp>

#include <optional>
#include <string>
#include <vector>

namespace fleet {

/// @brief What a unit asks for, and which workers it may not or would rather not have.
struct placement_request {
    const step_spec* step = nullptr;
    unsigned tasks = 1;
    std::string service;
    std::string organisation;
    std::map<std::string, unsigned> onWorker; ///< Live tasks of the step by worker, for the limit of tasks on one worker.
    std::set<std::string> avoid; ///< Workers on which the job has failed.
    bool provenOnly = false; ///< The last attempt goes to a worker without failures.
    bool farAllowed = false; ///< Whether it may run away from its data.
    std::optional<room> alreadyHeld; ///< Need of each task of its own reservation.
    std::vector<std::string> heldOn; ///< Workers of its own reservation.
    std::map<std::string, room> freeSoon; ///< Room that runs will leave in time, by worker.
};

/// @brief Chooses a worker for each task.
/// @return No value when the whole unit can't start now.
std::optional<std::vector<std::string>> findPlaces(const tables& state, const placement_request& request, time_point now);

/// @brief Whether a worker could take a task of the unit if it were empty.
bool isEligible(const worker_row& worker, const placement_request& request, const tables& state);

/// @brief Factor by which a unit runs longer on these workers: its data or its members are on another rack.
double spreadOf(const tables& state, const step_spec& step, const std::vector<std::string>& workers, double spreadFactor);

/// @brief Present badness of a worker, which fades with time.
double badnessOf(const worker_row& worker, time_point now);

} // namespace fleet
