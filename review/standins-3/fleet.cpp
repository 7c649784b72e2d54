#include "fleet.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int frontendPort = 8521;
constexpr int readyPort = 8523;
constexpr int storePort = 8524;
constexpr int controlPlanePort = 8526;
constexpr int appPort = 8529;
constexpr unsigned storeByte = 250;
constexpr unsigned firstSideByte = 20;
constexpr int clientTimeoutMs = 3000;
constexpr unsigned clientTries = 5;
constexpr milliseconds clientPause { 1000 };
constexpr milliseconds restartDelay { 500 };
constexpr milliseconds watchPeriod { 50 };
constexpr milliseconds readyLimit { 30'000 };
constexpr milliseconds leadTime { 10'000 };

const std::vector<std::string> zones { "praha-a", "brno-a", "ostrava-a" };

} // namespace

const std::string deployment::host = "nony24.example";
const std::string deployment::service = "huvo11a";
const std::string deployment::apiKey = "d4a3hwrr6x73d3zji9n7";

deployment::deployment(trial_record& record, unsigned sides, minion_floor::course_rule courses)
    : m_record(record)
    , m_sides(sides)
{
    std::string folder = (std::filesystem::temp_directory_path() / "orioleway-review-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    m_folder = folder;
    // The first of these networks on which nothing listens.
    const auto seed = static_cast<unsigned>(::getpid());
    for (unsigned i = 0; i < 200 && m_store == nullptr; ++i) {
        m_prefix = "127." + std::to_string(70 + (seed / 200 + i) % 50) + "." + std::to_string((seed + i) % 200 + 1) + ".";
        try {
            m_store = std::make_unique<platform_store>(address(storeByte), storePort);
        } catch (const std::runtime_error&) {
            continue;
        }
    }
    if (m_store == nullptr)
        throw std::runtime_error("no free loopback network");
    m_floor = std::make_unique<minion_floor>(m_record, std::move(courses));
    for (unsigned i = 0; i < frontends; ++i)
        addNode("entry", i, 1 + i);
    for (unsigned i = 0; i < m_sides; ++i)
        addNode("agent", i, firstSideByte + i);
}

deployment::~deployment()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ending = true;
    }
    if (m_supervisor.joinable())
        m_supervisor.join();
    for (auto& each : m_nodes) {
        if (each.pid <= 0)
            continue;
        ::kill(each.pid, SIGKILL);
        ::waitpid(each.pid, nullptr, 0);
    }
    m_floor.reset();
    m_store.reset();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder, ignored);
}

std::string deployment::address(unsigned lastByte) const
{
    return m_prefix + std::to_string(lastByte);
}

void deployment::addNode(const std::string& role, unsigned number, unsigned lastByte)
{
    node added;
    added.zone = zones[number % zones.size()];
    added.name = (role == "entry" ? "frontend-" : "side-") + added.zone + "-" + std::to_string(1 + number / zones.size());
    added.role = role;
    added.ip = address(lastByte);
    m_nodes.push_back(std::move(added));
}

