#include "served_process.hpp"

#include <oriole/helpers/promise.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace hostile {

namespace {

using nlohmann::json;
using oriole::harness::freeEndpoint;

constexpr oriole::milliseconds requestDeadline { 3000 };
constexpr oriole::milliseconds retryDelay { 200 };

std::string text(const oriole::endpoint& address)
{
    return address.ip + ":" + std::to_string(address.port);
}

json configuration()
{
    const json queue { { "name", "batch" }, { "host", "test.example" }, { "prefix", "/batch/" }, { "service", "desk" }, { "priority", 2 },
        { "maxAttempts", 4 }, { "slackFactor", 3.0 }, { "targetLatencyMs", 1200 } };
    return { { "version", 1 }, { "routes", json::array({ queue }) },
        { "services", json::array({ { { "name", "desk" }, { "preconditions", true } } }) },
        { "tenants", json::array({ { { "name", "daily" }, { "apiKeys", json::array({ "key-one" }) }, { "guaranteed", { { "gpu", 8 } } } } }) },
        { "limits", { { "maxBodyBytes", 262'144 } } } };
}

} // namespace

served_process::served_process(oriole::event_loop& loop, process_role role, machine_limits limits)
    : service(freeEndpoint())
    , ready(freeEndpoint())
    , metrics(freeEndpoint())
    , rpc(freeEndpoint())
    , m_loop(loop)
    , m_role(role)
    , m_storeAddress(freeEndpoint())
    , m_store(loop, text(m_storeAddress), 1)
{
    m_store.put("op/config", configuration().dump());
    writeSettings(role, limits);
    m_process = std::make_unique<oriole::harness::process>("oriolefleetd",
        std::vector<std::string> { "--settings", m_directory.file("settings.json"), "--metrics-port", std::to_string(metrics.port),
            role == process_role::Entry ? "entry" : "agent" },
        m_directory.file("log"));
    m_client = std::make_unique<fleet::http_client>(loop, text(service));
}

void served_process::writeSettings(process_role role, machine_limits limits) const
{
    const json listen = role == process_role::Entry ? json { { "frontend", text(service) }, { "ready", text(ready) } }
                                                    : json { { "controlPlane", text(service) } };
    const json settings { { "nodeName", "n1" }, { "ip", rpc.ip }, { "zone", "domain-a" }, { "zones", { { "domain-a", "region" } } },
        { "listenAddrs", listen }, { "portRange", { rpc.port, rpc.port + 5 } }, { "seedNodes", json::array() },
        { "platform", { { "address", text(m_storeAddress) } } },
        { "limits", { { "cpuQuota", 0.25 }, { "cpuCores", 1 }, { "memoryMb", limits.memoryMb }, { "maxFds", limits.maxFds } } } };
    std::ofstream(m_directory.file("settings.json")) << settings.dump();
}

fleet::http_request served_process::ordinaryRequest()
{
    ++m_requests;
    if (m_role == process_role::Agent) {
        const json heartbeat { { "service", "desk" }, { "zone", "domain-a" }, { "capacity", { { "cpu", 4000 }, { "memMb", 1000 }, { "gpu", 1 } } },
            { "labels", { "a", "r1" } }, { "version", "v1" },
            { "slots", 8 }, { "coldLeftMs", 0 }, { "state", "ready" }, { "address", text(ready) }, { "sequence", m_requests } };
        return { kj::HttpMethod::PUT, "/api/instances/w1", {}, heartbeat.dump(), requestDeadline };
    }
    char id[17];
    std::snprintf(id, sizeof id, "%016x", m_requests);
    const json phase { { "count", 1 }, { "cpu", 4000 }, { "memMb", 1000 }, { "gpu", 0 }, { "estimateMs", 3000 } };
    const json job { { "spec", "work" }, { "phases", json::array({ phase }) } };
    return { kj::HttpMethod::POST, std::string("/batch/") + id, { { "X-Key", "key-one" } }, job.dump(), requestDeadline, "test.example" };
}

bool served_process::answersOrdinaryRequest()
{
    const auto end = std::chrono::steady_clock::now() + oriole::harness::generousBound;
    while (std::chrono::steady_clock::now() < end && alive()) {
        auto answer = oriole::makePromiseCallback<unsigned>();
        m_client->exchange(ordinaryRequest(), [&](const fleet::result<fleet::http_response>& given) { answer.resolve(given ? given.value().status : 0); });
        if (answer.promise.wait(m_loop.io().waitScope) == 200)
            return true;
        m_loop.after(retryDelay).wait(m_loop.io().waitScope);
    }
    return false;
}

std::size_t served_process::openDescriptors() const
{
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(m_process->pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

} // namespace hostile
