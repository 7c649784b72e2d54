#include <oriole/agent/agent_settings.hpp>
#include <oriole/helpers/flag_error.hpp>

#include <utility>

namespace oriole {

namespace {

constexpr unsigned maxAccelerators = 64;

} // namespace

result<agent_settings> checkAgentSettings(agent_settings settings)
{
    if (settings.worker.empty())
        return invalidFlag("--worker", settings.worker, "must not be empty");
    if (settings.slots == 0)
        return invalidFlag("--slots", "0", "must be at least 1");
    if (settings.connections < settings.slots)
        return invalidFlag("--connections", std::to_string(settings.connections), "must not be less than --slots");
    if (settings.accelerators > maxAccelerators)
        return invalidFlag("--accelerators", std::to_string(settings.accelerators), "must not be more than 64");
    if (settings.rpc.port == 0)
        return invalidFlag("--rpc", toString(settings.rpc), "must have a port");
    return settings;
}

worker_info workerInfo(const agent_settings& settings, std::uint64_t incarnation)
{
    worker_info info;
    info.name = settings.worker;
    info.rpc = toString(settings.advertisedRpc.ip.empty() ? settings.rpc : settings.advertisedRpc);
    info.region = settings.region;
    info.failureDomain = settings.failureDomain;
    info.rack = settings.rack;
    info.service = settings.service;
    info.accelerators = settings.accelerators;
    info.processors = settings.processors;
    info.memoryGb = settings.memoryGb;
    info.slots = settings.slots;
    info.connections = settings.connections;
    info.incarnation = incarnation;
    return info;
}

} // namespace oriole
