/// @file
/// @brief The error that tells an operator which flag has a bad value.
#pragma once

#include <oriole/api/result.hpp>

#include <string>

namespace oriole {

/// @param flag As typed, with its dashes.
/// @param value As given.
/// @param reason What the value must be.
failure invalidFlag(const std::string& flag, const std::string& value, const std::string& reason);

} // namespace oriole
