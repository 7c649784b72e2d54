/// @file
/// @brief Decision logic of the scheduler. It does no I/O: it takes events and the time and returns effects to be carried out.
#pragma once

#include <fleet/core/draining.hpp>
#include <fleet/core/eviction.hpp>
#include <fleet/core/objective.hpp>
#include <fleet/core/organisation_share.hpp>
#include <fleet/core/placement.hpp>
#include <fleet/core/tables.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fleet {

/// @brief A run to be started. Its record has to be written to the store before, unless it is recorded already.
struct start_effect {
    run_id run;
    std::string worker;
    worker_incarnation life;
    std::string checkpoint;
    double slowdown = 1; ///< Factor by which its run time grows away from its data or from the rest of its gang.
    milliseconds slack { 0 }; ///< Slack to the job's objective when the run was placed.
    milliseconds waited { 0 }; ///< Time since the job was accepted.
    bool withinGuarantee = false; ///< Whether the job was within its organisation's guarantee.
    bool isRecorded = false; ///< An earlier scheduler recorded this attempt and did not order it, or the order was lost.
};

/// @brief A run to be stopped. The worker may not have it.
struct stop_effect {
    run_id run;
    std::string worker;
    std::string reason;
    double percent = 0; ///< Completed share of its work.
    double ratePercent = 0; ///< Latest progress rate in percent per second; 0 while unknown.
    double lossCoreSeconds = 0; ///< Work that is lost by the stop.
};

enum class deferral_reason {
    WaitsForRuns, ///< Resources are reserved that live runs are expected to free in time.
    WaitsForEvictions, ///< Resources are reserved that evicted runs free.
    OverBudget, ///< An eviction is possible, but more work would be lost than the unit is worth.
    TooLate, ///< Its objective can't be met any more, so nothing is evicted for it outside of a guarantee.
    NoPlan, ///< The unit does not fit even after evictions.
};

std::string_view toString(deferral_reason reason);

/// @brief Why a unit of priority 0 was not placed, with the inputs of the decision.
struct placement_deferral {
    unit_id unit;
    deferral_reason reason = deferral_reason::NoPlan;
    bool withinGuarantee = false;
    bool remoteAllowed = false; ///< Whether the unit could be placed away from its data or on several racks.
    milliseconds waited { 0 }; ///< Time that counts towards a due reclaim.
    milliseconds maxWait { 0 }; ///< How long the unit could wait for runs to end.
    std::size_t victims = 0; ///< Units evicted, or that would have been.
    double cost = 0; ///< Work lost by the evictions in core-seconds.
    std::size_t awaitedRuns = 0; ///< Runs that are not stopped because they are expected to end in time.
    std::optional<run_id> lastAwaited; ///< The one of them that is expected to end last.
    double lastAwaitedPercent = 0; ///< Its progress.
    double lastAwaitedRate = 0; ///< Its progress rate in percent per second; 0 while unknown.
};

using effect = std::variant<start_effect, stop_effect>;

/// @brief What shows that a run has ended although its end was not listed.
enum class loss_reason {
    LeaseExpired, ///< Its agent reports that everything on the worker has ended.
    AgentSilent, ///< Its agent has not reported for longer than it may extend leases.
    OtherIncarnation, ///< The worker has another incarnation, and the lease of its earlier ones has expired.
    StopConfirmed, ///< The worker does not list it after a stop.
    StartRefused, ///< The worker or its agent refused the start.
    NotOrdered, ///< Its start was not sent yet.
};

std::string_view toString(loss_reason reason);

/// @brief A run that counts as ended without an end that was listed, with the inputs of the decision.
struct run_loss {
    run_id run;
    std::string worker;
    worker_incarnation life;
    loss_reason reason = loss_reason::LeaseExpired;
    bool wasActive = false; ///< Whether the worker had accepted or reported it, and no stop had been decided.
    milliseconds sincePlaced { 0 };
    milliseconds sinceReported { 0 }; ///< Since its progress was last reported; of a run never reported, since it was placed.
};

struct core_settings {
    platform_bounds bounds;
};

class scheduler_core {
public:
    explicit scheduler_core(core_settings settings);

