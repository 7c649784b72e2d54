/// @file
/// @brief Tells whether the known workers could hold a shape at all.
#pragma once

#include <oriole/core/tables.hpp>

#include <optional>
#include <string>

namespace oriole {

/// @brief Says why no configuration of the known workers could hold the shape, were all of them empty.
/// @return No value when it could be held, or when no worker is known yet.
std::optional<std::string> whyImpossible(const scheduler_tables& tables, const shape& wanted);

} // namespace oriole
