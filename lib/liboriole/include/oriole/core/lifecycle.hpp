/// @file
/// @brief State transitions of jobs, with the matching updates of the tables.
#pragma once

#include <oriole/core/placement.hpp>
#include <oriole/core/tables.hpp>

#include <string>

namespace oriole {

/// @brief Properties of an attempt that is about to start.
struct start_options {
    bool guaranteed = false;
    bool urgent = false;
    bool evictBorrowed = false;
    std::string rule; ///< Rule by which the place was chosen, for the log.
};

/// @brief Copies the properties of the attempt to its row.
void copyAttemptDetails(attempt_row& row, const attempt& what);

/// @brief Removes ended attempts from @c endedAttempts once no stale report of them can arrive.
void pruneEndedAttempts(scheduler_tables& tables, time_point now);

/// @brief Starts the next attempt of a waiting job on the place. The resources count as held immediately.
start_attempt startJob(scheduler_tables& tables, job_row& job, const place& where, const start_options& options, time_point now);

/// @brief Removes a job that has ended and queues @c finish_job for the next tick.
void finishJob(scheduler_tables& tables, job_row& job, job_outcome outcome, std::string reason);

/// @brief Queues a command to evict or stop the attempt of the job. A stop may follow an eviction, anything else is sent once.
void endAttempt(scheduler_tables& tables, job_row& job, bool evict, const std::string& reason);

/// @brief Handles the end of an attempt: the job ends, or waits for its next attempt.
void handleAttemptEnd(scheduler_tables& tables, const attempt_ended& what, time_point now);

} // namespace oriole