void deployment::writeSettings(const node& which) const
{
    const bool isEntry = which.role == "entry";
    json seeds = json::array();
    for (unsigned i = 0; i < frontends; ++i)
        seeds.push_back(address(1 + i) + ":" + std::to_string(controlPlanePort));
    json listen { { "controlPlane", which.ip + ":" + std::to_string(controlPlanePort) } };
    if (isEntry) {
        listen["frontend"] = which.ip + ":" + std::to_string(frontendPort);
        listen["ready"] = which.ip + ":" + std::to_string(readyPort);
    }
    // The settings and bounds of the site sloupek-orioleway.
    json settings { { "nodeName", which.name }, { "role", which.role }, { "machineClass", isEntry ? "frontend" : "side" },
        { "serves", isEntry ? json { "frontend", "control_plane" } : json { "side" } }, { "ip", which.ip }, { "zone", which.zone },
        { "region", which.zone.substr(0, which.zone.find('-')) },
        { "zones", { { "praha-a", "praha" }, { "brno-a", "brno" }, { "ostrava-a", "ostrava" } } }, { "listenAddrs", listen },
        { "portRange", { 7000, 7015 } }, { "seedNodes", seeds }, { "bootstrap", true }, { "failureCounted", false },
        { "limits", { { "cpuQuota", isEntry ? 0.25 : 0.15 }, { "cpuCores", 1 }, { "memoryMb", isEntry ? 260 : 128 }, { "maxFds", isEntry ? 4100 : 4096 }, { "linkMbps", 1000.0 }, { "diskMb", 0 } } },
        { "dataDir", nullptr }, { "discovery", "local" }, { "entryMode", "vip" }, { "heartbeatMs", 1500 },
        { "faultTolerance", { { "machines", 2 }, { "zones", 1 }, { "regions", 1 } } },
        { "bounds", { { "seedLagS", 3 }, { "addrReuseS", 2 }, { "contactMs", 3000 }, { "ackTimeoutMs", 4000 }, { "catchUpS", 4 }, { "drainMs", 2500 }, { "graceS", 6 }, { "lossSlackMs", 200 }, { "configApplyMs", 2500 }, { "downgradeSlackMs", 250 }, { "outerMs", 5000 }, { "strictRevocation", true }, { "revokeMs", 5000 }, { "evacuationMs", 5000 }, { "recoveryS", 12 }, { "holdMaxMs", 6000 }, { "killGraceMs", 200 }, { "gangTimeoutMs", 3000 }, { "cancel_ms", 3000 }, { "visible_ms", 3000 }, { "early_ms", 250 }, { "finish_s", 14 }, { "status_s", 120 }, { "spreadFactor", 3 }, { "checkpointS", 1 }, { "restoreMs", 600 }, { "noticeMs", 4500 }, { "fencingEnforced", false }, { "leaseMs", 3000 }, { "impactMs", 4000 }, { "reclaimMs", 2700 } } },
        { "commands", "invocation" },
        { "platform", { { "address", address(storeByte) + ":" + std::to_string(storePort) }, { "form", "kv" }, { "writesPerS", 400 }, { "readsPerS", 2000 }, { "historyS", 20 }, { "valueBytes", 1'048'576 }, { "ttlMinMs", 1000 } } } };
    if (!isEntry) {
        settings["app"] = which.ip + ":" + std::to_string(appPort);
        settings["service"] = service;
    }
    std::ofstream(m_folder + "/" + which.name + ".json") << settings.dump();
}

void deployment::run(node& which)
{
    const auto settings = "ORIOLEWAY_NODE_FILE=" + m_folder + "/" + which.name + ".json";
    const auto log = m_folder + "/" + which.name + ".log";
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        // As deploy/system.toml starts it.
        ::execle("target/bin/oriolefleetd", "target/bin/oriolefleetd", which.role.c_str(), nullptr,
            std::vector<const char*> { settings.c_str(), "PATH=/usr/bin:/bin", "LANG=C.UTF-8", nullptr }.data());
        ::_exit(127);
    }
    which.pid = child;
    which.killed = false;
}

/// The platform starts a process that has ended again after a short delay.
void deployment::supervise()
{
    while (true) {
        std::this_thread::sleep_for(watchPeriod);
        const std::lock_guard lock(m_mutex);
        if (m_ending)
            return;
        for (auto& each : m_nodes) {
            int status = 0;
            if (each.pid > 0 && ::waitpid(each.pid, &status, WNOHANG) == each.pid) {
                m_record.add("process " + each.name + (each.killed ? " was killed" : " ended by itself"));
                m_ownEnds += each.killed ? 0 : 1;
                each.pid = -1;
                each.restartAt = steady_clock::now() + restartDelay;
            }
            if (each.pid < 0 && !m_stopped && steady_clock::now() >= each.restartAt)
                run(each);
            if (each.pid > 0 && watchProcess)
                watchProcess(each.name, each.pid);
        }
    }
}

