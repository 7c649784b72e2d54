#include "harness/cluster.hpp"

#include <fstream>
#include <numeric>
#include <stdexcept>

namespace oriole::harness {

namespace {

constexpr unsigned acceleratorsPerWorker = 8;
constexpr unsigned processorsPerWorker = 128;
constexpr unsigned memoryGbPerWorker = 512;
const std::vector<std::string> domainNames { "praha", "brno", "ostrava" };

bool accepts(const endpoint& peer)
{
    const auto reply = exchange(peer, { "GET", "/healthz", {}, "" }, std::chrono::milliseconds(1000));
    return reply.has_value();
}

json guaranteeOfOneWorker()
{
    return { { "shape", { { "accelerators", acceleratorsPerWorker }, { "adjacency", "worker" } } }, { "count", 1 } };
}

} // namespace

caller_reply call(const endpoint& peer, const std::string& method, const std::string& path, const std::string& body,
    const header_map& headers, std::chrono::milliseconds timeout)
{
    const auto outcome = exchange(peer, { method, path, headers, body }, timeout);
    caller_reply told;
    if (!outcome) {
        told.verdict = toString(outcome.error().ran);
        told.text = outcome.error().reason;
        return told;
    }
    const auto& reply = outcome.value();
    told.status = reply.status;
    told.headers = reply.headers;
    told.text = reply.body;
    told.body = json::parse(reply.body, nullptr, false);
    if (const auto found = reply.headers.find("orioleway-verdict"); found != reply.headers.end())
        told.verdict = found->second;
    return told;
}

json exampleConfiguration(const cluster_settings& settings)
{
    json document { { "environment", "test" } };
    document["organisations"] = json::array();
    for (const auto* name : { "alpha", "beta", "gamma", "delta" })
        document["organisations"].push_back({ { "name", name }, { "weight", 1 }, { "may_run_urgent", true } });
    document["organisations"][0]["guarantees"] = json::array({ guaranteeOfOneWorker() });
    if (std::accumulate(settings.workersPerDomain.begin(), settings.workersPerDomain.end(), 0U) > 1)
        document["organisations"][1]["guarantees"] = json::array({ guaranteeOfOneWorker() });
    document["failure_domains"] = json::array();
    for (std::size_t i = 0; i < settings.workersPerDomain.size(); ++i) {
        const auto& name = domainNames.at(i);
        document["failure_domains"].push_back({ { "name", name }, { "region", name },
            { "workers", settings.workersPerDomain[i] }, { "workers_per_rack", settings.workersPerRack },
            { "accelerators_per_worker", acceleratorsPerWorker }, { "processors_per_worker", processorsPerWorker },
            { "memory_gb_per_worker", memoryGbPerWorker } });
    }
    document["services"] = json::array({ { { "name", "column" } } });
    return document;
}

json gangJob(unsigned accelerators, const std::string& adjacency, unsigned runMs)
{
    return { { "shape",
                 { { "accelerators", accelerators }, { "adjacency", adjacency }, { "processors", accelerators },
                     { "memory_gb", accelerators } } },
        { "run_ms", runMs }, { "class", "normal" }, { "repeatable", true }, { "payload", "" } };
}

cluster::cluster(cluster_settings settings)
    : m_settings(std::move(settings))
{
    describeNodes();
    startStandIns();
    for (std::size_t i = 0; i < entries.size(); ++i)
        startEntry(i);
    for (std::size_t i = 0; i < agents.size(); ++i)
        startAgent(i);
    for (const auto& entry : entries)
        if (!eventually([&] { return accepts(entry.http); }))
            throw std::runtime_error("entry " + entry.name + " does not answer");
    if (m_settings.configuration.is_null())
        m_settings.configuration = exampleConfiguration(m_settings);
    caller_reply applied;
    if (!eventually([&] { return (applied = applyConfiguration(0, m_settings.configuration)).status == 200; }))
        throw std::runtime_error("configuration not accepted: " + applied.text);
    if (!waitInForce(agents.size()))
        throw std::runtime_error("configuration not in force: " + get(0, "/v1/config/in-force").text);
}

void cluster::describeNodes()
{
    for (unsigned i = 0; i < m_settings.entries; ++i) {
        entry_node node;
        node.name = "entry-" + std::to_string(i + 1);
        node.failureDomain = domainNames.at(i % m_settings.workersPerDomain.size());
        node.http = freeEndpoint();
        node.rpc = freeEndpoint();
        node.storeLink = std::make_unique<fault_proxy>(freeEndpoint(), m_store);
        node.rpcLink = std::make_unique<fault_proxy>(freeEndpoint(), node.rpc);
        entries.push_back(std::move(node));
    }
    for (std::size_t domain = 0; domain < m_settings.workersPerDomain.size(); ++domain) {
        const auto& name = domainNames.at(domain);
        for (unsigned i = 0; i < m_settings.workersPerDomain[domain]; ++i) {
            agent_node node;
            node.worker = name + "-" + std::to_string(i + 1);
            node.failureDomain = name;
            node.rack = name + "-rack-" + std::to_string(i / m_settings.workersPerRack + 1);
            node.rpc = freeEndpoint();
            node.backend = freeEndpoint();
            node.storeLink = std::make_unique<fault_proxy>(freeEndpoint(), m_store);
            node.rpcLink = std::make_unique<fault_proxy>(freeEndpoint(), node.rpc);
            node.backendLink = std::make_unique<fault_proxy>(freeEndpoint(), node.backend);
            node.runtimeLink = std::make_unique<fault_proxy>(freeEndpoint(), m_runtime);
            agents.push_back(std::move(node));
        }
    }
}

void cluster::startStandIns()
{
    const auto start = [&](const std::string& program, const std::vector<std::string>& arguments) {
        m_standIns.push_back(std::make_unique<process>(program, arguments, m_logs.file(program + ".log")));
    };
    start("standin_store", { "--listen", toString(m_store) });
    start("standin_runtime", { "--listen", toString(m_runtime) });
    std::vector<std::string> listen;
    for (const auto& agent : agents) {
        listen.emplace_back("--listen");
        listen.push_back(toString(agent.backend));
    }
    start("standin_backend_server", listen);
    if (!eventually([&] { return accepts(m_store) && accepts(m_runtime) && accepts(agents.back().backend); }))
        throw std::runtime_error("stand-ins do not answer");
}

std::vector<std::string> cluster::seedFlags(const std::string& except) const
{
    std::vector<std::string> flags;
    for (const auto& entry : entries) {
        if (entry.name == except)
            continue;
        flags.emplace_back("--seed");
        flags.push_back(toString(entry.rpcLink->address()));
    }
    return flags;
}

void cluster::startEntry(std::size_t index)
{
    auto& node = entries.at(index);
    std::vector<std::string> arguments { "entry", "--name", node.name, "--http", toString(node.http), "--rpc",
        toString(node.rpc), "--advertise-rpc", toString(node.rpcLink->address()), "--store",
        "http://" + toString(node.storeLink->address()), "--environment", "test", "--failure-domain",
        node.failureDomain, "--region", node.failureDomain };
    arguments.insert(arguments.end(), m_settings.entryFlags.begin(), m_settings.entryFlags.end());
    const auto seeds = seedFlags(node.name);
    arguments.insert(arguments.end(), seeds.begin(), seeds.end());
    // The former process has to be gone first, for its ports.
    node.process.reset();
    node.process = std::make_unique<process>("oriolewayd", arguments, m_logs.file(node.name + ".log"));
}

void cluster::startAgent(std::size_t index)
{
    auto& node = agents.at(index);
    std::vector<std::string> arguments { "agent", "--worker", node.worker, "--rpc", toString(node.rpc),
        "--advertise-rpc", toString(node.rpcLink->address()), "--store",
        "http://" + toString(node.storeLink->address()), "--environment", "test", "--failure-domain",
        node.failureDomain, "--region", node.failureDomain, "--rack", node.rack, "--service", "column", "--backend",
        toString(node.backendLink->address()), "--slots", "8", "--connections", "64", "--runtime",
        "http://" + toString(node.runtimeLink->address()) + "/workers/" + node.worker, "--accelerators",
        std::to_string(acceleratorsPerWorker), "--processors", std::to_string(processorsPerWorker), "--memory-gb",
        std::to_string(memoryGbPerWorker) };
    const auto seeds = seedFlags("");
    arguments.insert(arguments.end(), seeds.begin(), seeds.end());
    node.process.reset();
    node.process = std::make_unique<process>("oriolewayd", arguments, m_logs.file(node.worker + ".log"));
}

bool cluster::waitInForce(std::size_t workers)
{
    return eventually([&] {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (!entries[i].process || !entries[i].process->running())
                continue;
            const auto told = get(i, "/v1/config/in-force");
            if (told.status != 200 || !told.body.is_object() || !told.body.value("everywhere", false))
                return false;
            if (told.body.value("workers", json::array()).size() < workers)
                return false;
        }
        return true;
    });
}

