/// @file
/// @brief Names what is placed together.
#pragma once

#include <compare>
#include <string>

namespace fleet {

/// @brief Unit of placement: a whole step if it is a gang, else one task.
struct unit_id {
    std::string job;
    unsigned occurrence = 0;
    unsigned step = 0;
    unsigned index = 0; ///< 0 for a gang.

    auto operator<=>(const unit_id&) const = default;
};

} // namespace fleet
