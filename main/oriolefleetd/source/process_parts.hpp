/// @file
/// @brief Components that the processes of both roles share.
#pragma once

#include "process_options.hpp"

#include <settings.hpp>

#include <fleet/agent/worker_agent.hpp>
#include <fleet/http/metrics_listener.hpp>

#include <memory>

namespace fleetd {

/// @brief Lease durations. Agents and the scheduler need the same values, because a run counts as ended once its lease
/// has expired.
fleet::agent_timing agentTiming(const platform::node_settings& settings);

/// @brief Opens the metrics endpoint.
/// @return Null if the metrics port is 0.
std::unique_ptr<fleet::http_listener> openMetrics(oriole::event_loop& loop, const oriole::metrics_registry& metrics,
    const platform::node_settings& settings, const process_options& options, std::shared_ptr<fleet::client_gate> clients);

/// @brief The gate that all listeners of a process share.
std::shared_ptr<fleet::client_gate> openClientGate(
    oriole::event_loop& loop, oriole::metrics_registry& metrics, const platform::node_settings& settings);

/// @brief Address for the system's other processes: the announced one, or else the one on which the process listens.
std::string announcedAddress(const platform::node_settings& settings, const process_options& options);

} // namespace fleetd
