/// @file
/// @brief Amounts on workers, and places made of them.
#pragma once

#include <oriole/core/model.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace oriole {

using worker_index = std::uint32_t;

/// @brief Amounts on one worker that are taken, or that are free.
struct amounts {
    accelerator_set accelerators = 0;
    unsigned processors = 0;
    unsigned memoryGb = 0;

    auto operator<=>(const amounts&) const = default;
};

/// @brief Room that may be used on one worker.
struct room_at {
    worker_index worker = 0;
    amounts room;

    auto operator<=>(const room_at&) const = default;
};

/// @brief Room per worker, in the order of the worker table.
using fleet_room = std::vector<room_at>;

/// @brief What a place takes on one worker.
struct place_part {
    worker_index worker = 0;
    amounts taken;

    auto operator<=>(const place_part&) const = default;
};

/// @brief Where a shape fits. The first part's worker leads the gang.
struct place {
    std::vector<place_part> parts;
    double score = 0; ///< Lower is better.
    unsigned candidates = 0; ///< Places weighed.

    auto operator<=>(const place&) const = default;
};

/// @brief Set of the first @p count accelerators.
accelerator_set firstAccelerators(unsigned count);

/// @brief What is left of @p from once @p taken is gone.
amounts remaining(const amounts& from, const amounts& taken);

/// @brief True when @p inner fits wholly into @p outer.
bool contains(const amounts& outer, const amounts& inner);

} // namespace oriole
