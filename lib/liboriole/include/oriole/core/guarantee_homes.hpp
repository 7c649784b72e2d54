/// @file
/// @brief Places of the guarantees that follow from the configuration and the known workers alone.
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

/// @brief Orders shapes, larger ones first: what is left is then still fit for the smaller ones.
struct larger_first {
    bool operator()(const shape& left, const shape& right) const;
};

/// @brief One home per guaranteed gang. Homes never overlap, and every entry that knows the same workers and the same
/// configuration finds the same, whatever reports it has seen. So work that must not be evicted never stands in the
/// way of another guarantee as long as it keeps to a home of its own, or off all homes.
struct guarantee_homes {
    std::uint64_t version = 0; ///< Of the tables, for which they were found.
    std::map<std::string, std::map<shape, std::vector<place>>> places; ///< By organisation and guaranteed shape.
};

/// @brief Finds the homes; large shapes first, in the order of the workers' names.
guarantee_homes findHomes(const scheduler_tables& tables);

/// @brief True when all that the attempt is known to hold lies in the home.
bool isHomeOf(const scheduler_tables& tables, const place& home, const attempt_row& attempt);

/// @brief Finds the homes anew when the configuration or the workers have changed. A worker that is not present keeps
/// its homes for a while, so that a short absence moves nothing.
void refreshHomes(scheduler_tables& tables, time_point now);

} // namespace oriole
