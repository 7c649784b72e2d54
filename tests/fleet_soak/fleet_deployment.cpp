#include "fleet_deployment.hpp"

#include <fleet/records/job_codec.hpp>

#include <algorithm>
#include <fstream>

#include <unistd.h>

namespace fleet::soak {

namespace {

using nlohmann::json;
using oriole::endpoint;
using oriole::harness::fault_proxy;

constexpr unsigned short storePort = 23'100;
constexpr unsigned short callerPort = 23'101;
constexpr unsigned short readyPort = 23'102;
constexpr unsigned short heartbeatPort = 23'103;
constexpr unsigned short workerPort = 23'104;
constexpr unsigned short rpcPort = 23'110;
constexpr unsigned short rpcProxyPort = 23'120;
constexpr unsigned short storeProxyPort = 23'121;
constexpr unsigned short workerProxyPort = 23'122;
constexpr unsigned storeHost = 250;
constexpr unsigned silentHost = 251;
constexpr unsigned firstAgentHost = 20;
constexpr unsigned firstWorkerHost = 120;
constexpr unsigned workersPerRack = 3;
constexpr double slowestClockRate = 0.98;
constexpr oriole::milliseconds processCheckPeriod { 200 };
constexpr std::size_t entryMemoryMb = 260;
constexpr std::size_t agentMemoryMb = 128;

std::string at(const std::string& ip, unsigned short port)
{
    return ip + ":" + std::to_string(port);
}

// A fast task takes a few polls of its agent, a slow one outlasts a lease.
oriole::milliseconds runTimeOf(const std::string& task)
{
    constexpr std::size_t shortestMs = 300;
    constexpr std::size_t spreadMs = 6000;
    return oriole::milliseconds(shortestMs + std::hash<std::string> {}(task) % spreadMs);
}

} // namespace

fleet_deployment::fleet_deployment(oriole::event_loop& loop, deployment_settings settings, soak_history& history)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_history(history)
    , m_start(loop.timers().now())
{
    const auto pid = static_cast<unsigned>(::getpid());
    m_prefix = "127." + std::to_string(2 + (pid >> 8U) % 60) + "." + std::to_string(pid % 256) + ".";
    m_store = std::make_unique<standin::platform_store>(m_loop, at(ip(storeHost), storePort), m_settings.seed);
    m_silent = std::make_unique<fault_proxy>(endpoint { ip(silentHost), workerPort }, endpoint { ip(silentHost), storePort });
    m_silent->set(oriole::harness::link_fault::Drop);
    configure();
    for (unsigned i = 0; i < m_settings.entries; ++i)
        addNode(m_entries, "entry", i, 1 + i);
    for (unsigned i = 0; i < m_settings.workers; ++i) {
        addNode(m_agents, "agent", i, firstAgentHost + i);
        const auto domains = failureDomains();
        standin::worker_settings worker;
        worker.name = "worker-" + std::to_string(i);
        worker.service = serviceName;
        worker.failureDomain = domains[i % domains.size()];
        worker.rack = "r" + std::to_string(i / workersPerRack);
        worker.clockRate = i % 2 == 0 ? 1 : slowestClockRate;
        worker.maxLease = m_settings.longestLease;
        const auto address = ip(firstWorkerHost + i);
        worker.listenAddress = at(address, workerPort);
        worker.announcedAddress = at(address, workerProxyPort);
        worker.agentAddress = heartbeatAddress(m_agents.back());
        served_worker served;
        served.link = std::make_unique<fault_proxy>(endpoint { address, workerProxyPort }, endpoint { address, workerPort });
        served.worker = std::make_unique<standin::platform_worker>(
            m_loop, worker, m_history, m_settings.seed + i, [this] { return seconds(); }, runTimeOf);
        m_workers.push_back(std::move(served));
    }
    m_loop.timers().subscribeEvery(processCheckPeriod, [this](oriole::time_point) { checkProcesses(); });
    for (auto& entry : m_entries)
        run(entry);
    for (auto& agent : m_agents)
        run(agent);
}

fleet_deployment::~fleet_deployment() = default;

std::vector<std::string> fleet_deployment::failureDomains() const
{
    return { "domain-a", "domain-b", "domain-c" };
}

fleet_deployment::node* fleet_deployment::leadingEntry()
{
    const auto holder = m_store->valueOf(record_keys::scheduler);
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const node& entry) { return holder.starts_with(entry.name + "/"); });
    return found == m_entries.end() ? nullptr : &*found;
}

std::string fleet_deployment::ip(unsigned host) const
{
    return m_prefix + std::to_string(host);
}

