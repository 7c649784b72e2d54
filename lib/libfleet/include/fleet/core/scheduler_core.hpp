/// @file
/// @brief The scheduler's decisions: pure, fed with events and the time, giving back effects.
#pragma once

#include <fleet/core/eviction.hpp>
#include <fleet/core/objective.hpp>
#include <fleet/core/placement.hpp>
#include <fleet/core/tables.hpp>

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fleet {

/// @brief A run to be started. Its record has to be written before.
struct start_effect {
    run_id run;
    std::string worker;
    worker_life life;
    std::string checkpoint;
    double spread = 1; ///< Factor by which it runs longer than near its data.
    milliseconds slack { 0 }; ///< How long it could still have waited.
};

/// @brief A run to be stopped; it may not be there.
struct stop_effect {
    run_id run;
    std::string worker;
    std::string reason;
    double percent = 0; ///< Of its work that was done.
    double ratePercent = 0; ///< Latest rate, percent a second; 0 while unknown.
    double lossCoreSeconds = 0; ///< Work that is lost.
};

using effect = std::variant<start_effect, stop_effect>;

struct core_settings {
    double spreadFactor = 3; ///< Slow-down away from the data; the platform's figure.
    milliseconds gangTimeout { 3000 }; ///< Members wait so long for the others; the platform's figure.
};

class scheduler_core {
public:
    explicit scheduler_core(core_settings settings);

    void configure(configuration rules);
    void setDomainsOut(std::set<std::string> domains);

    /// @brief Takes a job in, new or restored; one that is known is left alone.
    void addJob(accepted_job job, job_progress progress, time_point acceptedAt, time_point now);
    void cancelJob(const std::string& id);
    [[nodiscard]] const job_row* findJob(const std::string& id) const;

    /// @brief Takes what an agent says. Ends are applied; runs of another life of the worker are lost.
    void takeReport(const std::string& worker, const worker_report& report, time_point now);
    /// @brief Whether a report can change a decision, other than by the progress it shows.
    [[nodiscard]] bool isNews(const std::string& worker, const worker_report& report) const;
    void setUnreachable(const std::string& worker);

    /// @brief Whatever ran on the worker has certainly ended.
    void loseWorker(const std::string& worker, time_point now);

    void startAccepted(const run_id& run, time_point now);
    void startRefused(const run_id& run, bool wantOfRoom, time_point now);
    void startUnknown(const run_id& run);

    /// @brief The worker answered a stop and does not have the run, now or later.
    void runAbsent(const run_id& run, time_point now);

    /// @brief Decides at @p now; @p unixMs is the time of day.
    std::vector<effect> decide(time_point now, std::int64_t unixMs);

    /// @brief Jobs whose progress has changed since the last call.
    std::set<std::string> takeChanged();

    [[nodiscard]] const tables& state() const { return m_state; }

private:
    void settle(const run_id& run, run_end how, const std::string& checkpoint, time_point now);
    void loseOtherLives(const std::string& worker, const worker_life& life, time_point now);
    void judgeWorker(const live_run& run, run_end how, time_point now);
    void noteActive(const std::string& worker, const worker_report& report, time_point now);
    void noteMissing(const std::string& worker, const worker_report& report, time_point now);
    void takeActive(live_run& run, const active_run& seen, time_point now);
    void adoptUnknown(const std::string& worker, const worker_report& report, const active_run& seen, time_point now);
    void learnRunTime(const live_run& run);
    void restoreRuns(const job_row& job, time_point now);
    void beginDue(std::int64_t unixMs, time_point now);
    void stopFinished(time_point now);
    void stopBrokenGangs(time_point now);
    void stopLeaving(time_point now);
    void stopStragglers(time_point now);
    void place(time_point now);
    bool placeUnit(const pending_unit& entry, time_point now);
    void startUnit(const job_row& job, const unit_id& unit, const std::vector<std::string>& workers, time_point now);
    [[nodiscard]] std::optional<std::vector<std::string>> findPlacesSoon(
        placement_request request, milliseconds within) const;
    void reserve(const unit_id& unit, const std::vector<std::string>& workers, const room& need, time_point until);
    void makeRoom(const pending_unit& entry, const placement_request& request, time_point now);
    void stop(live_run& run, const std::string& reason, time_point now);
    void stopUnit(const unit_id& unit, const std::string& reason, time_point now);
    void dropReservation(const unit_id& unit);
    [[nodiscard]] std::vector<pending_unit> collectPending(time_point now) const;
    [[nodiscard]] placement_request requestFor(const job_row& job, const unit_id& unit, time_point now) const;
    [[nodiscard]] bool couldMove(const live_run& run, time_point now) const;

    core_settings m_settings;
    tables m_state;
    time_point m_decidedAt;
    std::map<unit_id, time_point> m_roomTriedAt; ///< When room for a unit was last looked for in vain.
    std::set<std::string> m_changed;
    std::vector<effect> m_effects;
};

} // namespace fleet