caller_reply cluster::get(std::size_t entry, const std::string& path) const
{
    return call(entries.at(entry).http, "GET", path);
}

caller_reply cluster::request(
    std::size_t entry, const std::string& organisation, const json& body, const header_map& headers) const
{
    return call(entries.at(entry).http, "POST", "/v1/organisations/" + organisation + "/requests/column", body.dump(),
        headers);
}

caller_reply cluster::submitJob(
    std::size_t entry, const std::string& organisation, const json& job, const std::string& key) const
{
    const auto headers = key.empty() ? header_map {} : header_map { { "Idempotency-Key", key } };
    return call(
        entries.at(entry).http, "POST", "/v1/organisations/" + organisation + "/jobs", job.dump(), headers);
}

caller_reply cluster::job(std::size_t entry, const std::string& organisation, const std::string& id) const
{
    return get(entry, "/v1/organisations/" + organisation + "/jobs/" + id + "?wait_ms=200");
}

std::string cluster::waitJob(std::size_t entry, const std::string& organisation, const std::string& id,
    std::chrono::milliseconds bound) const
{
    std::string state = "unknown";
    const auto ended = [&] {
        const auto told = job(entry, organisation, id);
        if (told.status == 200 && told.body.is_object())
            state = told.body.value("state", state);
        return state == "finished" || state == "failed" || state == "cancelled" || state == "may-have-run";
    };
    eventually(ended, bound);
    return state;
}