std::string fleet_deployment::silentAddress() const
{
    return at(ip(silentHost), workerPort);
}

double fleet_deployment::seconds() const
{
    return std::chrono::duration<double>(m_loop.timers().now() - m_start).count();
}

std::string fleet_deployment::callerAddress(const node& entry) const
{
    return at(entry.ip, callerPort);
}

std::string fleet_deployment::heartbeatAddress(const node& agent) const
{
    return at(agent.ip, heartbeatPort);
}

void fleet_deployment::addNode(std::vector<node>& list, const std::string& role, unsigned number, unsigned host)
{
    node added;
    added.name = role + "-" + std::to_string(number);
    added.role = role;
    added.ip = ip(host);
    added.failureDomain = failureDomains()[number % failureDomains().size()];
    added.rpcLink = std::make_unique<fault_proxy>(endpoint { added.ip, rpcProxyPort }, endpoint { added.ip, rpcPort });
    added.storeLink = std::make_unique<fault_proxy>(endpoint { added.ip, storeProxyPort }, endpoint { ip(storeHost), storePort });
    writeSettings(added);
    list.push_back(std::move(added));
}

void fleet_deployment::writeSettings(const node& which) const
{
    const auto domains = failureDomains();
    json regionsOfDomains = json::object();
    for (const auto& domain : domains)
        regionsOfDomains[domain] = "region-" + domain;
    json seeds = json::array();
    for (unsigned i = 0; i < m_settings.entries; ++i)
        seeds.push_back(at(ip(1 + i), heartbeatPort));
    const bool isEntry = which.role == "entry";
    const json listen = isEntry ? json { { "frontend", at(which.ip, callerPort) }, { "ready", at(which.ip, readyPort) } }
                                : json { { "controlPlane", at(which.ip, heartbeatPort) } };
    const json settings { { "nodeName", which.name }, { "role", which.role }, { "ip", which.ip },
        { "zone", which.failureDomain }, { "zones", regionsOfDomains }, { "listenAddrs", listen },
        { "portRange", { rpcPort, rpcPort + 5 } }, { "seedNodes", seeds },
        { "platform", { { "address", at(which.ip, storeProxyPort) } } },
        { "limits", { { "cpuQuota", 0.25 }, { "cpuCores", 1 } } },
        { "bounds", { { "holdMaxMs", m_settings.longestLease.count() }, { "gangTimeoutMs", 3000 }, { "graceS", 6 }, { "spreadFactor", 3 } } } };
    std::ofstream(m_settings.directory + "/" + which.name + ".json") << settings.dump();
}

void fleet_deployment::run(node& which)
{
    if (which.process != nullptr && which.process->running())
        return;
    const auto base = m_settings.directory + "/" + which.name;
    const std::vector<std::string> arguments { "--settings", base + ".json", "--metrics-port", "0", "--announce-address",
        at(which.ip, rpcProxyPort), which.role };
    which.process = std::make_unique<oriole::harness::process>("oriolefleetd", arguments, base + ".log");
    which.mayEnd = false;
}

void fleet_deployment::checkProcesses()
{
    for (auto* list : { &m_entries, &m_agents }) {
        for (auto& each : *list) {
            // The platform kills what goes over its memory.
            if (each.process->running() && each.process->peakResidentMb() > (each.role == "entry" ? entryMemoryMb : agentMemoryMb))
                each.process->kill();
            else if (each.mayEnd || each.process->running())
                continue;
            m_history.ownEnds.push_back({ each.name, seconds(), each.process->waitForExit().value_or(-1) });
            run(each);
        }
    }
}

void fleet_deployment::configure(unsigned targetMs, bool withSecondKey)
{
    const auto queue = [&](const char* name, const std::string& prefix, unsigned priority) {
        return json { { "name", name }, { "host", callerHost }, { "prefix", prefix }, { "service", serviceName }, { "priority", priority },
            { "maxAttempts", maxAttempts }, { "slackFactor", 3.0 }, { "targetLatencyMs", targetMs } };
    };
    json keys = json::array({ firstKey });
    if (withSecondKey)
        keys.push_back(secondKey);
    const json configuration { { "version", ++m_version },
        { "routes", { queue("batch", queuePrefix, 2), queue("urgent", urgentPrefix, 0) } },
        { "services", json::array({ { { "name", serviceName }, { "preconditions", true } } }) },
        { "tenants", json::array({ { { "name", "daily" }, { "apiKeys", keys }, { "guaranteed", { { "gpu", 8 } } } } }) },
        { "limits", { { "maxBodyBytes", 262'144 } } } };
    m_store->put("op/config", configuration.dump());
}

} // namespace fleet::soak
