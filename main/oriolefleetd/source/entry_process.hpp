/// @file
/// @brief The process of the role `entry`.
#pragma once

#include <settings.hpp>

namespace fleetd {

/// @brief Runs until a stop signal.
/// @return The exit code.
int runEntry(const platform::node_settings& settings);

} // namespace fleetd
