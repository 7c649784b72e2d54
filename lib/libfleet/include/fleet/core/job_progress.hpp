/// @file
/// @brief Progress of a job as persisted in the store, and the changes that events make to it.
#pragma once

#include <fleet/model/worker.hpp>

#include <compare>
#include <string>
#include <vector>

namespace fleet {

enum class task_status {
    Waiting, ///< The task has no live run.
    Live, ///< The recorded attempt may run on the recorded worker.
    Done,
};

struct task_progress {
    task_status status = task_status::Waiting;
    unsigned attempt = 0; ///< Number of the last start; 0 before the first.
    unsigned failures = 0; ///< Failed runs; those of a gang are counted on its first task.
    unsigned failedAttempt = 0; ///< Last attempt counted as a failure; gang members that fail in the same attempt count once.
    std::string worker; ///< Worker of the live run.
    worker_incarnation life; ///< Incarnation of that worker to which the start is addressed.
    std::string checkpoint; ///< Newest known checkpoint; that of a gang is kept on its first task.

    auto operator<=>(const task_progress&) const = default;
};

struct occurrence_progress {
    std::vector<std::vector<task_progress>> steps; ///< By step, then by task index.

    auto operator<=>(const occurrence_progress&) const = default;
};

struct job_progress {
    job_state state = job_state::Queued;
    std::vector<occurrence_progress> occurrences; ///< The occurrences that have begun, indexed by occurrence number.

    auto operator<=>(const job_progress&) const = default;
};

/// @brief Adds the next occurrence with all tasks waiting.
void beginOccurrence(job_progress& progress, const job_spec& spec);

/// @brief Whether recorded progress can be that of the job: it has the job's steps and tasks, and each live run has a worker.
bool fitsJob(const job_progress& progress, const job_spec& spec);

/// @return The task's progress, or null if the job has no such task or the occurrence has not begun.
task_progress* findTask(job_progress& progress, const task_id& task);

/// @return Whether all tasks of the steps that @p step depends on are done.
bool isReady(const occurrence_progress& occurrence, const job_spec& spec, unsigned step);

/// @brief Applies the end of a live run.
/// @return False, with nothing changed, if the run is not the live run of its task.
bool applyEnd(job_progress& progress, const job_spec& spec, const run_id& run, run_outcome how, const std::string& checkpoint,
    unsigned maxAttempts);

/// @brief Sets Running or Completed by the status of the tasks. A final state is not changed.
void updateState(job_progress& progress, const job_spec& spec);

} // namespace fleet
