/// @file
/// @brief Connections of an agent to the entries: announcement, heartbeats and reconnection.
#pragma once

#include <oriole/agent/agent_view.hpp>
#include <oriole/rpc/connection.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oriole {

/// @brief Contents of a heartbeat.
struct agent_report {
    std::vector<task_report> tasks;
    std::uint64_t tasksVersion = 0;
    unsigned requestsRunning = 0;
    unsigned requestsQueued = 0;
    bool leaving = false;
    bool backendHealthy = false;
    unsigned failuresInRow = 0;
};

/// @brief Keeps a session with every known entry: the seeds, and the entries listed in control views or in the store.
class entry_links {
public:
    using report_source = std::function<agent_report()>;
    using acknowledged_handler = std::function<void(const std::vector<attempt_id>&)>;

    entry_links(event_loop& loop, worker_info worker, std::vector<endpoint> seeds, agent_view& view,
        rpc::Agent::Client agent, report_source source, acknowledged_handler acknowledged);
    ~entry_links();
    entry_links(const entry_links&) = delete;
    entry_links& operator=(const entry_links&) = delete;

    /// @brief Starts to connect. Must be called once the tasks on this worker are known.
    void start() { m_started = true; }
    [[nodiscard]] bool started() const { return m_started; }

    /// @brief Requests a heartbeat to every entry as soon as possible.
    void requestHeartbeat();

    /// @brief Sets the list of live entries that was read from the store; an empty list is ignored.
    void setStoreEntries(const std::vector<entry_address>& entries);

    /// @brief Number of entries with a session.
    [[nodiscard]] unsigned connected() const;

    /// @brief True if every entry with a session has acknowledged the task reports of @p tasksVersion or later.
    [[nodiscard]] bool allAcknowledged(std::uint64_t tasksVersion) const;

private:
    struct entry_link;
    using link_ptr = std::shared_ptr<entry_link>;

    void tick();
    void addLink(const endpoint& address);
    std::set<endpoint> addLinks(const std::vector<entry_address>& entries);
    void connect(const link_ptr& link);
    kj::Promise<void> announce(const link_ptr& link);
    void heartbeat(const link_ptr& link);
    void handleHeartbeatAnswer(const link_ptr& link, rpc::AgentSession::HeartbeatResults::Reader answer,
        time_point sentAt, std::uint64_t tasksVersion);
    void applyView(const link_ptr& link, rpc::ControlView::Reader received, time_point requestedAt);
    void markFailed(const link_ptr& link, const std::string& reason);
    void removeUnlistedLinks();
    milliseconds withJitter(milliseconds delay);

    event_loop& m_loop;
    worker_info m_worker;
    std::vector<endpoint> m_seeds;
    agent_view& m_view;
    rpc::Agent::Client m_agent;
    report_source m_reportSource;
    acknowledged_handler m_onAcknowledged;
    std::vector<link_ptr> m_links;
    std::set<endpoint> m_storeEntries; ///< Entries listed in the store; cleared once a control view lists entries.
    bool m_started = false;
    std::minstd_rand m_random;
    std::shared_ptr<bool> m_alive;
    timer_service::subscription_id m_tick = 0;
};

} // namespace oriole
