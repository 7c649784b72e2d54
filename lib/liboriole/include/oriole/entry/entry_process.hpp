/// @file
<<<<<<< HEAD
/// @brief The process `oriolewayd entry`.
=======
/// @brief The process on each entry VM.
>>>>>>> part/agent
#pragma once

#include <oriole/entry/entry_settings.hpp>

namespace oriole {

<<<<<<< HEAD
/// @brief Runs an entry until it is told to stop.
=======
/// @brief Runs an entry until SIGTERM or SIGINT, then stops as planned.
>>>>>>> part/agent
/// @return The exit code of the process.
int runEntry(const entry_settings& settings);

} // namespace oriole