void deployment::killProcess(const std::string& name)
{
    // The caller may hold the lock: it is a rule that watches the processes.
    for (auto& each : m_nodes) {
        if (each.name == name && each.pid > 0) {
            each.killed = true;
            ::kill(each.pid, SIGKILL);
        }
    }
}

void deployment::killFrontends()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& each : m_nodes) {
        if (each.role == "entry")
            killProcess(each.name);
    }
}

client_answer deployment::foreignHeartbeat(unsigned side, const std::string& instance, const std::string& body)
{
    const auto answer = exchange(m_nodes.at(frontends + side).ip, controlPlanePort, { "PUT", "/api/instances/" + instance, {}, body }, clientTimeoutMs);
    m_record.add("a heartbeat of another writer with " + std::to_string(body.size()) + " bytes at " + m_nodes.at(frontends + side).name + ": "
        + (answer.status == 0 ? "no answer" : std::to_string(answer.status)));
    return { answer.status, answer.body };
}

unsigned deployment::ownEnds()
{
    const std::lock_guard lock(m_mutex);
    return m_ownEnds;
}

bool deployment::begin()
{
    const auto began = steady_clock::now();
    for (auto& each : m_nodes) {
        writeSettings(each);
        run(each);
    }
    m_supervisor = std::thread([this] { supervise(); });
    for (unsigned i = 0; i < m_sides; ++i) {
        const auto& side = m_nodes[frontends + i];
        m_floor->addMinion(
            { "minion-" + std::to_string(i), side.ip, side.zone, "r" + std::to_string(i / 3), service, appPort, controlPlanePort });
    }
    return awaitReady(began);
}

void deployment::stopAll()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    for (const auto& each : m_nodes)
        killProcess(each.name);
}

bool deployment::startAll()
{
    const auto began = steady_clock::now();
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = false;
    }
    return awaitReady(began);
}

bool deployment::awaitReady(steady_time began)
{
    unsigned ready = 0;
    while (ready < frontends && steady_clock::now() - began < readyLimit) {
        ready = 0;
        for (unsigned i = 0; i < frontends; ++i)
            ready += exchange(address(1 + i), readyPort, { "GET", "/api/readyz", {}, {} }, 1000).status == 200 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(100));
    }
    std::this_thread::sleep_until(began + leadTime);
    m_record.add(std::to_string(ready) + " frontends are ready, the traffic begins");
    return ready == frontends;
}

void deployment::configure(const json& configuration)
{
    m_store->put("op/config", configuration.dump());
    m_record.add("the store has acknowledged configuration " + configuration.at("version").dump());
}

client_answer deployment::call(unsigned frontend, const std::string& method, const std::string& path, const std::string& body)
{
    const auto answer = exchange(address(1 + frontend), frontendPort,
        { method, path, { { "Host", host }, { "X-Key", apiKey }, { "X-Deadline-Ms", std::to_string(clientTimeoutMs) } }, body }, clientTimeoutMs);
    m_record.add(method + " " + path + " at frontend " + std::to_string(frontend) + ": "
        + (answer.status == 0 ? "no answer" : std::to_string(answer.status) + " " + answer.body));
    return { answer.status, answer.body };
}

client_answer deployment::submit(const std::string& prefix, const std::string& id, const json& body)
{
    m_floor->describeJob(id, body);
    client_answer last;
    for (unsigned i = 0; i < clientTries; ++i) {
        last = call(i % frontends, "POST", prefix + id, body.dump());
        if (last.status / 100 == 2 || (last.status / 100 == 4 && last.status != 429))
            break;
        std::this_thread::sleep_for(clientPause);
    }
    return last;
}

} // namespace review
