/// @file
/// @brief Binds every unused guarantee to a place that could be had by evicting borrowed work only.
#pragma once

#include <oriole/core/place.hpp>
#include <oriole/core/scheduler.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace oriole {

/// @brief A place kept for one unused guarantee of an organisation. Borrowed work may run there.
struct planned_cell {
    std::string organisation;
    std::size_t guarantee = 0; ///< Index in the organisation's policy.
    place where;
};

struct guarantee_plan {
    std::vector<planned_cell> cells;
    std::vector<uncovered_guarantee> uncovered;
    std::vector<amounts> planned; ///< Per worker: the cells, and the rests of guarantees in use by smaller attempts.
    unsigned unused = 0; ///< Guarantees planned for, covered or not.
};

/// @brief Plans all unused guarantees at once in the given room: each in a home of its own, else, large shapes first, in
/// what the others leave.
guarantee_plan planGuarantees(const scheduler_tables& tables, const fleet_room& room, time_point now);

/// @brief Marks the cell as used by an attempt on @p taken; the rest of it stays planned.
void useCell(guarantee_plan& plan, std::size_t cell, const place& taken);

} // namespace oriole