    void configure(configuration rules);
    /// @brief Replaces the limits of all decisions from now on.
    void setBounds(const platform_bounds& bounds);
    void setDomainsOut(std::set<std::string> domains);

    /// @brief Adds a new or restored job; no effect if the job is already known.
    void addJob(accepted_job job, job_progress progress, time_point acceptedAt, time_point now);
    void cancelJob(const std::string& id);
    [[nodiscard]] const job_row* findJob(const std::string& id) const;

    /// @brief Applies an agent's report. Runs that it lists as ended are finished; runs of other incarnations of the worker
    /// count as lost once their lease has expired.
    void applyReport(const std::string& worker, const worker_report& report, time_point now);
    /// @brief Whether a report can change a decision by more than the progress of runs.
    [[nodiscard]] bool canChangeDecision(const std::string& worker, const worker_report& report) const;
    void setUnreachable(const std::string& worker);

    /// @brief Counts the runs on the worker as lost, except those that an incarnation which nobody has seen may still run. To be called
    /// only once all others are known to have ended, and again until none is left.
    void markWorkerLost(const std::string& worker, time_point now);

    /// @brief The start of the run is sent now, or was sent by an earlier scheduler. Without an answer it may run on an incarnation that nobody
    /// has seen, until @p mayRunUntil at most.
    void startOrdered(const run_id& run, time_point mayRunUntil);
    void startAccepted(const run_id& run, time_point now);
    void startRefused(const run_id& run, bool insufficientResources, time_point now);
    void markStartUnconfirmed(const run_id& run);

    /// @brief The worker does not have the run and will not start it.
    void confirmRunAbsent(const run_id& run, time_point now, loss_reason reason = loss_reason::StopConfirmed);

    /// @brief Returns the effects to be carried out. @p now is the monotonic time, @p unixMs the wall clock, for due times.
    std::vector<effect> decide(time_point now, std::int64_t unixMs);

    /// @brief Jobs whose progress has changed since the last call.
    std::set<std::string> takeChangedJobs();

    /// @brief Placements that were deferred since the last call.
    std::vector<placement_deferral> takeDeferrals();

    /// @brief Where the last decision followed the shares of organisations.
    [[nodiscard]] const std::vector<fair_order>& fairOrders() const { return m_turns.orders(); }

    /// @brief Decisions on units of leaving workers since the last call; a repeated one is given once.
    std::vector<departure_decision> takeDepartures();

    /// @brief Runs that were counted as lost since the last call.
    std::vector<run_loss> takeLosses();

