/// @file
/// @brief An entry's part in deciding: it stands for scheduler, and schedules while it is the one.
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
        std::function<time_point()> clock; ///< Also counts while the machine is suspended.
        entry_peers& peers;
    };

    /// @param address Where other entries reach this one.
    fleet_entry(environment outside, const std::string& name, const std::string& address, scheduler_settings settings);
    ~fleet_entry();
    fleet_entry(const fleet_entry&) = delete;
    fleet_entry& operator=(const fleet_entry&) = delete;

    void start();

    /// @brief The operators' orders have changed.
    void controlChanged();

    /// @brief An agent told its address here because it can't write it into the store.
    void announce(const std::string& agent, const std::string& address);

    /// @brief Hands the scheduling over, for a planned stop.
    void resign(std::function<void()> done);

    [[nodiscard]] bool schedules() const { return m_scheduler != nullptr; }

private:
    void won(std::uint64_t epoch);
    void lost();
    void startScheduler();
    void announceSelf();

    environment m_outside;
    scheduler_settings m_settings;
    leadership m_leadership;
    store_mirror m_schedulerRecord;
    store_mirror m_agents;
    store_mirror m_entries;
    std::string m_name;
    std::string m_address;
    std::unique_ptr<fleet_scheduler> m_scheduler;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// @brief Key under which an agent announces its address.
std::string agentKey(const std::string& agent);

} // namespace fleet
