/// @file
/// @brief The process of the role `agent`.
#pragma once

#include "process_options.hpp"

#include <settings.hpp>

namespace fleetd {

/// @brief Runs an agent until the process receives a stop signal.
/// @return The exit code.
int runAgent(const platform::node_settings& settings, const process_options& options);

} // namespace fleetd
