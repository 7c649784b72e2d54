#include <fleet/core/decision_limits.hpp>

#include <algorithm>

namespace fleet {

namespace {

using milliseconds = decision_limits::milliseconds;

// After a run has ended its agent lists the end with the next poll of the worker, and two messages follow.
constexpr milliseconds endReportDelay { 400 };
// From the reported end of evicted runs to the start of what takes their place: a decision, a store write and the orders to
// all members, with a margin for one message that has to be sent again.
constexpr milliseconds startAfterStops { 900 };
// A run is awaited rather than stopped if that costs at most this much more time than a stop.
constexpr milliseconds extraWaitForEnd { 500 };
// A decision is made every 200 ms, and the order of a stop may have to be sent again once.
constexpr milliseconds stopOrderDelay { 700 };
constexpr milliseconds stopResendMargin { 1300 };
constexpr milliseconds refusalMargin { 200 };
// The time from an order to the first reported progress, beside the restore of a checkpoint.
constexpr milliseconds startupMargin { 400 };
constexpr milliseconds minStartup { 1000 };
// A store write and the orders, of which the stop and the restore of a checkpoint are independent.
constexpr milliseconds moveOrderDelay { 200 };
constexpr milliseconds minRestartCost { 800 };
constexpr milliseconds minMoveCost { 1000 };
// Guaranteed work may be placed away from its data this long before its bound.
constexpr milliseconds remoteStartMargin { 700 };
// Below this share of the bound of a reclaim, runs that are about to end would never be awaited.
constexpr int minReclaimDelayDivisor = 6;

double secondsOf(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

decision_limits deriveLimits(const platform_bounds& bounds)
{
    decision_limits limits;
    limits.stopTimeout = bounds.stopGrace + endReportDelay;
    limits.nearEnd = bounds.stopGrace + extraWaitForEnd;
    limits.drainStopMargin = bounds.stopGrace + stopOrderDelay;
    limits.drainSurplus = bounds.drain;
    limits.reclaimDelay = std::max(
        bounds.reclaim - limits.stopTimeout - startAfterStops, bounds.reclaim / minReclaimDelayDivisor);
    limits.maxGuaranteedRemoteDelay = std::max(bounds.reclaim - remoteStartMargin, limits.reclaimDelay);
    limits.reservation = limits.stopTimeout + startAfterStops;
    limits.refusalBackoff = bounds.stopGrace + refusalMargin;
    limits.startup = std::max(minStartup, bounds.restore + startupMargin);
    limits.endReportTimeout = bounds.stopGrace + stopResendMargin;
    limits.gangTimeout = bounds.gangTimeout;
    limits.restore = bounds.restore;
    limits.checkpointPeriod = bounds.checkpointPeriod;
    limits.restartCostSeconds = secondsOf(std::max(minRestartCost, bounds.stopGrace + bounds.restore));
    limits.moveCostSeconds = secondsOf(std::max(minMoveCost, bounds.stopGrace + bounds.restore + moveOrderDelay));
    limits.spreadFactor = bounds.spreadFactor;
    return limits;
}

} // namespace fleet
