/// @file
/// @brief Small operations on text that several modules need.
#pragma once

#include <string>

namespace oriole {

/// @brief Turns ASCII letters into lower case; header names are compared that way.
std::string lowerCase(std::string text);

} // namespace oriole
