/// @file
/// @brief Interface to the worker's runtime, which runs tasks under leases.
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
    std::string text; ///< Of the job.
    std::string checkpoint; ///< Empty for none.
    std::uint64_t epoch = 0; ///< The worker refuses lower ones than it has seen.
    std::int64_t deadlineMs = 0; ///< On the worker's clock: all that runs there is killed then unless it is extended.
};

struct start_answer {
    bool accepted = false;
    std::string reason; ///< Why it was refused.
};

struct look_request {
    std::uint64_t epoch = 0;
    std::uint64_t noted = 0; ///< Ends up to this number are recorded and may be forgotten.
    std::optional<std::int64_t> deadlineMs; ///< On the worker's clock; none: the lease is not extended.
    milliseconds wait { 0 }; ///< The answer waits so long for an end.
};

struct look_answer {
    worker_life life; ///< The instance is not repeated by the worker; the caller fills it in.
    std::int64_t clockMs = 0; ///< The worker's own steady clock.
    std::vector<active_run> active;
    std::vector<ended_run> ended;
};

/// @brief Asynchronous; each handler is called once. A may-have-run failure may also take effect seconds later.
class backend_runtime {
public:
    template <typename Value>
    using handler = std::function<void(result<Value>)>;

    virtual ~backend_runtime() = default;

    virtual void start(const start_order& order, handler<start_answer> done) = 0;

    /// @brief Ends a run, and any run of its task that is not higher, also one whose start comes later.
    virtual void stop(const run_id& run, std::uint64_t epoch, handler<bool> done) = 0;

    /// @brief Extends the lease and lists what runs and what has ended.
    virtual void look(const look_request& request, handler<look_answer> done) = 0;
};

} // namespace fleet
