/// @file
/// @brief Judges a soak run by the platform's rules, from what was seen from outside alone.
#pragma once

#include "run_history.hpp"

#include <string>
#include <vector>

namespace fleet::soak {

struct violation {
    std::string rule; ///< Name of the platform's rule.
    std::string subject; ///< Job or task.
    std::string description;

    auto operator<=>(const violation&) const = default;
};

/// @brief Finds what broke a rule. The history has to end after the final phase, in which no fault is in effect.
std::vector<violation> findViolations(const soak_history& history);

} // namespace fleet::soak
