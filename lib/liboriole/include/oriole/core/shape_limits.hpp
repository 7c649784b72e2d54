/// @file
/// @brief Checks whether the known workers could hold a shape at all.
#pragma once

#include <oriole/core/tables.hpp>

#include <optional>
#include <string>

namespace oriole {

/// @brief Explains why the known workers could not hold the shape even if all of them were idle.
/// @return No value if they could hold it, or if no worker is known yet.
std::optional<std::string> explainImpossible(const scheduler_tables& tables, const shape& wanted);

} // namespace oriole
