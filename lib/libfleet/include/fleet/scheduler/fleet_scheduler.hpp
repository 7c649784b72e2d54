/// @file
/// @brief The scheduler of one epoch: loads what is recorded, hears agents, decides, records, gives orders.
#pragma once

#include <fleet/core/scheduler_core.hpp>
#include <fleet/scheduler/agent_directory.hpp>
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
        std::function<time_point()> clock; ///< Also counts while the machine is suspended.
        std::function<time_point()> provenAt; ///< When the store was last asked and proved the epoch.
        std::function<void(time_point sentAt)> proven;
        std::function<void(const std::string& reason)> deposed;
    };

    fleet_scheduler(environment outside, std::uint64_t epoch, scheduler_settings settings);
    ~fleet_scheduler();
    fleet_scheduler(const fleet_scheduler&) = delete;
    fleet_scheduler& operator=(const fleet_scheduler&) = delete;

    void start(configuration rules, std::set<std::string> domainsOut);
    void configure(configuration rules);
    void setDomainsOut(std::set<std::string> domains);

    /// @brief An agent or its new address was heard of.
    void announce(const std::string& agent, const std::string& address);
    void forget(const std::string& agent);

    /// @brief Whether all records are loaded and decisions are made.
    [[nodiscard]] bool decides() const { return m_decides; }

private:
    struct waiting_start {
        start_effect order;
        bool covered = false; ///< A write that was sent contains it.
    };

    struct end_row {
        worker_life life;
        std::map<std::uint64_t, std::string> jobs; ///< By number of the end, not yet taken note of.
        std::uint64_t told = 0;
    };

    void loaded();
    void restoreJobs();
    void takeJob(const record& item);
    void takeCancel(const std::string& key);
    void takeReport(const std::string& agent, const worker_report& report);
    void noteEnds(const std::string& agent, const worker_report& report);
    void acknowledgeEnds(const std::string& agent);
    void decideSoon();
    void decide();
    void perform(const start_effect& order);
    void perform(const stop_effect& order);
    void sendStart(const start_effect& order);
    void sendStop(const run_id& run);
    void recorded(const std::string& job);
    void logFinished(const std::string& id);
    void tick();

    environment m_outside;
    std::uint64_t m_epoch;
    scheduler_core m_core;
    agent_directory m_agents;
    progress_writer m_writer;
    store_mirror m_jobs;
    store_mirror m_progress;
    store_mirror m_cancels;
    std::map<std::string, std::vector<waiting_start>> m_starts; ///< By job; sent once they are recorded.
    std::map<std::string, end_row> m_ends; ///< By agent.
    std::map<std::string, worker_report> m_earlyReports; ///< Latest by agent, until the records are loaded.
    std::set<std::string> m_finished; ///< Jobs whose end was logged.
    std::set<run_id> m_stopping; ///< Stops without an answer yet.
    unsigned m_mirrorsLoaded = 0;
    bool m_decides = false;
    bool m_decisionDue = false;
    oriole::timer_service::subscription_id m_ticks = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
