/// @file
/// @brief The process on each entry VM.
#pragma once

#include <oriole/entry/entry_settings.hpp>

namespace oriole {

/// @brief Runs an entry until SIGTERM or SIGINT, then stops as planned.
/// @return The exit code of the process.
int runEntry(const entry_settings& settings);

} // namespace oriole
