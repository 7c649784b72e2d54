/// @file
/// @brief Tells which guarantees of an organisation its running attempts use.
#pragma once

#include <oriole/core/tables.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace oriole {

/// @brief Number of unused guarantees, by index in the organisation's policy.
std::vector<unsigned> unusedGuarantees(const organisation_row& organisation);

/// @brief The guarantee that a job of this shape would use up.
/// @return Index in the organisation's policy; no value when the job does not fit an unused one.
std::optional<std::size_t> guaranteeFor(const organisation_row& organisation, const shape& wanted);

} // namespace oriole
