/// @file
/// @brief What the decision core is told.
#pragma once

#include <oriole/core/model.hpp>

#include <variant>

namespace oriole {

/// @brief A worker announced itself, or announced itself anew after a restart of its agent.
struct worker_joined {
    worker_info worker;
};

/// @brief What a worker holds, of all organisations. Replaces the previous report of that worker.
struct worker_reported {
    std::string worker;
    std::vector<task_report> tasks;
    bool leaving = false; ///< Gets no new work.
    unsigned failuresInRow = 0; ///< Tasks of any organisation that failed there since the last that finished.
};

/// @brief A worker fell silent. Its accelerators are no longer counted.
struct worker_left {
    std::string worker;
};

struct failure_domain_changed {
    std::string failureDomain;
    bool out = false;
};

/// @brief The organisations of the configuration now in force, all of them.
struct organisations_changed {
    std::vector<organisation_policy> organisations;
};

/// @brief A job that this entry owns became known: accepted just now, or read from a page taken over.
struct job_added {
    job_spec job;
    unsigned attempts = 0; ///< Number of the last attempt made, 0 for none.
    std::chrono::milliseconds waited { 0 }; ///< Time since it was accepted.
};

/// @brief A job taken over while an attempt of it is held or running at agents.
struct job_adopted {
    job_spec job;
    oriole::attempt attempt;
};

/// @brief The caller withdrew the job.
struct job_cancelled {
    std::string organisation;
    std::string job;
};

/// @brief The owner gave the organisation away: its jobs are dropped without any command.
struct organisation_released {
    std::string organisation;
};

/// @brief How an attempt ended.
enum class attempt_outcome {
    Finished,
    Failed, ///< A task failed; @c worker of the event names where.
    Evicted, ///< Stopped to make room, or moved out of a failure domain.
    Refused, ///< Some worker refused the reservation; nothing ran.
    Lost, ///< A worker fell silent; tasks may have run.
    Released, ///< Withdrawn before any task started.
};

struct attempt_ended {
    attempt_id id;
    attempt_outcome outcome = attempt_outcome::Finished;
    bool mayHaveRun = false;
    std::string worker; ///< Where it failed or was refused; empty when not known.
    std::chrono::milliseconds ran { 0 }; ///< Run time, for the estimate of later jobs.
};

/// @brief All tasks of the attempt run.
struct attempt_running {
    attempt_id id;
};

using event = std::variant<worker_joined, worker_reported, worker_left, failure_domain_changed, organisations_changed,
    job_added, job_adopted, job_cancelled, organisation_released, attempt_ended, attempt_running>;

} // namespace oriole
