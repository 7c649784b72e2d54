/// @file
/// @brief State of the scheduler: workers, jobs, live runs and reservations.
#pragma once

#include <fleet/core/decision_limits.hpp>
#include <fleet/core/job_progress.hpp>
#include <fleet/core/unit_waits.hpp>
#include <fleet/model/configuration.hpp>

#include <oriole/helpers/timer_service.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fleet {

using oriole::milliseconds;
using oriole::time_point;

struct worker_row {
    std::size_t slot = 0; ///< Position in tables that have one entry for each worker.
    worker_description description;
    bool reachable = false; ///< Whether its agent accepts commands now.
    resources used; ///< Held by all live runs, including those that are being stopped.
    std::set<run_id> runs; ///< The live runs on this worker.
    resources reserved; ///< Held by reservations of units that wait for resources to be freed.
    double faultScore = 0; ///< Rises with failures and slow or stalled runs blamed on the worker, falls with successes.
    time_point faultScoreAt; ///< When the score was last changed; it decays from then on.
    std::optional<time_point> drainDeadline; ///< When a draining worker may be shut down.
    /// No placement before this time: the worker refused a start for lack of resources, so its accounting and the
    /// scheduler's differ.
    time_point blockedUntil;

    [[nodiscard]] resources free() const { return description.capacity - used - reserved; }
};

struct job_row {
    accepted_job job;
    job_progress progress;
    queue_rule rule; ///< Rules of the job's queue, or of its acceptance if the queue was removed.
    time_point acceptedAt;
    unit_waits waits;
    /// By step: shortest run time projected from progress, with the slow-down away from the data taken out.
    std::map<unsigned, double> shortestRunTimeMs;
    std::map<unit_id, unsigned> evictions; ///< How often each unit was evicted for urgent work.
    /// Units restarted because they were slow. Each is restarted once: if it is slow again, the cause is the unit itself.
    std::set<unit_id> movedAsSlow;
    std::set<std::string> failedOn; ///< Workers on which a run of the job failed, stalled or was slow.
};

enum class run_phase {
    Placed, ///< Its record is being written or its start has been sent.
    Active, ///< The worker has accepted or reported it.
    Stopping, ///< A stop was decided; the end is not yet confirmed.
};

/// @brief State of a run that an earlier scheduler recorded.
enum class restore_state {
    None, ///< This scheduler placed the run, or the worker has reported it.
    Unknown, ///< Whether its start was ordered is not known; the worker's next report shows whether it has the run.
    Absent, ///< The worker does not have it, so its start has to be ordered again.
    Ordered, ///< Its start was ordered again.
};

struct live_run {
    run_id id;
    job_row* job = nullptr; ///< Null for a run whose job is not known.
    worker_row* host = nullptr;
    std::string worker;
    worker_incarnation life;
    resources need; ///< What it takes from its worker; nothing if it runs on an incarnation that another one has replaced.
    run_phase phase = run_phase::Placed;
    double expectedMs = 0; ///< Total run time, as estimated when the run was placed.
    double spread = 1; ///< Factor by which its run time grows away from its data or from the rest of its gang.
    time_point placedAt;
    double percent = 0;
    time_point advancedAt; ///< When percent last rose.
    time_point reportedAt; ///< When its progress was last reported.
    unsigned reportsSinceAdvance = 0;
    double ratePercent = 0; ///< Latest progress rate in percent per second; 0 while unknown.
    double windowStartPercent = 0; ///< Progress at the start of the current rate window.
    time_point windowStartedAt;
    std::string checkpoint;
    time_point checkpointAt; ///< When the checkpoint last changed.
    bool progressKnown = false; ///< A report after the start-up time has shown its progress.
    restore_state restored = restore_state::None;
    /// Its start was ordered, and no answer or report shows what became of it: until this time it may run on an incarnation that
    /// nobody has seen.
    std::optional<time_point> mayRunUnseenUntil;
    bool unconfirmed = false; ///< It is unknown whether the worker has the run; the worker's next report shows it.
    time_point stoppedAt; ///< When its stop was decided, in phase Stopping.
    std::optional<time_point> missingSince; ///< Since when the worker's reports have not listed the run.
};

/// @brief Resources kept for one unit until it starts or the reservation expires.
struct reservation {
    std::vector<std::string> workers; ///< Worker of each task.
    resources need;
    time_point until;
};

struct tables {
    tables() = default;
    // Runs refer to the rows of their job and worker.
    tables(const tables&) = delete;
    tables& operator=(const tables&) = delete;

    std::map<std::string, worker_row> workers;
    std::map<std::string, job_row> jobs;
    std::map<run_id, live_run> runs;
    std::map<unit_id, reservation> reservations;
    std::set<std::string> domainsOut;
    std::set<std::string> guaranteedJobs; ///< Unfinished priority-0 jobs that fit into the guarantee of their organisation.
    configuration rules;
    decision_limits limits = deriveLimits({});
};

/// @brief Rules of a job's queue. If the queue was removed, those under which the job was accepted are returned.
queue_rule findRule(const configuration& rules, const accepted_job& job);

/// @brief The row of a worker; it is added if the worker is not known.
worker_row& workerOf(tables& state, const std::string& name);

/// @brief Adds a live run and takes its resources from its worker.
live_run& addRun(tables& state, live_run run);

/// @brief Changes what a live run takes from its worker.
void setNeed(live_run& run, const resources& need);

/// @brief Removes a live run and returns its resources to its worker.
live_run removeRun(tables& state, std::map<run_id, live_run>::iterator run);

/// @brief First live run at or after the start of a step. The live runs of the step follow one another from here.
std::map<run_id, live_run>::const_iterator firstRunOf(const tables& state, const task_id& task);

/// @brief Whether two tasks belong to the same step of the same occurrence.
bool isSameStep(const task_id& left, const task_id& right);

[[nodiscard]] unit_id unitOf(const tables& state, const task_id& task);

} // namespace fleet
