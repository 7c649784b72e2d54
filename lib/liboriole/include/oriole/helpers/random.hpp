/// @file
/// @brief Random identifiers.
#pragma once

#include <string>

namespace oriole {

/// @brief Returns 16 hexadecimal digits from the system's entropy.
std::string randomId();

} // namespace oriole
