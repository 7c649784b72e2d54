/// @file
/// @brief Decides what happens to the runs of workers that leave at short notice.
///
/// It responds to workers that leave while the rest of the fleet is full: stopping all their runs at once discards work that
/// finds no place elsewhere, or that would have ended before the worker is shut down.
#pragma once

#include <fleet/core/objective.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace fleet {

/// @brief A unit of which at least one member runs on a leaving worker.
struct departing_unit {
    pending_unit order; ///< Its place in the order of placement, in which units move.
    std::string worker; ///< The leaving worker with the least time left.
    milliseconds timeLeft { 0 }; ///< Until the end of the notice; negative once it is past.
    milliseconds remaining { 0 }; ///< Until the unit is expected to end where it is.
    milliseconds restartTime { 0 }; ///< Expected run time of a start from the beginning, near its data.
    bool savesProgress = false;
    bool lasting = false;
};

enum class departure_choice {
    EndsInTime, ///< It is expected to end before the notice does.
    SavesLater, ///< It saves its progress and is stopped shortly before the end of the notice.
    Saves, ///< It is stopped now and resumes from its checkpoint.
    Restarts, ///< It is to be restarted elsewhere, if it finds a place or is urgent.
    Continues, ///< A restart gains nothing, or there is no place for it.
};

std::string_view toString(departure_choice choice);

/// @brief One decision on a departing unit, with its inputs.
struct departure_decision {
    departing_unit unit;
    departure_choice choice = departure_choice::Continues;
    bool searched = false; ///< Whether a new place was looked for.
    bool reserved = false; ///< Whether its new place is reserved.
};

/// @brief Units on reachable leaving workers that are not being stopped, in the order in which they move.
std::vector<departing_unit> findDepartingUnits(const tables& state, time_point now);

/// @brief What is to be done with a unit. Whether a place for a restart exists is left to the caller.
departure_choice chooseDeparture(const departing_unit& unit, const decision_limits& limits);

/// @brief Whether a restart is expected to end before the unit does if it stays where it is.
/// @param slowdown Factor on the run time at the new place.
bool gainsByRestart(const departing_unit& unit, double slowdown, const decision_limits& limits);

} // namespace fleet
