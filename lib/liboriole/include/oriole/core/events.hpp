/// @file
/// @brief Input events of the decision core.
#pragma once

#include <oriole/core/model.hpp>

#include <variant>

namespace oriole {

/// @brief A worker announced itself, possibly again after a restart of its agent.
struct worker_joined {
    worker_info worker;
};

/// @brief All tasks held by a worker, of any organisation. Replaces the previous report of that worker.
struct worker_reported {
    std::string worker;
    std::vector<task_report> tasks;
    bool leaving = false; ///< Is draining and receives no new work.
    unsigned failuresInRow = 0; ///< Number of tasks of any organisation that failed there since the last one finished.
};

/// @brief A worker stopped reporting. Its accelerators are no longer counted.
struct worker_left {
    std::string worker;
};

struct failure_domain_changed {
    std::string failureDomain;
    bool out = false;
};

/// @brief The complete list of organisations of the configuration now in force.
struct organisations_changed {
    std::vector<organisation_policy> organisations;
};

/// @brief A job owned by this entry was accepted, or was read from the page of an organisation that the entry took over.
struct job_added {
    job_spec job;
    unsigned attempts = 0; ///< Number of the last attempt made, 0 for none.
    std::chrono::milliseconds waited { 0 }; ///< Time since it was accepted.
};

/// @brief A job that the entry took over while agents hold or run an attempt of it.
struct job_adopted {
    job_spec job;
    oriole::attempt attempt;
};

/// @brief The caller withdrew the job.
struct job_cancelled {
    std::string organisation;
    std::string job;
};

/// @brief This entry no longer owns the organisation: its jobs are dropped without any command.
struct organisation_released {
    std::string organisation;
};

/// @brief How an attempt ended.
enum class attempt_outcome {
    Finished,
    Failed, ///< A task failed on the worker named in the event.
    Evicted, ///< Stopped to free resources, or to move it out of a failure domain.
    Refused, ///< A worker refused the reservation; no task ran.
    Lost, ///< A worker stopped responding; tasks may have run.
    Released, ///< Withdrawn before any task started.
};

struct attempt_ended {
    attempt_id id;
    attempt_outcome outcome = attempt_outcome::Finished;
    bool mayHaveRun = false;
    std::string worker; ///< Worker on which it failed or was refused; empty if unknown.
    std::chrono::milliseconds ran { 0 }; ///< Run time, used to estimate the run time of later jobs.
};

/// @brief All tasks of the attempt are running.
struct attempt_running {
    attempt_id id;
};

using event = std::variant<worker_joined, worker_reported, worker_left, failure_domain_changed, organisations_changed,
    job_added, job_adopted, job_cancelled, organisation_released, attempt_ended, attempt_running>;

} // namespace oriole
