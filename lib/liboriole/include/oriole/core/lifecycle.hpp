/// @file
/// @brief Moves jobs through their states and keeps the tables right.
#pragma once

#include <oriole/core/placement.hpp>
#include <oriole/core/tables.hpp>

#include <string>

namespace oriole {

/// @brief How an attempt is to run.
struct start_options {
    bool guaranteed = false;
    bool urgent = false;
    bool evictBorrowed = false;
    std::string rule; ///< Why the place was chosen.
};

/// @brief Takes over what the attempt says of itself.
void describeAttempt(attempt_row& row, const attempt& what);

/// @brief Forgets ended attempts of which no stale report can arrive any more.
void forgetEnded(scheduler_tables& tables, time_point now);

/// @brief Starts the next attempt of a waiting job on the place; the amounts count as held from now on.
start_attempt startJob(scheduler_tables& tables, job_row& job, const place& where, const start_options& options, time_point now);

/// @brief Ends a job for good: it is forgotten, the command goes out with the next tick.
void finishJob(scheduler_tables& tables, job_row& job, job_outcome outcome, std::string reason);

/// @brief Asks for the attempt of the job to be evicted or stopped; nothing happens when that was asked before.
void endAttempt(scheduler_tables& tables, job_row& job, bool evict, const std::string& reason);

/// @brief Takes in the end of an attempt: the job finishes, or waits for its next attempt.
void attemptEnded(scheduler_tables& tables, const attempt_ended& what, time_point now);

} // namespace oriole
