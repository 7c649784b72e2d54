/// @file
/// @brief The agent process, one for each backend server.
#pragma once

#include <oriole/agent/agent_settings.hpp>

namespace oriole {

/// @brief Runs an agent until SIGTERM or SIGINT, then shuts it down gracefully.
/// @return The exit code of the process.
int runAgent(const agent_settings& settings);

} // namespace oriole
