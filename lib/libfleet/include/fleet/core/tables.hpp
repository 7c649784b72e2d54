/// @file
/// @brief The tables of the scheduler: workers, jobs and live runs.
#pragma once

#include <fleet/core/job_progress.hpp>
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

/// @brief What is placed as one: a whole step when it is a gang, else one task.
struct unit_id {
    std::string job;
    unsigned occurrence = 0;
    unsigned step = 0;
    unsigned index = 0; ///< 0 for a gang.

    auto operator<=>(const unit_id&) const = default;
};

struct worker_row {
    worker_description about;
    bool reachable = false; ///< Its agent takes orders now.
    room used; ///< By all live runs, also those that are being stopped.
    std::set<run_id> runs; ///< These runs.
    room reserved; ///< Held for units whose room is being made.
    double badness = 0; ///< Rises with failures that others do not share, falls with successes.
    time_point badnessAt; ///< When it last rose.
    std::optional<time_point> leavesAt; ///< Of one that drains: when it may be gone.
    time_point blockedUntil; ///< It refused for want of room: its own view differs from ours until then.

    [[nodiscard]] room free() const { return about.capacity - used - reserved; }
};

struct job_row {
    accepted_job job;
    job_progress progress;
    time_point acceptedAt;
    time_point readySince; ///< When a unit of it last became ready.
    std::map<unsigned, double> fastestMs; ///< By step: shortest run time that progress has shown, near its data.
    std::map<unit_id, unsigned> evictions; ///< How often a unit gave way to urgent work.
    std::set<task_id> movedAsSlow; ///< A task is moved once: one that is slow again is slow by itself.
    std::set<std::string> failedOn; ///< Workers on which a run of it ended as failed.
};

enum class run_phase {
    Placed, ///< Its record is being written, or its start is on its way.
    Active, ///< The worker has it.
    Stopping, ///< A stop is on its way.
};

struct live_run {
    run_id id;
    std::string worker;
    worker_life life;
    room need;
    run_phase phase = run_phase::Placed;
    double expectedMs = 0; ///< Run time from its start, as estimated when it was placed.
    double spread = 1; ///< Factor by which it runs longer than near its data.
    time_point placedAt;
    double percent = 0;
    time_point advancedAt; ///< When percent last rose.
    time_point reportedAt; ///< When its progress was last reported.
    unsigned reportsSinceAdvance = 0;
    double ratePercent = 0; ///< Latest rate, percent a second; 0 while unknown.
    double windowPercent = 0; ///< Percent when the present window of the rate began.
    time_point windowAt;
    std::string checkpoint;
    time_point checkpointAt; ///< When the checkpoint last changed.
    bool seen = false; ///< Its progress was reported since it was placed.
    bool unconfirmed = false; ///< Whether the worker has it is unknown; settled by its next report.
    std::optional<time_point> missingSince; ///< Since when reports lack it.
};

/// @brief Room kept for one unit until it starts or the time has passed.
struct reservation {
    std::vector<std::string> workers; ///< One for each task.
    room need;
    time_point until;
};

struct tables {
    std::map<std::string, worker_row> workers;
    std::map<std::string, job_row> jobs;
    std::map<run_id, live_run> runs;
    std::map<unit_id, reservation> reservations;
    std::set<std::string> domainsOut;
    std::set<std::string> withinGuarantee; ///< Organisations whose unfinished urgent jobs fit into their guarantee.
    configuration rules;
};

/// @brief Rules of a job's queue; when the queue was removed, those of a queue that comes last.
queue_rule ruleOf(const tables& state, const job_row& job);

/// @brief Takes a live run in, and its worker's room.
live_run& addRun(tables& state, live_run run);

/// @brief Takes a live run out and gives its worker's room back.
live_run removeRun(tables& state, std::map<run_id, live_run>::iterator run);

/// @brief First of the live runs of a step's tasks; those that follow it with the same step are the others.
std::map<run_id, live_run>::const_iterator firstRunOf(const tables& state, const task_id& task);

/// @brief Whether two tasks belong to one step of one occurrence.
bool isSameStep(const task_id& left, const task_id& right);

[[nodiscard]] unit_id unitOf(const tables& state, const task_id& task);

} // namespace fleet
