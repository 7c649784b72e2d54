/// @file
/// @brief Settings of a process that are the product's own: flags and environment.
#pragma once

#include <cstdint>
#include <string>

namespace fleetd {

struct process_options {
    std::string settingsFile = "/etc/oriolewayd/settings.json";
    std::uint16_t metricsPort = 9464; ///< 0 for none.
};

} // namespace fleetd
