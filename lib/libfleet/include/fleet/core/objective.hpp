/// @file
/// @brief Completion objectives of jobs, and the order in which pending units are placed.
#pragma once

#include <fleet/core/tables.hpp>

#include <compare>

namespace fleet {

/// @brief Critical path by estimated run times, from the start of @p step to the end of the job.
milliseconds criticalPathFrom(const job_spec& spec, unsigned step);

/// @brief Critical path of the whole job by estimated run times.
milliseconds criticalPath(const job_spec& spec);

/// @brief Time within which an occurrence has to be completed, counted from its submission or due time.
milliseconds objectiveOf(const job_spec& spec, const queue_rule& rule);

/// @brief Estimated core-seconds of all tasks, with accelerators converted to cores.
double workOf(const job_spec& spec);

/// @brief Expected run time of a task of the step, near its data.
milliseconds estimatedRunTime(const job_row& job, unsigned step);

/// @brief As criticalPathFrom and objectiveOf by job_spec, with the expected run times.
milliseconds criticalPathFrom(const job_row& job, unsigned step);
milliseconds objectiveOf(const job_row& job);

/// @brief Expected core-seconds of all tasks, with accelerators converted to cores.
double workOf(const job_row& job);

/// @brief A job counts as late for up to this many times its objective; after that its value no longer depends on when it
/// completes.
constexpr int lateFactor = 3;

/// @brief State of a job's completion objective.
enum class deadline_status {
    InTime, ///< The objective can still be met.
    Late, ///< The objective is missed; the job has a reduced value.
    Expired, ///< So late that completing it sooner has no further value.
};

/// @brief A gang, or the tasks of another step, that waits for placement. They are placed in ascending order.
struct pending_unit {
    unsigned priority = 0;
    deadline_status deadlineStatus = deadline_status::InTime;
    double share = 0; ///< Share of its organisation in steps, where organisations compete for capacity; else 0.
    double sortKey = 0; ///< Slack in ms while in time, else the estimated work of the whole job in core-seconds.
    unit_id unit;

    auto operator<=>(const pending_unit&) const = default;
};

/// @brief Computes the placement order of a unit at @p now.
pending_unit classify(const job_row& job, const unit_id& unit, time_point now);

/// @brief How long the unit may still wait before the objective is missed; negative if it can't be met.
milliseconds slackOf(const job_row& job, const unit_id& unit, time_point now);

} // namespace fleet
