/// @file
/// @brief Matches the running attempts of an organisation with its guarantees.
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
/// An attempt always matches the smallest guaranteed shape that can hold it, even if all guarantees of that shape are in
/// use. The match of an attempt therefore does not depend on other attempts and is the same at every entry.
guarantee_usage matchGuarantees(const organisation_row& organisation);

/// @brief The unused guarantee that a job of this shape would use.
/// @return Index in the organisation's policy; no value if there is none.
std::optional<std::size_t> guaranteeFor(const organisation_row& organisation, const shape& wanted);

} // namespace oriole
