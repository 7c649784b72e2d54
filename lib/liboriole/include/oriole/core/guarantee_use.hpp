/// @file
/// @brief Tells which guarantees of an organisation its running attempts use.
#pragma once

#include <oriole/core/tables.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace oriole {

/// @brief A guarantee in use.
struct used_guarantee {
    std::size_t guarantee = 0; ///< Index in the organisation's policy.
    const attempt_row* attempt = nullptr;
};

struct guarantee_usage {
    std::vector<unsigned> unused; ///< By index in the organisation's policy.
    std::vector<used_guarantee> used;
};

/// @brief Matches the guaranteed attempts of the organisation with its guarantees.
///
/// An attempt uses the smallest guaranteed shape that holds it, whether or not that is in use already. So the
/// match of an attempt never changes while others come and go, and every entry finds the same.
guarantee_usage usageOf(const organisation_row& organisation);

/// @brief The unused guarantee that a job of this shape would use up.
/// @return Index in the organisation's policy; no value when there is none.
std::optional<std::size_t> guaranteeFor(const organisation_row& organisation, const shape& wanted);

} // namespace oriole