    [[nodiscard]] const tables& state() const { return m_state; }

private:
    void finishRun(const run_id& run, run_outcome how, const std::string& checkpoint, time_point now);
    void loseRun(const run_id& run, loss_reason reason, time_point now);
    void loseAllRuns(const std::string& worker, loss_reason reason, time_point now);
    [[nodiscard]] static bool mayRunUnseen(const live_run& run, time_point now);
    [[nodiscard]] static bool outlastsReplacement(const live_run& run, time_point now);
    void endRunsOfOtherIncarnations(const worker_row& worker, const worker_report& report, time_point now);
    [[nodiscard]] std::vector<run_id> runsOfOtherIncarnations(const worker_row& worker, const worker_incarnation& life) const;
    void updateFaultScore(const live_run& run, run_outcome how, time_point now);
    void assignRoom(const worker_row& worker, const worker_incarnation& present);
    [[nodiscard]] static std::optional<time_point> drainDeadlineOf(const worker_row& worker, const worker_description& notice, time_point now);
    void applyEndAfterLoss(const ended_run& ended);
    void applyActiveRuns(const std::string& worker, const worker_report& report, time_point now);
    void stopMissingRuns(const std::string& worker, const worker_report& report, time_point now);
    void updateProgress(live_run& run, const active_run& active, time_point now);
    void stopUnrecordedRun(const std::string& worker, const worker_report& report, const active_run& active, time_point now);
    void updateShortestRunTime(const live_run& run);
    void restoreRuns(const job_row& job, time_point now);
    void beginDueOccurrences(std::int64_t unixMs);
    void stopRunsOfEndedJobs(time_point now);
    void stopBrokenGangs(time_point now);
    void orderRestoredRuns(time_point now);
    void orderRestoredRun(live_run& run, time_point now);
    [[nodiscard]] bool mayStartRestored(const live_run& run, time_point now) const;
    void stopRunsOnDrainingWorkers(time_point now);
    departure_decision decideDeparture(const departing_unit& unit, unsigned& searches, time_point now);
    [[nodiscard]] std::optional<std::vector<std::string>> findNewPlaces(const departing_unit& unit, time_point now);
    void noteDeparture(const departure_decision& decision);
    void stopStragglers(time_point now);
    void placePendingUnits(time_point now);
    void placeStep(pending_unit& entry, time_point now);
    bool placeUnit(const pending_unit& entry, time_point now);
    [[nodiscard]] bool mayWaitForHealthyWorker(const placement_request& request, milliseconds waited, time_point now) const;
    [[nodiscard]] milliseconds extraRunTimeElsewhere(const job_row& job, unsigned step) const;
    bool isRoomIdle(const placement_request& request);
    bool mayPlaceRemotely(const job_row& job, const unit_id& unit, const placement_request& request, milliseconds waited);
    [[nodiscard]] static bool isLastAttempt(const job_row& job, const unit_id& unit);
    void startUnit(const job_row& job, const unit_id& unit, const std::vector<std::string>& workers, time_point now);
    std::optional<std::vector<std::string>> findExpectedPlaces(placement_request request, milliseconds within);
    const std::vector<expected_release>& expectedReleases();
    void collectFor(const placement_request& request, milliseconds slack);
    void releaseCollections();
    void reserve(const unit_id& unit, const std::vector<std::string>& workers, const resources& need, time_point until);
    void reserveOrEvict(const pending_unit& entry, const placement_request& request, time_point now);
    const eviction_candidates& evictionCandidates(reclaim_right right, time_point now);
    void noteDeferral(placement_deferral deferral, const std::vector<std::string>& workers, milliseconds awaitedWithin);
    void stop(live_run& run, const std::string& reason, time_point now);
    void stopUnit(const unit_id& unit, const std::string& reason, time_point now);
    void releaseReservation(const unit_id& unit);
    void releaseExpiredReservations(time_point now);
    [[nodiscard]] std::vector<pending_unit> collectPending(time_point now);
    void considerShares(const std::vector<pending_unit>& pending, time_point now);
    void placeInTurns(const std::vector<pending_unit>& pending, time_point now);
    [[nodiscard]] placement_request requestFor(const job_row& job, const unit_id& unit, time_point now);
    [[nodiscard]] bool canRestartElsewhere(const live_run& run, time_point now);

    tables m_state;
    time_point m_decidedAt;
    std::optional<std::set<std::string>> m_idleServices; ///< Of the present decision, once they are needed.
    std::optional<std::vector<expected_release>> m_releases; ///< Of the present decision, until a run is stopped.
    std::vector<reservation> m_collections; ///< Room that the present decision keeps for waiting gangs below priority 0.
    std::map<reclaim_right, std::optional<eviction_candidates>> m_evictionCandidates; ///< Of the present decision.
    std::map<unit_id, time_point> m_reservationTriedAt; ///< When a reservation or eviction for a unit last failed.
    std::map<unit_id, deferral_reason> m_lastDeferrals; ///< Repeated failures of a unit are reported once.
    std::vector<placement_deferral> m_deferrals;
    // Shares of organisations.
    organisation_usage m_usage;
    time_point m_usageAdvancedAt;
    organisation_turns m_turns; ///< Of the last decision.

    std::vector<run_loss> m_losses;

    /// @brief Last decision on a departing unit, so that an unsuccessful search is not repeated at every decision.
    struct departure_memory {
        departure_choice choice = departure_choice::Continues;
        bool reserved = false;
        bool noted = false;
        std::optional<time_point> searchedAt;
    };
    std::map<unit_id, departure_memory> m_departures;
    std::vector<departure_decision> m_departureDecisions;

    std::set<std::string> m_changed;
    std::vector<effect> m_effects;
};

} // namespace fleet
