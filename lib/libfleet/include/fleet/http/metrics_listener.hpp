/// @file
/// @brief HTTP endpoint for the metrics of a process.
#pragma once

#include <fleet/http/http_listener.hpp>

#include <oriole/helpers/metrics.hpp>

#include <memory>
#include <string>

namespace fleet {

/// @brief Serves all metrics of @p registry to GET requests, in the Prometheus text format.
/// @param address IP:PORT.
/// @param clients As for any listener.
std::unique_ptr<http_listener> serveMetrics(oriole::event_loop& loop, const oriole::metrics_registry& registry,
    const std::string& address, std::shared_ptr<client_gate> clients = nullptr);

} // namespace fleet
