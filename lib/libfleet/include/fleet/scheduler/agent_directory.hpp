/// @file
/// @brief The scheduler's connections to all agents, and the detection of lost workers.
#pragma once

#include <fleet/agent/worker_agent.hpp>
#include <fleet/scheduler/silence_bound.hpp>

#include <oriole/helpers/event_loop.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fleet {

/// @brief Connects and attaches to every announced agent, sends it orders and passes on its reports.
class agent_directory {
public:
    struct handlers {
        std::function<void(const std::string& agent, const worker_report& report)> reported;
        std::function<void(const std::string& agent)> unreachable;
        /// @brief The agent sent no reports for so long that everything it is known to have run has ended. Repeated at each check, because
        /// a run whose start got no answer may last longer.
        std::function<void(const std::string& agent)> lost;
        /// @brief Whether reports may be answered: the store confirmed this scheduler's epoch recently enough.
        std::function<bool()> isEpochValid;
        /// @brief This epoch has no more connections to the agent; a new epoch is needed.
        std::function<void(const std::string& agent)> connectionsExhausted = [](const std::string&) {};
    };

    agent_directory(oriole::event_loop& loop, std::uint64_t epoch, directory_timing timing, handlers eventHandlers);
    ~agent_directory();
    agent_directory(const agent_directory&) = delete;
    agent_directory& operator=(const agent_directory&) = delete;

    /// @brief Adds an agent or updates its address, and connects to it.
    void announce(const std::string& agent, const std::string& address);
    /// @brief Stops reconnecting to an agent; an open connection stays, and loss detection goes on.
    void forget(const std::string& agent);

    /// @brief Starts loss detection for a worker that a stored record names, even if its agent is not announced.
    void track(const std::string& agent);

    void start(const std::string& agent, const worker_incarnation& life, const start_order& order,
        const std::function<void(start_outcome, std::string)>& done);
    void stop(const std::string& agent, const worker_incarnation& life, const run_id& run, const std::function<void(stop_outcome)>& done);
    void acknowledge(const std::string& agent, const worker_incarnation& life, std::uint64_t upTo);

    /// @brief Reconnects to agents that stopped reporting and reports lost ones; call it a few times a second.
    void check(time_point now);

    [[nodiscard]] std::size_t connected() const;

    struct link;

private:
    void connect(const std::string& agent);
    void opened(const std::string& agent, kj::Own<kj::AsyncIoStream> stream);
    void attach(const std::string& agent, const std::shared_ptr<link>& connection);
    void reconnectLater(const std::string& agent);
    void disconnected(const std::string& agent, const std::shared_ptr<link>& connection, const std::string& reason);
    /// @brief Returns false if @p connection was replaced: the report then counts for nothing.
    bool reported(const std::string& agent, const std::shared_ptr<link>& connection, const worker_report& report);

    struct agent_state {
        std::string address;
        std::shared_ptr<link> connection;
        bool connecting = false;
        time_point connectedAt;
        silence_bound silence; ///< Follows the answered reports.
        bool lossNotified = false;
        unsigned failures = 0;
        std::uint64_t attachments = 0; ///< Connections opened in this epoch.
        std::uint64_t generation = 0; ///< Incremented with each new address; results of older connection attempts are ignored.
    };

    oriole::event_loop& m_loop;
    std::uint64_t m_epoch;
    directory_timing m_timing;
    handlers m_handlers;
    std::map<std::string, agent_state> m_agents;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
