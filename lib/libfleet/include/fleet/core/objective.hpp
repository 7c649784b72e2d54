/// @file
/// @brief When a job has to be done, and in which order units are placed.
#pragma once

#include <fleet/core/tables.hpp>

#include <compare>

namespace fleet {

/// @brief Longest chain of estimated run times from @p step to the end of the job.
milliseconds chainFrom(const job_spec& spec, unsigned step);

/// @brief Longest chain of estimated run times of the whole job.
milliseconds wholeChain(const job_spec& spec);

/// @brief How soon an occurrence has to be done after it was handed in or due.
milliseconds objectiveOf(const job_spec& spec, const queue_rule& rule);

/// @brief Estimated core-seconds of all tasks, accelerators counted as cores.
double workOf(const job_spec& spec);

/// @brief What is still to be gained by a job.
enum class prospect {
    InTime, ///< Its objective can be kept.
    Late, ///< It earns less.
    Spent, ///< It only has to be done.
};

/// @brief A unit that waits for a place. The smallest goes first.
struct pending_unit {
    unsigned priority = 0;
    prospect chance = prospect::InTime;
    double order = 0; ///< Latest start of one in time; work of one that is late.
    unit_id unit;

    auto operator<=>(const pending_unit&) const = default;
};

/// @brief Classifies a unit at @p now.
pending_unit classify(const tables& state, const job_row& job, const unit_id& unit, time_point now);

/// @brief How long the unit may still wait and keep its objective; negative when it can't.
milliseconds slackOf(const tables& state, const job_row& job, const unit_id& unit, time_point now);

} // namespace fleet
