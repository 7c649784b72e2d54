/// @file
/// @brief Limits of scheduling decisions that follow from the platform's bounds.
///
/// They answer deployments whose bounds differ: a limit that is too short for the time that a stop may take counts stops as
/// overdue and evicts twice; one that is too long reclaims a guarantee too late.
#pragma once

#include <fleet/core/platform_bounds.hpp>

#include <chrono>
#include <compare>

namespace fleet {

struct decision_limits {
    using milliseconds = std::chrono::milliseconds;

    milliseconds stopTimeout { 0 }; ///< A stop whose end is not reported within this time may be held up.
    milliseconds nearEnd { 0 }; ///< A run that ends within this time is not evicted: a stop would hardly be faster.
    milliseconds drainStopMargin { 0 }; ///< Time before the end of a drain at which runs are stopped to save their progress.
    milliseconds drainSurplus { 0 }; ///< A leaving worker may serve for up to this much longer than its notice.
    milliseconds reclaimDelay { 0 }; ///< Guaranteed work that has waited for this long evicts without awaiting other runs.
    milliseconds maxGuaranteedRemoteDelay { 0 }; ///< Guaranteed work that has waited for this long is placed away from its data.
    milliseconds reservation { 0 }; ///< How long resources are kept for a unit whose victims are being stopped.
    milliseconds refusalBackoff { 0 }; ///< No placement on a worker for this long after it refused a start for lack of room.
    milliseconds startup { 0 }; ///< Progress of a run is measured from this long after its placement.
    milliseconds endReportTimeout { 0 }; ///< A stop that a worker has taken is sent again after this time without the run's end.
    milliseconds gangTimeout { 0 }; ///< How long the members of a gang wait for each other.
    milliseconds restore { 0 }; ///< A start with a checkpoint resumes its work after this.
    milliseconds checkpointPeriod { 0 }; ///< Work between two checkpoints of a run.
    double restartCostSeconds = 0; ///< Run time that an eviction costs even if all work is saved.
    double moveCostSeconds = 0; ///< Run time that moving a run to another worker costs.
    double spreadFactor = 1; ///< Factor on the run time of a task away from its data, or of a gang on several racks.

    auto operator<=>(const decision_limits&) const = default;
};

[[nodiscard]] decision_limits deriveLimits(const platform_bounds& bounds);

} // namespace fleet
