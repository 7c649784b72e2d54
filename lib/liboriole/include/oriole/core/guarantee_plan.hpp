/// @file
/// @brief Assigns each unused guarantee a place that is free or could be freed by evicting only borrowed work.
#pragma once

#include <oriole/core/place.hpp>
#include <oriole/core/scheduler.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace oriole {

/// @brief A place planned for one unused guarantee of an organisation. Borrowed work may run there meanwhile.
struct planned_cell {
    std::string organisation;
    std::size_t guarantee = 0; ///< Index in the organisation's policy.
    place where;
};

struct guarantee_plan {
    std::vector<planned_cell> cells;
    std::vector<uncovered_guarantee> uncovered;
    std::vector<resources> planned; ///< Per worker: the cells, and the unused remainders of guarantees that smaller attempts use.
    unsigned unused = 0; ///< Number of unused guarantees, whether or not a place was found.
};

/// @brief Plans all unused guarantees within the available resources: each in one of its own homes if possible, otherwise,
/// larger shapes first, in what remains.
guarantee_plan planGuarantees(const scheduler_tables& tables, const fleet_resources& room, time_point now);

/// @brief Marks the cell as used by an attempt on @p taken; the remainder of the cell stays planned.
void consumeCell(guarantee_plan& plan, std::size_t cell, const place& taken);

} // namespace oriole
