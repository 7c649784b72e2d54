/// @file
/// @brief An entry's scheduling role: it takes part in the leader election and runs the scheduler while it is the leader.
#pragma once

#include <fleet/entry/control_view.hpp>
#include <fleet/entry/entry_peers.hpp>
#include <fleet/scheduler/fleet_scheduler.hpp>
#include <fleet/scheduler/leadership.hpp>

#include <functional>
#include <memory>
#include <string>

namespace fleet {

class fleet_entry {
public:
    struct environment {
        oriole::event_loop& loop;
        record_store& store;
        control_source& control;
        oriole::metrics_registry& metrics;
        std::function<time_point()> clock; ///< Monotonic; also advances while the machine is suspended.
        entry_peers& peers;
    };

    /// @brief What this entry tells others about itself.
    struct identity {
        std::string name;
        std::string address; ///< RPC address for other entries.
        double cores = 0; ///< Processor share; 0 if unknown.
    };

    fleet_entry(environment dependencies, identity self, scheduler_settings settings);
    ~fleet_entry();
    fleet_entry(const fleet_entry&) = delete;
    fleet_entry& operator=(const fleet_entry&) = delete;

    void start();

    /// @brief Passes a changed control view on to the scheduler.
    void controlChanged();

    /// @brief Replaces the platform's bounds, also those of a running scheduler.
    void setBounds(const platform_bounds& bounds);

    /// @brief Records the address of an agent that can't write it into the store itself.
    void announce(const std::string& agent, const std::string& address);

    /// @brief Gives up the leadership before a planned stop.
    void resign(std::function<void()> done);

    [[nodiscard]] bool isLeader() const { return m_scheduler != nullptr; }

    /// @brief Epoch of the scheduler by its record as last seen; 0 if there is none.
    [[nodiscard]] std::uint64_t schedulerEpoch() const;

private:
    void becomeLeader(std::uint64_t epoch);
    void loseLeadership();
    void startScheduler();
    void announceSelf();
    [[nodiscard]] std::optional<milliseconds> timeBeforeClaim(bool lostRecently) const;

    environment m_dependencies;
    scheduler_settings m_settings;
    leadership m_leadership;
    store_mirror m_schedulerRecord;
    store_mirror m_agents;
    store_mirror m_entries;
    store_mirror m_cores;
    identity m_self;
    time_point m_startedAt;
    std::unique_ptr<fleet_scheduler> m_scheduler;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// @brief Store key under which an agent announces its address.
std::string agentKey(const std::string& agent);

} // namespace fleet
