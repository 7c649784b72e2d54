/// @file
/// @brief Finds the accelerators for one shape, on one worker or within a rack or failure domain.
#pragma once

#include <oriole/core/place.hpp>

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace oriole {

/// @brief Scores the use of the accelerators @p taken out of the available resources; lower is better.
using part_scorer = std::function<double(const available_resources& from, accelerator_set taken)>;

/// @brief Finds the aligned block with the lowest score on any single worker. Blocks start at multiples of their size rounded
/// up to a power of two.
std::optional<place> placeOnWorker(std::span<const available_resources> rooms, const shape& wanted, const part_scorer& score);

/// @brief Distributes the shape over as few workers as possible; the given workers all belong to one rack or failure domain.
std::optional<place> placeInGroup(std::span<const available_resources> rooms, const shape& wanted, const part_scorer& score);

/// @brief True if the shape must be placed on a single worker.
bool requiresOneWorker(const shape& wanted);

/// @brief Chooses @p count of the free accelerators, using small holes first to limit fragmentation.
accelerator_set chooseAccelerators(accelerator_set room, unsigned count);

/// @brief Size of the largest aligned block that is entirely free and contains the given accelerators.
unsigned holeAround(accelerator_set room, accelerator_set taken);

/// @brief Size of the largest aligned block that is entirely free.
unsigned largestHole(accelerator_set room);

} // namespace oriole
