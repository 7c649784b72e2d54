/// @file
/// @brief The process of the role `agent`.
#pragma once

#include <settings.hpp>

namespace fleetd {

/// @brief Runs until a stop signal.
/// @return The exit code.
int runAgent(const platform::node_settings& settings);

} // namespace fleetd
