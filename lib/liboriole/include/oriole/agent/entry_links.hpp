/// @file
/// @brief The connections of an agent to the entries: announcing, heartbeats, reconnecting.
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

/// @brief What a heartbeat says.
struct agent_report {
    std::vector<task_report> tasks;
    std::uint64_t tasksVersion = 0;
    unsigned requestsRunning = 0;
    unsigned requestsQueued = 0;
    bool leaving = false;
    bool backendHealthy = false;
    unsigned failuresInRow = 0;
};

/// @brief Keeps a session with every known entry: the seeds and those that views name.
class entry_links {
public:
    using report_source = std::function<agent_report()>;
    using acknowledged_handler = std::function<void(const std::vector<attempt_id>&)>;

    entry_links(event_loop& loop, worker_info worker, std::vector<endpoint> seeds, agent_view& view,
        rpc::Agent::Client agent, report_source source, acknowledged_handler acknowledged);
    ~entry_links();
    entry_links(const entry_links&) = delete;
    entry_links& operator=(const entry_links&) = delete;

    /// @brief Connects from now on; to be called once the tasks on this worker are known.
    void start() { m_started = true; }
    [[nodiscard]] bool started() const { return m_started; }

    /// @brief Sends a heartbeat to every entry now.
    void wake();

    /// @brief Takes the list of live entries from the store; an empty one changes nothing.
    void setListed(const std::vector<entry_address>& entries);

    /// @brief Number of entries with a session.
    [[nodiscard]] unsigned connected() const;

    /// @brief True when each entry with a session has heard the report of @p tasksVersion.
    [[nodiscard]] bool allHeard(std::uint64_t tasksVersion) const;

private:
    struct link;
    using link_ref = std::shared_ptr<link>;

    void tick();
    void addLink(const endpoint& address);
    std::set<endpoint> addLinks(const std::vector<entry_address>& entries);
    void open(const link_ref& entry);
    kj::Promise<void> announce(const link_ref& entry);
    void heartbeat(const link_ref& entry);
    void heartbeatAnswered(const link_ref& entry, rpc::AgentSession::HeartbeatResults::Reader answer,
        time_point sentAt, std::uint64_t tasksVersion);
    void takeView(const link_ref& entry, rpc::ControlView::Reader received, time_point askedAt);
    void fail(const link_ref& entry, const std::string& reason);
    void dropUnlisted();
    milliseconds jittered(milliseconds delay);

    event_loop& m_loop;
    worker_info m_worker;
    std::vector<endpoint> m_seeds;
    agent_view& m_view;
    rpc::Agent::Client m_agent;
    report_source m_source;
    acknowledged_handler m_acknowledged;
    std::vector<link_ref> m_links;
    std::set<endpoint> m_listed; ///< Entries named by the store, until a view names any.
    bool m_started = false;
    std::minstd_rand m_random;
    std::shared_ptr<bool> m_alive;
    timer_service::subscription_id m_tick = 0;
};

} // namespace oriole
