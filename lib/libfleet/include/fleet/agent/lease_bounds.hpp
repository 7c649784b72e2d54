/// @file
/// @brief Until when a worker's incarnations may run what was started on them.
///
/// Load: workers that can't be reached, and workers that start again under their id and take deadlines of their earlier clock.
#pragma once

#include <fleet/agent/agent_timing.hpp>

namespace fleet {

/// @brief Bounds on the agent's clock for all leases on its worker.
///
/// A deadline that is carried out on the clock it was computed for ends at a known time. One that a later incarnation carries out is
/// shortened to the longest lease, counted from that moment. That can happen until the incarnation has answered a call that excludes all
/// calls sent before (see incarnation_fence).
class lease_bounds {
public:
    /// @param now Start of the agent: an earlier process of it may have extended leases until then, also by the clock of an
    /// earlier incarnation.
    lease_bounds(const agent_timing& timing, time_point now);

    /// @brief Notes a deadline for the known clock, which passes at @p endsAt.
    void deadlineSent(time_point sentAt, time_point endsAt);

    /// @brief The worker has, or may have, started again under its id.
    void restarted();

    /// @brief The present incarnation has answered a call that excludes all calls sent before.
    void earlierCallsExcluded(time_point now);

    /// @brief A worker with another id, which takes no calls that were sent before, has taken the place of the present one.
    void replaced();

    /// @brief When the lease of everything on the worker, whatever its incarnation, has expired.
    [[nodiscard]] time_point allEndAt() const;

    /// @brief The same of the incarnations before the present one.
    [[nodiscard]] time_point displacedEndAt() const { return m_displacedEndAt; }

    [[nodiscard]] bool mayCarryOutEarlierCalls() const { return m_earlierCallsPossible; }

private:
    agent_timing m_timing;
    time_point m_lastSentAt; ///< Of the last deadline.
    time_point m_ownEndAt; ///< Of deadlines on the clock they were computed for.
    time_point m_earlierCallsEndAt; ///< Of deadlines that the present incarnation may have carried out for an earlier one.
    time_point m_displacedEndAt;
    bool m_earlierCallsPossible = true;
};

} // namespace fleet
