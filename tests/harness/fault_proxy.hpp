/// @file
/// @brief A TCP proxy that injects faults.
#pragma once

#include <oriole/http/http_client.hpp>

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace oriole::harness {

enum class link_fault {
    None,
    Drop, ///< Accepts connections and swallows what comes in.
    Cut, ///< Closes all connections and refuses new ones.
    Freeze, ///< Keeps connections and forwards nothing until the fault ends.
    HalfOpen, ///< Closes the client's side only; the target's side stays open.
    LoseReply, ///< Forwards requests; swallows the reply and then closes.
};

std::optional<link_fault> parseLinkFault(std::string_view text);

enum class link_direction {
    Both,
    ToTarget,
    ToClient,
};

/// @brief How the proxy treats its connections, old and new ones.
struct link_state {
    link_fault fault = link_fault::None;
    link_direction direction = link_direction::Both; ///< Of Drop and Freeze.
    std::chrono::milliseconds delay { 0 }; ///< One way.
    std::uint64_t bytesPerSecond = 0; ///< Each way; 0 means no limit.
    std::vector<pid_t> clients {}; ///< Processes whose connections the fault strikes; none means all.

    auto operator<=>(const link_state&) const = default;
};

/// @brief Forwards connections from @p listen to @p target on a thread of its own.
class fault_proxy {
public:
    fault_proxy(endpoint listen, endpoint target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    [[nodiscard]] const endpoint& address() const { return m_listen; }

    /// @brief Returns once the new state is in effect.
    void set(const link_state& state);
    void set(link_fault fault) { set(link_state { fault }); }

    [[nodiscard]] std::uint64_t bytesToTarget() const { return m_bytesToTarget; }
    [[nodiscard]] std::uint64_t bytesToClient() const { return m_bytesToClient; }
    [[nodiscard]] std::uint64_t connections() const { return m_connections; }

private:
    struct pipe;
    struct tunnel;

    void run();
    void step();
    void applyState();
    void openListener();
    void closeListener();
    void accept();
    void receive(pipe& from);
    void send(pipe& from);
    [[nodiscard]] bool strikes(const tunnel& which) const;
    [[nodiscard]] bool passes(const pipe& which) const;
    [[nodiscard]] bool frozen(const pipe& which) const;
    void wake() const;

    endpoint m_listen;
    endpoint m_target;
    int m_listener = -1;
    int m_wake = -1;
    link_state m_state;
    std::list<tunnel> m_tunnels;
    std::mutex m_mutex;
    link_state m_wanted;
    std::atomic<std::uint64_t> m_wantedVersion { 0 };
    std::atomic<std::uint64_t> m_appliedVersion { 0 };
    std::atomic<bool> m_stopping { false };
    std::atomic<std::uint64_t> m_bytesToTarget { 0 };
    std::atomic<std::uint64_t> m_bytesToClient { 0 };
    std::atomic<std::uint64_t> m_connections { 0 };
    std::thread m_thread;
};

} // namespace oriole::harness
