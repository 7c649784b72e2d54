/// @file
/// @brief A whole system of real processes and stand-ins, with every link behind a fault proxy.
#pragma once

#include "harness/fault_proxy.hpp"
#include "harness/process.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriole::harness {

using json = nlohmann::json;
using header_map = std::map<std::string, std::string>;

/// @brief What a caller was told.
struct caller_reply {
    unsigned status = 0; ///< 0: no whole reply came.
    std::string verdict; ///< Of the reply, else of the exchange.
    header_map headers;
    std::string text;
    json body; ///< Discarded value if the text is not JSON.
};

/// @brief One HTTP exchange as a caller or operator makes it.
caller_reply call(const endpoint& peer, const std::string& method, const std::string& path,
    const std::string& body = "", const header_map& headers = {},
    std::chrono::milliseconds timeout = generousBound);

struct cluster_settings {
    unsigned entries = 2;
    std::vector<unsigned> workersPerDomain { 1, 1, 1 };
    unsigned workersPerRack = 3;
    std::vector<std::string> entryFlags {}; ///< Added to the command line of each entry.
    json configuration {}; ///< Applied once all run; null takes `exampleConfiguration`.
};

/// @brief A document for the failure domains of @p settings: organisations `alpha` and `beta` with a guarantee of
/// one worker each, `gamma` and `delta` without, and the service `column`.
json exampleConfiguration(const cluster_settings& settings);

/// @brief A job of one gang; other members of the document as in the API.
json gangJob(unsigned accelerators, const std::string& adjacency, unsigned runMs);

struct entry_node {
    std::string name;
    std::string failureDomain;
    endpoint http;
    endpoint rpc;
    std::unique_ptr<fault_proxy> storeLink;
    std::unique_ptr<fault_proxy> rpcLink; ///< What others dial to reach this entry.
    std::unique_ptr<oriole::harness::process> process;
};

struct agent_node {
    std::string worker;
    std::string failureDomain;
    std::string rack;
    endpoint rpc;
    endpoint backend;
    std::unique_ptr<fault_proxy> storeLink;
    std::unique_ptr<fault_proxy> rpcLink; ///< What agents of the same gang dial.
    std::unique_ptr<fault_proxy> backendLink;
    std::unique_ptr<fault_proxy> runtimeLink;
    std::unique_ptr<oriole::harness::process> process;
};

class cluster {
public:
    /// @brief Starts everything and applies the configuration; throws when it is not in force within the bound.
    explicit cluster(cluster_settings settings = {});

    std::vector<entry_node> entries;
    std::vector<agent_node> agents;

    void startEntry(std::size_t index);
    void startAgent(std::size_t index);

    /// @brief Waits until every running entry has the highest revision in force everywhere and knows all agents.
    bool waitInForce(std::size_t workers);

    caller_reply get(std::size_t entry, const std::string& path) const;
    caller_reply request(std::size_t entry, const std::string& organisation, const json& body,
        const header_map& headers = {}) const;
    caller_reply submitJob(std::size_t entry, const std::string& organisation, const json& job,
        const std::string& key = "") const;
    caller_reply job(std::size_t entry, const std::string& organisation, const std::string& id) const;

    /// @brief Waits until the job has ended.
    /// @return Its last state, `unknown` when none was told.
    std::string waitJob(std::size_t entry, const std::string& organisation, const std::string& id,
        std::chrono::milliseconds bound = generousBound) const;

    caller_reply applyConfiguration(std::size_t entry, const json& document) const;
    caller_reply setFailureDomain(std::size_t entry, const std::string& name, bool out) const;

    /// @brief Sets a fault mode of the store stand-in, e.g. `{{"mode", "down"}}`.
    void setStoreMode(const json& mode) const;
    [[nodiscard]] json storeCounters() const;

    /// @brief All that the worker runtime did, oldest first.
    [[nodiscard]] json runtimeEvents() const;
    [[nodiscard]] std::vector<json> runtimeEvents(const std::string& kind, const std::string& job) const;
    void setWorker(const std::string& worker, const json& behaviour) const;

    /// @brief How often backend servers have run something for this key, over all of them.
    [[nodiscard]] unsigned executions(const std::string& key) const;
    [[nodiscard]] std::map<std::string, unsigned> executions() const;
    [[nodiscard]] unsigned executionsAt(std::size_t agent) const;
    void setBackendMode(std::size_t agent, const std::string& mode) const;

    /// @brief Index of the entry that owns the organisation, as it says itself.
    [[nodiscard]] std::optional<std::size_t> ownerOf(const std::string& organisation) const;

    /// @brief True if the entry or worker has logged @p event with @p text in its line.
    [[nodiscard]] bool logged(const std::string& node, const std::string& event, const std::string& text) const;

    [[nodiscard]] const endpoint& store() const { return m_store; }

private:
    void startStandIns();
    [[nodiscard]] json backendCounts(std::size_t agent) const;
    void describeNodes();
    [[nodiscard]] std::vector<std::string> seedFlags(const std::string& except) const;

    cluster_settings m_settings;
    test_directory m_logs;
    endpoint m_store = freeEndpoint();
    endpoint m_runtime = freeEndpoint();
    std::vector<std::unique_ptr<process>> m_standIns;
};

} // namespace oriole::harness
