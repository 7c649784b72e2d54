/// @file
/// @brief Resources available on each worker in one tick, for the different kinds of start.
#pragma once

#include <oriole/core/placement.hpp>
#include <oriole/core/tables.hpp>

#include <optional>
#include <vector>

namespace oriole {

/// @brief Free resources of the workers that may receive new work.
fleet_resources freeResources(const scheduler_tables& tables);

/// @brief Resources that are free or held by attempts that may be evicted.
fleet_resources reclaimableResources(const scheduler_tables& tables);

/// @brief Subtracts the part from the available resources; amounts that are not available are ignored.
void takeFrom(fleet_resources& room, const place_part& part);

/// @brief Available resources of the workers of one group, ordered by worker name.
std::vector<available_resources> roomOfGroup(const fleet_resources& room, const group_row& group);

/// @brief Finds the best place for the shape anywhere in the fleet.
std::optional<place> findPlace(const scheduler_tables& tables, const fleet_resources& room, const shape& wanted, const part_scorer& score);

} // namespace oriole
