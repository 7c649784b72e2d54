/// @file
/// @brief The policies of the decision core, as alternatives of one variant.
#pragma once

#include <compare>
#include <optional>
#include <string_view>
#include <variant>

namespace oriole {

/// @brief Baseline for comparison: first come, first served; first place that fits; no reclaim and no run time estimates.
struct first_fit_policy {
    auto operator<=>(const first_fit_policy&) const = default;
};

/// @brief Guarantees with reclaim, fair share, run time estimates, ageing, and best fit to limit fragmentation.
struct guarantee_policy {
    auto operator<=>(const guarantee_policy&) const = default;
};

using policy = std::variant<guarantee_policy, first_fit_policy>;

std::string_view toString(const policy& value);

/// @brief Parses `guarantee` or `first-fit`.
std::optional<policy> parsePolicy(std::string_view text);

} // namespace oriole
