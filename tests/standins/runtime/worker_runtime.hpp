/// @file
/// @brief A stand-in for the platform's worker runtime: many workers in one process, and the history of all.
#pragma once

#include <oriole/http/http_server.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using json = nlohmann::json;
using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// @brief A task and what its payload asks of the stand-in.
struct task {
    std::string id;
    std::string state = "running";
    std::string reason;
    json labels;
    std::set<unsigned> accelerators;
    unsigned memoryGb = 0; ///< Used, as far as reported.
    clock::time_point started;
    clock::time_point leaseEnds;
    clock::time_point ends;
    clock::time_point usageKnown;
    bool fails = false;
    bool neverEnds = false;
};

struct worker {
    std::map<std::string, task> tasks;
    bool failsEverything = false;
    bool refusesStarts = false;
    milliseconds usageLag { 0 };
    milliseconds checkpointTime { 0 };
};

/// @brief All workers. Thread-safe.
class worker_runtime {
public:
    worker_runtime();
    ~worker_runtime();
    worker_runtime(const worker_runtime&) = delete;
    worker_runtime& operator=(const worker_runtime&) = delete;

    /// @brief Answers one HTTP call of docs/RUNTIME.md or of the stand-in's own paths.
    oriole::http_reply handle(const oriole::http_call& call);

private:
    oriole::http_reply handleWorker(const std::string& name, const std::vector<std::string>& path,
        const oriole::http_call& call, const json& body);
    oriole::http_reply handleTask(const std::string& name, const std::string& id, const std::string& action,
        const oriole::http_call& call, const json& body);
    oriole::http_reply handleAdmin(const std::vector<std::string>& path, const oriole::http_call& call, const json& body);
    oriole::http_reply start(const std::string& name, const std::string& id, const json& body);
    oriole::http_reply checkpoint(const std::string& name, const std::string& id);
    oriole::http_reply stop(const std::string& name, const std::string& id);
    json renew(const std::string& name, const json& body);

    void advance();
    void record(const std::string& kind, const std::string& worker, const task& subject);
    void tick();

    std::mutex m_mutex;
    std::map<std::string, worker> m_workers;
    json m_events = json::array();
    clock::time_point m_begin = clock::now();
    bool m_stopping = false;
    std::thread m_ticker;
};

} // namespace standin
