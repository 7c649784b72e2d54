/// @file
/// @brief The workers whose agents have announced themselves to this entry.
#pragma once

#include <oriole/control/control_state.hpp>
#include <oriole/core/model.hpp>
#include <oriole/helpers/event_source.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <oriole.capnp.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriole {

/// @brief What an agent reports in a heartbeat.
struct worker_report {
    std::vector<task_report> tasks;
    bool tasksChanged = false;
    unsigned requestsRunning = 0;
    unsigned requestsQueued = 0;
    bool leaving = false;
    bool backendHealthy = true;
    unsigned failuresInRow = 0;
    std::uint64_t configurationRevision = 0;
};

/// @brief A worker as this entry sees it.
struct worker_record {
    worker_info info;
    worker_report report;
    std::uint64_t session = 0; ///< Grows with each announcement; heartbeats of older sessions do not count.
    time_point lastHeard;
    bool present = false;
    bool changed = false; ///< The last report says other things of tasks or of the worker than the one before.
};

/// @brief Holds one record per worker and says when a worker joins, reports and falls silent.
class worker_table {
public:
    explicit worker_table(timer_service& timers);

    /// @brief Takes in an announcement.
    /// @return The number of the session.
    std::uint64_t announced(const worker_info& info, rpc::Agent::Client agent);

    /// @brief Takes in a heartbeat.
    /// @return False when a later session has replaced this one.
    bool reported(const std::string& worker, std::uint64_t session, worker_report report);

    /// @brief The connection of a session broke.
    void disconnected(const std::string& worker, std::uint64_t session);

    /// @brief The record, also of a worker that is silent; null when it never announced itself or was forgotten.
    [[nodiscard]] const worker_record* find(const std::string& worker) const;

    [[nodiscard]] bool present(const std::string& worker) const;
    [[nodiscard]] const std::map<std::string, worker_record>& all() const { return m_workers; }

    /// @brief The agent's interface. The worker must be known.
    rpc::Agent::Client agent(const std::string& worker);

    /// @brief Emitted when a worker announces itself, or is heard again.
    event_source<worker_record> joined;

    /// @brief Emitted on each heartbeat; the record holds the full list of tasks.
    event_source<worker_record> heard;

    /// @brief Emitted when a worker has been silent for too long or its connection broke.
    event_source<std::string> left;

    /// @brief Emitted when the record of a worker that stayed silent for long was dropped.
    event_source<std::string> forgotten;

private:
    void forgetLongSilent(time_point now);
    void findSilent(time_point now);
    void markAbsent(worker_record& record);

    timer_service& m_timers;
    std::uint64_t m_nextSession = 1;
    std::map<std::string, worker_record> m_workers;
    std::map<std::string, rpc::Agent::Client> m_agents;
};

} // namespace oriole
