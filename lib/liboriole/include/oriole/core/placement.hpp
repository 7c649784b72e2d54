/// @file
/// @brief Finds the accelerators for one shape, on one worker or within a rack or failure domain.
#pragma once

#include <oriole/core/place.hpp>

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace oriole {

/// @brief Scores taking these accelerators of a worker out of the given room; lower is better.
using part_scorer = std::function<double(const room_at& from, accelerator_set taken)>;

/// @brief Finds the best aligned block on one of the workers. A block lies within a cell of the next power of two.
std::optional<place> placeOnOne(std::span<const room_at> rooms, const shape& wanted, const part_scorer& score);

/// @brief Spreads the shape over as few of the workers as can hold it; all of them are of one group.
std::optional<place> placeOnGroup(std::span<const room_at> rooms, const shape& wanted, const part_scorer& score);

/// @brief True when the shape has to be on one worker.
bool onOneWorker(const shape& wanted);

/// @brief Chooses @p count accelerators from the room so that small holes are used up first.
accelerator_set chooseAccelerators(accelerator_set room, unsigned count);

/// @brief Size of the largest aligned cell that is wholly in the room and contains the given accelerators.
unsigned holeAround(accelerator_set room, accelerator_set taken);

/// @brief Size of the largest aligned cell that is wholly in the room.
unsigned largestHole(accelerator_set room);

} // namespace oriole
