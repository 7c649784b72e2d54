/// @file
/// @brief Carries out the decisions of the client budget for all listeners of a process.
#pragma once

#include <fleet/http/client_budget.hpp>

#include <oriole/helpers/event_loop.hpp>
#include <oriole/helpers/metrics.hpp>

#include <kj/async.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fleet {

class client_gate;

/// @brief The part of one connection in the budget; it ends with the connection.
class client_slot {
public:
    client_slot(std::shared_ptr<client_gate> gate, client_budget::connection_id id);
    ~client_slot();
    client_slot(const client_slot&) = delete;
    client_slot& operator=(const client_slot&) = delete;

    void setActivity(client_activity activity);

    /// @brief Holds memory for what the connection has received.
    /// @return False if there is no room.
    [[nodiscard]] bool hold(std::size_t bytes);
    void holdAnswer(std::size_t bytes);
    void release(std::size_t bytes);

    /// @brief Counts a client's violation of a limit in the log and the metrics.
    void note(const std::string& reason);

    /// @brief Closes the connection once control returns to the event loop.
    void closeConnection(const std::string& reason);

    /// @brief Closes the connection unless the returned task is dropped before @p limit.
    [[nodiscard]] kj::Promise<void> closeAfter(oriole::milliseconds limit, std::string reason);

private:
    std::shared_ptr<client_gate> m_gate;
    client_budget::connection_id m_id;
};

/// @brief Admits connections. All listeners of a process share one gate.
class client_gate : public std::enable_shared_from_this<client_gate> {
public:
    /// @param metrics May be null.
    static std::shared_ptr<client_gate> create(oriole::event_loop& loop, client_capacity capacity, oriole::metrics_registry* metrics);

    /// @brief A gate for a program without settings, e.g. a stand-in of a test.
    static std::shared_ptr<client_gate> createSpacious(oriole::event_loop& loop);

    struct admission {
        std::shared_ptr<client_slot> slot; ///< Null if the connection is refused.
        kj::Promise<void> closed; ///< Resolves when the connection has to be closed.
    };

    admission admit(client_protocol protocol);

    /// @brief Counts a client's violation of a limit in the log and the metrics.
    void note(const std::string& reason);

    client_gate(oriole::event_loop& loop, client_capacity capacity, oriole::metrics_registry* metrics);

private:
    friend class client_slot;

    void giveUp(const client_budget::decision& outcome);
    void closeConnection(client_budget::connection_id id);
    void logCounts();
    void updateGauges();

    oriole::event_loop& m_loop;
    client_budget m_budget;
    oriole::metrics_registry* m_metrics;
    std::map<client_budget::connection_id, kj::Own<kj::PromiseFulfiller<void>>> m_closers;
    std::map<std::string, std::uint64_t> m_counts; ///< By reason, since the last log line.
    bool m_logPending = false;
};

} // namespace fleet
