/// @file
/// @brief Until when a worker whose agent is silent may run what was started on it.
///
/// Load: agents that can't be reached, also right after their worker was started again under its id.
#pragma once

#include <fleet/model/worker.hpp>
#include <fleet/scheduler/directory_timing.hpp>

namespace fleet {

/// @brief Follows the reports of one agent.
///
/// The agent may extend leases for a time after its last report. Besides, a new incarnation may have carried out deadlines of an earlier one
/// until it first answered its agent; the worker shortens them to the longest lease, counted from then.
class silence_bound {
public:
    silence_bound() = default;
    /// @param now When tracking of the agent began.
    explicit silence_bound(time_point now);

    /// @brief Notes a report that is answered.
    void reported(const worker_incarnation& incarnation, bool responsive, time_point now);

    /// @brief When everything on the worker has ended if no report has come until then.
    [[nodiscard]] time_point endsAt(const directory_timing& timing) const;

    [[nodiscard]] time_point lastReportAt() const { return m_lastReportAt; }
    [[nodiscard]] bool hasReported() const { return m_hasReported; }

private:
    time_point m_lastReportAt; ///< Until the first report, when tracking began.
    bool m_hasReported = false;
    worker_incarnation m_incarnation;
    bool m_hasResponded = false; ///< Whether the incarnation was reported as responsive.
    time_point m_respondsSince; ///< When it first was; until then, the last report.
};

} // namespace fleet
