/// @file
/// @brief What may be used on each worker during one tick, for the different kinds of start.
#pragma once

#include <oriole/core/placement.hpp>
#include <oriole/core/tables.hpp>

#include <optional>
#include <vector>

namespace oriole {

/// @brief What is free on the workers that may take new work.
fleet_room freeRoom(const scheduler_tables& tables);

/// @brief What is free, or held by attempts that may be evicted.
fleet_room reclaimableRoom(const scheduler_tables& tables);

/// @brief Takes the amounts out of the room; what is not there is ignored.
void takeFrom(fleet_room& room, const place_part& part);

/// @brief The rooms of one group, in the order of the workers' names.
std::vector<room_at> roomOfGroup(const fleet_room& room, const group_row& group);

/// @brief Finds the best place for the shape anywhere in the fleet.
std::optional<place> findPlace(const scheduler_tables& tables, const fleet_room& room, const shape& wanted, const part_scorer& score);

} // namespace oriole
