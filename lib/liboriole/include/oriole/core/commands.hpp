/// @file
/// @brief Commands that the decision core issues to its caller.
#pragma once

#include <oriole/core/model.hpp>

#include <string>
#include <variant>

namespace oriole {

/// @brief Why a place was chosen; logged with the decision.
struct placement_reason {
    std::string rule; ///< e.g. `best-fit`, `guarantee`, `reclaim`, `first-fit`.
    unsigned candidates = 0; ///< Number of places that were compared.
    double score = 0; ///< Score of the chosen place, lower is better.
};

/// @brief Reserve resources on every worker of the attempt, store the attempt, then commit it.
/// The receiver fills in the epoch. Answered by @c attempt_running or @c attempt_ended.
struct start_attempt {
    oriole::attempt attempt;
    bool evictBorrowed = false; ///< The reservation evicts borrowed tasks that hold the requested resources.
    placement_reason reason;
};

/// @brief Checkpoint and stop a running attempt, then answer with @c attempt_ended.
struct evict_attempt {
    attempt_id id;
    std::string reason;
};

/// @brief Stop an attempt without a checkpoint (its job was cancelled). Answered by @c attempt_ended.
struct stop_attempt {
    attempt_id id;
    std::string reason;
};

/// @brief Final outcome of a job.
enum class job_outcome {
    Finished,
    Failed,
    Cancelled,
    MayHaveRun, ///< It is not repeatable, and an attempt that may have run was interrupted.
};

std::string_view toString(job_outcome outcome);

/// @brief The job has ended; the core has removed it from its tables.
struct finish_job {
    std::string organisation;
    std::string job;
    job_outcome outcome = job_outcome::Finished;
    std::string reason;
};

using command = std::variant<start_attempt, evict_attempt, stop_attempt, finish_job>;

} // namespace oriole
