/// @file
/// @brief Interface to the worker's runtime, which runs tasks under time-limited leases.
#pragma once

#include <fleet/model/worker.hpp>

#include <oriole/api/result.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <functional>
#include <optional>
#include <string>

namespace fleet {

using oriole::failure;
using oriole::milliseconds;
using oriole::result;

struct start_order {
    run_id run;
    std::string text; ///< Specification text of the job, passed through unchanged.
    std::string checkpoint; ///< Checkpoint to resume from; empty for none.
    std::uint64_t fence = 0; ///< Fencing token: the worker rejects a lower one than the highest it has seen since its start.
    /// Lease expiry on the worker's clock: every run on the worker is killed at this time unless the lease is extended.
    std::int64_t deadlineMs = 0;
};

struct start_response {
    bool accepted = false;
    std::string reason; ///< Why the start was refused.
    std::int64_t clockMs = 0; ///< Reading of the worker's steady clock; 0 if the answer has none.
};

struct poll_request {
    std::uint64_t fence = 0; ///< Fencing token, as of a start.
    std::uint64_t acknowledgedUpTo = 0; ///< Ended runs up to this number are recorded; the worker may discard them.
    std::optional<std::int64_t> deadlineMs; ///< New lease expiry on the worker's clock; empty leaves the expiry unchanged.
    milliseconds wait { 0 }; ///< Long poll: maximum time the worker delays its response while no run ends.
};

struct poll_response {
    worker_incarnation life; ///< The worker does not return its instance id; only the start time is set.
    std::int64_t clockMs = 0; ///< Reading of the worker's steady clock.
    std::vector<active_run> active;
    std::vector<ended_run> ended;
    bool endsTruncated = false; ///< The worker lists the rest once these are acknowledged.
};

/// @brief Asynchronous client of the runtime; each handler is called exactly once.
///
/// A call that failed with may-have-run can still take effect seconds later.
class backend_runtime {
public:
    template <typename Value>
    using handler = std::function<void(result<Value>)>;

    virtual ~backend_runtime() = default;

    virtual void start(const start_order& order, handler<start_response> done) = 0;

    /// @brief Stops a run and all runs of the same task with the same or a lower attempt number, including a run whose
    /// start request arrives after the stop.
    virtual void stop(const run_id& run, std::uint64_t fence, handler<bool> done) = 0;

    /// @brief Extends the lease and lists active and ended runs.
    virtual void poll(const poll_request& request, handler<poll_response> done) = 0;
};

} // namespace fleet
