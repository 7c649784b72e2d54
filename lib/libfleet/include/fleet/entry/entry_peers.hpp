/// @file
/// @brief Other entries: they serve a call for an entry that the store turns away.
#pragma once

#include <oriole/helpers/event_loop.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fleet {

using oriole::milliseconds;

/// @brief A caller's call as one entry hands it to another.
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
    unsigned retryAfterSeconds = 0; ///< 0 for none.
};

/// @brief The end of a call that was handed on.
struct relay_outcome {
    std::optional<relayed_answer> answer; ///< No value when no peer answered.
    bool open = false; ///< A peer that was reached did not answer: it may serve the call, now or later.
};

/// @brief What an entry does for others.
class entry_host {
public:
    /// The event loop that a host owns may throw at its end.
    virtual ~entry_host() noexcept(false) = default;
    /// @brief Answers a call without handing it on again.
    virtual void serve(const relayed_call& call, std::function<void(relayed_answer)> done) = 0;
    /// @brief An agent that can't write its address into the store tells it here.
    virtual void announce(const std::string& agent, const std::string& address) = 0;
};

/// @brief Listens for other entries and agents.
class entry_server {
public:
    entry_server(oriole::event_loop& loop, entry_host& host, const std::string& address);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief Calls other entries, each over a connection of its own that is kept.
class entry_peers {
public:
    /// @param ownAddress Never asked, whoever names it.
    explicit entry_peers(oriole::event_loop& loop, std::string ownAddress = {});
    ~entry_peers();
    entry_peers(const entry_peers&) = delete;
    entry_peers& operator=(const entry_peers&) = delete;

    void add(const std::string& address);
    void add(const std::vector<std::string>& addresses);
    [[nodiscard]] bool empty() const { return m_peers.empty(); }

    /// @brief Hands a call to one peer after the other until one serves it.
    /// A call is safe to hand on twice, since its job's id is its own.
    void relay(relayed_call call, std::function<void(relay_outcome)> done);

    /// @brief Tells all peers an agent's address.
    void announce(const std::string& agent, const std::string& address);

private:
    struct peer;
    struct relay_state;

    void tryNext(const std::shared_ptr<relay_state>& state);
    std::shared_ptr<peer> connected(const std::string& address);

    oriole::event_loop& m_loop;
    std::string m_ownAddress;
    std::map<std::string, std::shared_ptr<peer>> m_peers;
    std::map<std::string, oriole::time_point> m_failedAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
