/// @file
/// @brief The scheduler of one epoch: loads the records, receives reports, decides, stores its decisions and sends orders.
#pragma once

#include <fleet/core/scheduler_core.hpp>
#include <fleet/scheduler/agent_directory.hpp>
#include <fleet/scheduler/backlog_publisher.hpp>
#include <fleet/scheduler/progress_writer.hpp>
#include <fleet/store/store_mirror.hpp>

#include <oriole/helpers/event_loop.hpp>
#include <oriole/helpers/metrics.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace fleet {

struct scheduler_settings {
    core_settings core;
    directory_timing directory;
};

class fleet_scheduler {
public:
    struct environment {
        oriole::event_loop& loop;
        record_store& store;
        oriole::metrics_registry& metrics;
        std::function<time_point()> clock; ///< Keeps counting while the machine is suspended.
        std::function<time_point()> leadershipConfirmedAt; ///< When the last store request that confirmed the epoch was sent.
        std::function<void(time_point sentAt)> leadershipConfirmed;
        std::function<void(const std::string& reason)> leadershipLost;
    };

    fleet_scheduler(environment env, std::uint64_t epoch, scheduler_settings settings);
    ~fleet_scheduler();
    fleet_scheduler(const fleet_scheduler&) = delete;
    fleet_scheduler& operator=(const fleet_scheduler&) = delete;

    void start(configuration rules, std::set<std::string> domainsOut);
    void configure(configuration rules);
    void setBounds(const platform_bounds& bounds);
    void setDomainsOut(std::set<std::string> domains);

    /// @brief Adds an agent or updates its address.
    void announce(const std::string& agent, const std::string& address);
    /// @brief Stops reconnecting to an agent.
    void forget(const std::string& agent);

    /// @brief Whether all records are loaded, so that decisions are made.
    [[nodiscard]] bool isReady() const { return m_ready; }

private:
    struct pending_start {
        start_effect order;
        bool writeSent = false; ///< A write that includes this start was sent to the store.
    };

    /// @brief What the scheduler did since the load was last logged.
    struct load_counters {
        time_point since;
        unsigned decisions = 0;
        double decisionMs = 0;
        double longestDecisionMs = 0;
        unsigned reports = 0;
        double reportMs = 0;
        double performMs = 0;
        milliseconds longestDelay { 0 }; ///< Largest delay of a tick, which shows how long the event loop was busy.
    };

    /// @brief Run ends of one agent that it reported and that are not acknowledged yet.
    struct unacknowledged_ends {
        worker_incarnation life;
        std::map<std::uint64_t, std::string> jobs; ///< Job of each unacknowledged end, by the end's number.
        std::uint64_t acknowledged = 0; ///< Highest number that was acknowledged to the agent.
    };

    void startWhenLoaded();
    void restoreJobs();
    void loadJob(const record& item);
    void applyCancel(const std::string& key);
    void handleReport(const std::string& agent, const worker_report& report);
    void trackEnds(const std::string& agent, const worker_report& report);
    void acknowledgeEnds(const std::string& agent);
    void scheduleDecision();
    void decide();
    [[nodiscard]] bool isEpochConfirmed();
    void perform(const start_effect& order);
    void perform(const stop_effect& order);
    void report(const placement_deferral& deferral);
    void report(const fair_order& order);
    void report(const departure_decision& decision);
    void logLosses();
    void sendStart(const start_effect& order);
    void sendStop(const run_id& run);
    void recorded(const std::string& job);
    void logFinished(const std::string& id);
    void logLoad(time_point now);
    void tick();

    environment m_environment;
    std::uint64_t m_epoch;
    milliseconds m_maxUnansweredRun; ///< How long a run may last whose start was ordered and got no answer.
    scheduler_core m_core;
    agent_directory m_agents;
    progress_writer m_writer;
    store_mirror m_jobs;
    store_mirror m_progress;
    store_mirror m_cancels;
    backlog_publisher m_backlog;
    std::map<std::string, std::vector<pending_start>> m_pendingStarts; ///< By job; sent once recorded in the store.
    std::map<std::string, unacknowledged_ends> m_ends; ///< By agent.
    std::map<std::string, worker_report> m_reportsBeforeLoad; ///< Latest report of each agent.
    std::set<std::string> m_loggedFinished; ///< Jobs whose final state was logged.
    std::set<run_id> m_pendingStops; ///< Stop orders that are in flight or wait for their repetition.
    unsigned m_mirrorsLoaded = 0;
    bool m_ready = false;
    bool m_decisionDue = false;
    bool m_decisionsSuspended = false; ///< The store has not confirmed the epoch within the lease's duration.
    time_point m_nextDecisionAt; ///< Decisions take at most a share of the process's time.
    std::map<std::pair<std::string, unsigned>, time_point> m_sharesLoggedAt; ///< By service and priority.
    load_counters m_load;
    time_point m_tickedAt;
    oriole::timer_service::subscription_id m_tickSubscription = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
