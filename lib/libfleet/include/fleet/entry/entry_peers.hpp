/// @file
/// @brief RPC between entries: an entry that can't reach the store relays calls to its peers.
#pragma once

#include <oriole/helpers/event_loop.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fleet {

class client_gate;

using oriole::milliseconds;

/// @brief A caller's request as it is relayed from one entry to another.
struct relayed_call {
    std::string method;
    std::string target;
    std::string host;
    std::string key;
    std::string body;
};

struct relayed_answer {
    unsigned status = 0;
    std::string body;
    unsigned retryAfterSeconds = 0; ///< 0: no Retry-After header.
};

/// @brief Outcome of a relayed call.
struct relay_outcome {
    std::optional<relayed_answer> answer; ///< Without a value no peer answered.
    bool maybeServed = false; ///< A peer to which a connection was open did not answer: it may still serve the call.
};

/// @brief Handles the requests of other entries and of agents.
class entry_request_handler {
public:
    /// An implementation may own an event loop, whose destructor may throw.
    virtual ~entry_request_handler() noexcept(false) = default;
    /// @brief Answers a relayed call without relaying it again.
    virtual void serve(const relayed_call& call, std::function<void(relayed_answer)> done) = 0;
    /// @brief Receives the address of an agent that can't write it into the store.
    virtual void announce(const std::string& agent, const std::string& address) = 0;
};

/// @brief RPC server for other entries and for agents.
class entry_server {
public:
    entry_server(oriole::event_loop& loop, entry_request_handler& handler, const std::string& address,
        std::shared_ptr<client_gate> clients = nullptr);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief RPC client of the other entries, with one persistent connection to each.
class entry_peers {
public:
    /// @param ownAddresses This process's own addresses; they are ignored when they are added as peers.
    explicit entry_peers(oriole::event_loop& loop, std::set<std::string> ownAddresses = {});
    ~entry_peers();
    entry_peers(const entry_peers&) = delete;
    entry_peers& operator=(const entry_peers&) = delete;

    void add(const std::string& address);
    void add(const std::vector<std::string>& addresses);
    [[nodiscard]] bool empty() const { return m_peers.empty(); }

    /// @brief Relays a call to one peer after another until one serves it.
    ///
    /// Relaying a call twice is safe because the caller chooses the job's id.
    void relay(relayed_call call, std::function<void(relay_outcome)> done);

    /// @brief Sends an agent's address to all peers.
    void announce(const std::string& agent, const std::string& address);

private:
    struct peer;
    struct relay_state;

    void relayToNextPeer(const std::shared_ptr<relay_state>& state);
    std::shared_ptr<peer> connected(const std::string& address);

    oriole::event_loop& m_loop;
    std::set<std::string> m_ownAddresses;
    std::map<std::string, std::shared_ptr<peer>> m_peers;
    std::map<std::string, oriole::time_point> m_failedAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
