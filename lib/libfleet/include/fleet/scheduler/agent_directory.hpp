/// @file
/// @brief The scheduler's connections to all agents, and how long what they run may still go on unseen.
#pragma once

#include <fleet/agent/worker_agent.hpp>

#include <oriole/helpers/event_loop.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fleet {

struct directory_timing {
    agent_timing agents;
    milliseconds stewardship { 5000 }; ///< A scheduler answers reports so long after the store proved it last.
};

/// @brief Connects to every agent that is announced, attaches, and passes orders and reports on.
class agent_directory {
public:
    struct handlers {
        std::function<void(const std::string& agent, const worker_report& report)> reported;
        std::function<void(const std::string& agent)> unreachable;
        /// @brief Whatever ran there has ended by now.
        std::function<void(const std::string& agent)> lost;
        /// @brief Whether reports may be answered: the store proved our epoch lately.
        std::function<bool()> decides;
    };

    agent_directory(oriole::event_loop& loop, std::uint64_t epoch, directory_timing timing, handlers notify);
    ~agent_directory();
    agent_directory(const agent_directory&) = delete;
    agent_directory& operator=(const agent_directory&) = delete;

    /// @brief Announces an agent, or its new address.
    void announce(const std::string& agent, const std::string& address);
    void forget(const std::string& agent);

    /// @brief A record names this worker, announced or not: it is lost unless it is heard of in time.
    void expect(const std::string& agent);

    void start(const std::string& agent, const worker_life& life, const start_order& order,
        const std::function<void(start_outcome, std::string)>& done);
    void stop(const std::string& agent, const worker_life& life, const run_id& run, const std::function<void(stop_outcome)>& done);
    void acknowledge(const std::string& agent, const worker_life& life, std::uint64_t upTo);

    /// @brief Looks for silent agents; call it a few times a second.
    void check(time_point now);

    [[nodiscard]] std::size_t connected() const;

    struct link;

private:
    void connect(const std::string& agent);
    void opened(const std::string& agent, kj::Own<kj::AsyncIoStream> stream);
    void attach(const std::string& agent, const std::shared_ptr<link>& connection);
    void reconnectLater(const std::string& agent);
    void disconnected(const std::string& agent, const std::shared_ptr<link>& connection, const std::string& reason);
    void reported(const std::string& agent, const std::shared_ptr<link>& connection, const worker_report& report);

    struct row {
        std::string address;
        std::shared_ptr<link> connection;
        bool connecting = false;
        time_point connectedAt;
        time_point heardAt; ///< Last report that was answered; at first the take-over.
        bool heard = false;
        bool lossTold = false;
        unsigned failures = 0;
        std::uint64_t generation = 0; ///< Of the address.
    };

    oriole::event_loop& m_loop;
    std::uint64_t m_epoch;
    directory_timing m_timing;
    handlers m_notify;
    std::map<std::string, row> m_rows;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
