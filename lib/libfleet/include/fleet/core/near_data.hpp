/// @file
/// @brief How long a unit waits for a place in the rack of its data, or a gang for one rack.
///
/// Answers racks that are lost, leave or are busy for long while the rest of the fleet is idle. Elsewhere a task takes several times
/// as long, so a wait is worth the extra time at most; the platform allows a job that could run 3 s with nothing at work.
#pragma once

#include <fleet/core/tables.hpp>

namespace fleet {

/// @brief What the wait for a place near the data depends on.
struct near_data_wait {
    milliseconds extraRunTime { 0 }; ///< That a place elsewhere costs.
    bool withinGuarantee = false;
    bool canRackHold = true; ///< Whether a rack would have room if nothing else ran there.
    bool isRoomIdle = false; ///< Whether less than half of the service is in use, and there is room for the unit twice over.
};

[[nodiscard]] milliseconds maxNearDataWait(const near_data_wait& inputs, const decision_limits& limits);

/// @brief Whether a step is slower away from one rack.
[[nodiscard]] bool prefersOneRack(const step_spec& step);

/// @brief Services of which less than half of the capacity is in use.
[[nodiscard]] std::set<std::string> findIdleServices(const tables& state);

} // namespace fleet
