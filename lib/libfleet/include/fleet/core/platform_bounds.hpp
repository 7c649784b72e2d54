/// @file
/// @brief Times and factors that the platform guarantees or asks for, and on which scheduling decisions rest.
#pragma once

#include <chrono>
#include <compare>

namespace fleet {

/// @brief The defaults are those of a deployment whose settings do not name the bound.
struct platform_bounds {
    using milliseconds = std::chrono::milliseconds;

    milliseconds stopGrace { 200 }; ///< A stop of a run takes at most this.
    milliseconds reclaim { 2700 }; ///< From the acceptance of a guaranteed job until all tasks of its first step have begun.
    milliseconds checkpointPeriod { 1000 }; ///< A run saves its progress after so much work, and at a stop.
    milliseconds restore { 600 }; ///< A start with a checkpoint resumes its work after this.
    milliseconds drain { 2500 }; ///< A leaving worker goes on serving for this long after its notice was acknowledged.
    milliseconds gangTimeout { 3000 }; ///< How long the members of a gang wait for each other.
    double spreadFactor = 3; ///< Factor on the run time of a task away from its data, or of a gang on several racks.

    auto operator<=>(const platform_bounds&) const = default;
};

} // namespace fleet
