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
struct amounts {
    accelerator_set accelerators = 0;
    unsigned processors = 0;
    unsigned memoryGb = 0;

    auto operator<=>(const amounts&) const = default;
};

/// @brief Resources available on one worker.
struct room_at {
    worker_index worker = 0;
    amounts room;

    auto operator<=>(const room_at&) const = default;
};

/// @brief Available resources per worker, in the order of the worker table.
using fleet_room = std::vector<room_at>;

/// @brief Resources that a place uses on one worker.
struct place_part {
    worker_index worker = 0;
    amounts taken;

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
amounts remaining(const amounts& from, const amounts& taken);

/// @brief True if every amount of @p inner is available in @p outer.
bool contains(const amounts& outer, const amounts& inner);

} // namespace oriole
