/// @file
/// @brief Resource amounts on workers, and places composed of them.
#pragma once

#include <oriole/core/model.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace oriole {

using worker_index = std::uint32_t;

/// @brief Resource amounts on one worker, either used or free.
struct resources {
    accelerator_set accelerators = 0;
    unsigned processors = 0;
    unsigned memoryGb = 0;

    auto operator<=>(const resources&) const = default;
};

/// @brief Resources available on one worker.
struct available_resources {
    worker_index worker = 0;
    resources room;

    auto operator<=>(const available_resources&) const = default;
};

/// @brief Available resources per worker, in the order of the worker table.
using fleet_resources = std::vector<available_resources>;

/// @brief Resources that a place uses on one worker.
struct place_part {
    worker_index worker = 0;
    resources taken;

    auto operator<=>(const place_part&) const = default;
};

/// @brief Resources that satisfy a shape. The worker of the first part leads the gang.
struct place {
    std::vector<place_part> parts;
    double score = 0; ///< Lower is better.
    unsigned candidates = 0; ///< Number of places that were compared.

    auto operator<=>(const place&) const = default;
};

/// @brief Set of the first @p count accelerators.
accelerator_set firstAccelerators(unsigned count);

/// @brief Subtracts @p taken from @p from; each amount is at least 0.
resources remaining(const resources& from, const resources& taken);

/// @brief True if every amount of @p inner is available in @p outer.
bool contains(const resources& outer, const resources& inner);

} // namespace oriole
