/// @file
/// @brief Options of a process that are given as flags or environment variables, not in the platform's settings file.
#pragma once

#include <cstdint>
#include <string>

namespace fleetd {

struct process_options {
    std::string settingsFile = "/etc/oriolewayd/settings.json";
    std::uint16_t metricsPort = 9464; ///< 0 disables the metrics endpoint.
    std::string announcedAddress; ///< IP:PORT at which other processes reach this one; empty if it is the one it listens on.
};

} // namespace fleetd
