/// @file
/// @brief What has become of a job: the part that lasts in the store, and the changes that events make to it.
#pragma once

#include <fleet/model/worker.hpp>

#include <compare>
#include <string>
#include <vector>

namespace fleet {

enum class task_status {
    Waiting, ///< No run of it is live.
    Live, ///< The recorded attempt may run on the recorded worker.
    Done,
};

struct task_progress {
    task_status status = task_status::Waiting;
    unsigned attempt = 0; ///< Of its last start; 0 before the first.
    unsigned failures = 0; ///< Runs that ended as failed; of a gang, counted at its first task.
    unsigned failedAttempt = 0; ///< Attempt of the last failure counted: members of a gang fail together.
    std::string worker; ///< Of its live run.
    worker_life life; ///< Life of that worker for which the start was meant.
    std::string checkpoint; ///< Newest known; a gang's stands at its first task.

    auto operator<=>(const task_progress&) const = default;
};

struct occurrence_progress {
    std::vector<std::vector<task_progress>> steps; ///< By step, then by index.

    auto operator<=>(const occurrence_progress&) const = default;
};

struct job_progress {
    job_state state = job_state::Queued;
    std::vector<occurrence_progress> occurrences; ///< Begun ones; the number of each is its place.

    auto operator<=>(const job_progress&) const = default;
};

/// @brief Adds the next occurrence, all tasks waiting.
void beginOccurrence(job_progress& progress, const job_spec& spec);

/// @return The task's progress; null when the job has no such task or the occurrence has not begun.
task_progress* findTask(job_progress& progress, const task_id& task);

/// @return Whether all tasks of the steps before @p step are done.
bool isReady(const occurrence_progress& occurrence, const job_spec& spec, unsigned step);

/// @brief Takes note of the end of a live run.
/// @return False, with nothing changed, when that run is not the live one of its task.
bool applyEnd(job_progress& progress, const job_spec& spec, const run_id& run, run_end how, const std::string& checkpoint,
    unsigned maxAttempts);

/// @brief Sets Running or Completed from the tasks' status; a final state stays.
void updateState(job_progress& progress, const job_spec& spec);

} // namespace fleet
