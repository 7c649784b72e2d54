/// @file
/// @brief Identifies a scheduler's connection to an agent.
#pragma once

#include <compare>
#include <cstdint>

namespace fleet {

struct attachment_id {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0; ///< Rises with each connection that the scheduler of this epoch opens to the agent.

    auto operator<=>(const attachment_id&) const = default;
};

} // namespace fleet
