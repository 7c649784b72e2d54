#include "process_parts.hpp"

#include <algorithm>
#include <string>

namespace fleetd {

fleet::agent_timing agentTiming(const platform::node_settings& settings)
{
    fleet::agent_timing timing;
    timing.lease = std::min(timing.lease, settings.longestLease);
    timing.longestLease = settings.longestLease;
    return timing;
}

std::unique_ptr<fleet::http_listener> openMetrics(oriole::event_loop& loop, const oriole::metrics_registry& metrics,
    const platform::node_settings& settings, const process_options& options, std::shared_ptr<fleet::client_gate> clients)
{
    if (options.metricsPort == 0)
        return nullptr;
    return fleet::serveMetrics(loop, metrics, settings.ip + ":" + std::to_string(options.metricsPort), std::move(clients));
}

std::shared_ptr<fleet::client_gate> openClientGate(
    oriole::event_loop& loop, oriole::metrics_registry& metrics, const platform::node_settings& settings)
{
    return fleet::client_gate::create(loop, fleet::deriveClientCapacity(settings.limits), &metrics);
}

std::string announcedAddress(const platform::node_settings& settings, const process_options& options)
{
    return options.announcedAddress.empty() ? settings.rpcAddress : options.announcedAddress;
}

} // namespace fleetd
