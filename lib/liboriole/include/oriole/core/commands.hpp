/// @file
/// @brief What the decision core asks of its surroundings.
#pragma once

#include <oriole/core/model.hpp>

#include <string>
#include <variant>

namespace oriole {

/// @brief Why a place was chosen; goes into the log line of the decision.
struct placement_reason {
    std::string rule; ///< e.g. `best-fit`, `guarantee`, `reclaim`, `first-fit`.
    unsigned candidates = 0; ///< Places weighed.
    double score = 0; ///< Score of the chosen place, lower is better.
};

/// @brief Reserve on every worker of the attempt, record it, commit it.
/// The epoch is filled in by the receiver. Answered by @c attempt_running or @c attempt_ended.
struct start_attempt {
    oriole::attempt attempt;
    bool evictBorrowed = false; ///< Borrowed tasks that stand in the way are evicted by the reservation.
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

/// @brief How a job ended for good.
enum class job_outcome {
    Finished,
    Failed,
    Cancelled,
    MayHaveRun, ///< Not repeatable, and an attempt of it was lost.
};

std::string_view toString(job_outcome outcome);

/// @brief The job has ended and is forgotten by the core.
struct finish_job {
    std::string organisation;
    std::string job;
    job_outcome outcome = job_outcome::Finished;
    std::string reason;
};

using command = std::variant<start_attempt, evict_attempt, stop_attempt, finish_job>;

} // namespace oriole
