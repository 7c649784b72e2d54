/// @file
/// @brief Callers that run beside a test and remember what they were told.
#pragma once

#include "harness/cluster.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace oriole::harness {

/// @brief What one request of a load was told, and for which key.
struct told_request {
    std::string key;
    caller_reply reply;
};

struct load_settings {
    unsigned callers = 4;
    json body = json::object(); ///< Members added to each request's body.
    header_map headers {};
    std::vector<std::size_t> entries {}; ///< Entries that are called; none means all.
    std::chrono::milliseconds pause { 2 }; ///< Between two requests of one caller.
};

/// @brief Callers in threads of their own, each with requests of unique keys, until stopped.
class request_load {
public:
    request_load(const cluster& system, load_settings settings);
    ~request_load() { stop(); }
    request_load(const request_load&) = delete;
    request_load& operator=(const request_load&) = delete;

    /// @brief Waits for the requests under way.
    /// @return All that callers were told.
    std::vector<told_request> stop();

    [[nodiscard]] std::size_t answered() const { return m_answered; }
    [[nodiscard]] std::size_t completed() const { return m_completed; }

private:
    void run(unsigned caller);

    const cluster& m_system;
    load_settings m_settings;
    std::atomic<bool> m_stopping { false };
    std::atomic<std::size_t> m_answered { 0 };
    std::atomic<std::size_t> m_completed { 0 };
    std::mutex m_mutex;
    std::vector<told_request> m_told;
    std::vector<std::thread> m_threads;
};

/// @brief Counts that contradict what callers were told.
struct verdict_check {
    unsigned completed = 0;
    unsigned notRun = 0;
    unsigned mayHaveRun = 0;
    unsigned falseNotRun = 0; ///< Told not-run, but it ran.
    unsigned falseCompleted = 0; ///< Told completed, but it did not run or another answer came.
    unsigned doubled = 0; ///< Ran more than once.
};

/// @brief Compares verdicts with the executions that the backend servers counted.
verdict_check checkVerdicts(const std::vector<told_request>& told, const std::map<std::string, unsigned>& executions);

} // namespace oriole::harness
