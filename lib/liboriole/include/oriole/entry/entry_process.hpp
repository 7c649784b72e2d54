/// @file
/// @brief The process `oriolewayd entry`.
#pragma once

#include <oriole/entry/entry_settings.hpp>

namespace oriole {

/// @brief Runs an entry until it is told to stop.
/// @return The exit code of the process.
int runEntry(const entry_settings& settings);

} // namespace oriole
