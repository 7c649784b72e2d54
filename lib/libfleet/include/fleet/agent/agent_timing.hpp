/// @file
/// @brief Durations that bound what an agent lets its worker run.
#pragma once

#include <oriole/helpers/timer_service.hpp>

namespace fleet {

using oriole::milliseconds;
using oriole::time_point;

struct agent_timing {
    /// How long the lease may be extended, counted from the sending of the last report that the scheduler confirmed.
    milliseconds permission { 4000 };
    /// Lease of all runs, counted from each poll; the worker may allow less. Work on a worker that has crashed waits for its end, and
    /// a restarted agent has to be back before it.
    milliseconds lease { 4000 };
    milliseconds longestLease { 10'000 }; ///< The worker shortens longer leases to this.

    milliseconds maxClockAge { 4000 }; ///< An older reading of the worker's clock is not used for deadlines.

    /// A deadline may reach the worker this long after a start order: the agent tries three times for 400 ms, and a poll that was under way then
    /// is answered or given up within 1.7 s.
    milliseconds startSpan { 2000 };

    /// A call that got no answer may be carried out "seconds later"; the platform's faults delay orders by 2 to 12 s.
    milliseconds maxCallDelay { 12'000 };

    /// @brief Upper bound of the time in which the worker's clock, which may run 2 % slow, advances by @p duration.
    [[nodiscard]] static milliseconds longestDuration(milliseconds duration) { return duration + duration * 205 / 10'000 + milliseconds(1); }
    /// @brief Lower bound of what the worker's clock advances by in @p duration.
    [[nodiscard]] static milliseconds shortestAdvance(milliseconds duration) { return duration * 98 / 100 - milliseconds(1); }
    /// @brief How long a run may last on an incarnation that nobody has seen, counted from its order: the incarnation takes the deadline of
    /// the earlier clock as the longest lease.
    [[nodiscard]] milliseconds maxUnansweredRun() const { return startSpan + longestDuration(longestLease); }
    /// @brief Upper bound of a lease's duration on the agent's clock, counted from the sending of its deadline.
    [[nodiscard]] milliseconds maxLeaseDuration() const { return longestDuration(lease + maxClockAge) - maxClockAge; }
};

} // namespace fleet