caller_reply cluster::applyConfiguration(std::size_t entry, const json& document) const
{
    const auto held = get(entry, "/v1/config");
    const auto revision = held.body.is_object() ? held.body.value("revision", 0U) : 0U;
    return call(entries.at(entry).http, "PUT", "/v1/config?expected_revision=" + std::to_string(revision),
        document.dump(), { { "Orioleway-Author", "test" } });
}

caller_reply cluster::setFailureDomain(std::size_t entry, const std::string& name, bool out) const
{
    return call(entries.at(entry).http, "PUT", "/v1/failure-domains/" + name,
        json { { "state", out ? "out" : "in" } }.dump(), { { "Orioleway-Author", "test" } });
}

void cluster::setStoreMode(const json& mode) const
{
    if (const auto told = call(m_store, "POST", "/standin/mode", mode.dump()); told.status != 200)
        throw std::runtime_error("store stand-in: " + told.text);
}

json cluster::storeCounters() const
{
    return call(m_store, "GET", "/standin/counters").body;
}

json cluster::runtimeEvents() const
{
    return call(m_runtime, "GET", "/standin/events").body;
}

std::vector<json> cluster::runtimeEvents(const std::string& kind, const std::string& job) const
{
    std::vector<json> found;
    for (const auto& event : runtimeEvents()) {
        const std::string task = event["task"];
        if (event["event"] == kind && task.find("/" + job + "/") != std::string::npos)
            found.push_back(event);
    }
    return found;
}

void cluster::setWorker(const std::string& worker, const json& behaviour) const
{
    if (const auto told = call(m_runtime, "PUT", "/standin/workers/" + worker, behaviour.dump()); told.status != 200)
        throw std::runtime_error("runtime stand-in: " + told.text);
}

json cluster::backendCounts(std::size_t agent) const
{
    return call(agents.at(agent).backend, "GET", "/standin/executions").body;
}

std::map<std::string, unsigned> cluster::executions() const
{
    std::map<std::string, unsigned> counts;
    for (std::size_t i = 0; i < agents.size(); ++i) {
        const auto told = backendCounts(i);
        for (const auto& [key, count] : told.at("by_key").items())
            counts[key] += count.get<unsigned>();
    }
    return counts;
}

unsigned cluster::executions(const std::string& key) const
{
    const auto counts = executions();
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

unsigned cluster::executionsAt(std::size_t agent) const
{
    return backendCounts(agent).at("total");
}

void cluster::setBackendMode(std::size_t agent, const std::string& mode) const
{
    const auto told = call(agents.at(agent).backend, "PUT", "/standin/mode", json { { "mode", mode } }.dump());
    if (told.status != 200)
        throw std::runtime_error("backend server stand-in: " + told.text);
}

std::optional<std::size_t> cluster::ownerOf(const std::string& organisation) const
{
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto told = call(entries[i].http, "GET", "/v1/status", "", {}, std::chrono::milliseconds(1000));
        if (told.status != 200)
            continue;
        for (const auto& page : told.body.at("owned"))
            if (page.at("organisation") == organisation)
                return i;
    }
    return std::nullopt;
}

bool cluster::logged(const std::string& node, const std::string& event, const std::string& text) const
{
    std::ifstream log(m_logs.file(node + ".log"));
    std::string line;
    while (std::getline(log, line))
        if (line.find("\"event\":\"" + event + "\"") != std::string::npos && line.find(text) != std::string::npos)
            return true;
    return false;
}

} // namespace oriole::harness
