/// @file
/// @brief The process beside each backend server.
#pragma once

#include <oriole/agent/agent_settings.hpp>

namespace oriole {

/// @brief Runs an agent until SIGTERM or SIGINT, then stops as planned.
/// @return The exit code of the process.
int runAgent(const agent_settings& settings);

} // namespace oriole
