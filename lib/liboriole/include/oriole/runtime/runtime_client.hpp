/// @file
/// @brief Interface to the platform's worker runtime, which runs the tasks of one worker.
#pragma once

#include <oriole/api/result.hpp>
#include <oriole/core/model.hpp>
#include <oriole/http/http_client.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace oriole {

/// @brief Where the runtime of a worker is reached.
struct runtime_address {
    endpoint peer;
    std::string path; ///< Prefix of all paths, without a trailing slash.

    auto operator<=>(const runtime_address&) const = default;
};

/// @brief Parses `http://IP:PORT/path`.
result<runtime_address> parseRuntimeAddress(const std::string& text);

enum class runtime_state {
    Running,
    Finished,
    Failed,
    Stopped,
    Expired, ///< Stopped by the runtime because its lease was not renewed.
    Unknown, ///< The runtime has no such task.
};

std::string_view toString(runtime_state state);
runtime_state parseRuntimeState(std::string_view text);

/// @brief What the runtime says of one task.
struct runtime_task {
    std::string id;
    runtime_state state = runtime_state::Unknown;
    std::string reason;
    unsigned usedMemoryGb = 0; ///< Late by the lag of the platform's usage reports.

    auto operator<=>(const runtime_task&) const = default;
};

/// @brief A task found in the runtime, with the attempt from its labels.
struct labelled_task {
    runtime_task task;
    oriole::attempt attempt;
};

/// @brief Asynchronous client. Handlers run on the thread of the event loop, never inside the call itself.
class runtime_client {
public:
    template <typename Value>
    using handler = std::function<void(result<Value>)>;

    virtual ~runtime_client() = default;

    /// @brief Starts the task of @p attempt on the accelerators of @p share. Idempotent: a task that exists in
    /// whatever state is not started again, and its state is the answer.
    virtual void start(const attempt& attempt, const allocation& share, std::chrono::milliseconds lease,
        handler<runtime_task> done)
        = 0;

    /// @brief Renews the leases of running tasks and tells the state of all of them.
    virtual void renew(const std::vector<std::string>& ids, std::chrono::milliseconds lease,
        handler<std::vector<runtime_task>> done)
        = 0;

    /// @brief Saves the work of a running task; answers once it is saved.
    virtual void checkpoint(const std::string& id, std::chrono::milliseconds timeout, handler<runtime_task> done) = 0;

    /// @brief Limits a task to @p percent of its processors and accelerators.
    virtual void throttle(const std::string& id, unsigned percent, handler<runtime_task> done) = 0;

    /// @brief Stops a task and keeps its record. A task that does not exist can't be started afterwards.
    virtual void stop(const std::string& id, handler<runtime_task> done) = 0;

    /// @brief Removes the record of an ended task.
    virtual void forget(const std::string& id, handler<runtime_task> done) = 0;

    /// @brief Lists all records, ended ones included.
    virtual void list(handler<std::vector<labelled_task>> done) = 0;
};

} // namespace oriole
