/// @file
/// @brief Homes: fixed places of the guarantees, computed from the configuration and the known workers alone.
#pragma once

#include <oriole/core/place.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriole {

struct attempt_row;
struct scheduler_tables;

/// @brief Orders shapes by size, larger ones first, because the remaining resources then still fit the smaller ones.
struct larger_first {
    bool operator()(const shape& left, const shape& right) const;
};

/// @brief One home per guaranteed gang. Homes do not overlap, and all entries that know the same workers and the same
/// configuration compute the same homes, regardless of the reports received. Work that must not be evicted therefore
/// never blocks another guarantee, provided that it runs in a home of its own organisation or outside all homes.
struct guarantee_homes {
    std::uint64_t version = 0; ///< Value of @c homesVersion for which they were computed.
    std::map<std::string, std::map<shape, std::vector<place>>> places; ///< By organisation and guaranteed shape.
};

/// @brief Computes the homes, larger shapes first and then by worker name.
guarantee_homes computeHomes(const scheduler_tables& tables);

/// @brief True if all accelerators that the attempt is known to hold belong to the home.
bool liesInHome(const scheduler_tables& tables, const place& home, const attempt_row& attempt);

/// @brief Recomputes the homes if the configuration or the workers have changed. A worker that is not present keeps its homes
/// for a limited time, so that a short absence does not move any home.
void updateHomes(scheduler_tables& tables, time_point now);

} // namespace oriole
