/// @file
/// @brief What the processes of both roles are made of.
#pragma once

#include "process_options.hpp"

#include <settings.hpp>

#include <fleet/agent/worker_agent.hpp>
#include <fleet/http/metrics_listener.hpp>

#include <memory>

namespace fleetd {

/// @brief How long leases last. Agents and the scheduler rest on the same figures: a run counts as ended by them.
fleet::agent_timing agentTiming(const platform::node_settings& settings);

/// @return Null where the options name no port.
std::unique_ptr<fleet::http_listener> openMetrics(oriole::event_loop& loop, const oriole::metrics_registry& metrics,
    const platform::node_settings& settings, const process_options& options);

} // namespace fleetd
