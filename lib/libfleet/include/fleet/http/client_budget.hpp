/// @file
/// @brief Bounds what all clients of a process together can hold, and decides which of them has to make room.
///
/// Responds to clients that nobody controls: many connections, bodies that are sent only half, and answers that are not
/// read. Without a bound 300 such clients took 298 MB of an entry that has 160 MB.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace fleet {

/// @brief The limits of the machine, or of the share of it that a process has. 0 if unknown.
struct process_limits {
    std::uint64_t memoryMb = 0;
    std::uint64_t descriptors = 0;

    auto operator<=>(const process_limits&) const = default;
};

/// @brief What all clients together may hold.
struct client_capacity {
    std::size_t httpConnections = 0;
    std::size_t rpcConnections = 0;
    std::size_t contentBytes = 0; ///< Of headers, bodies and messages that were received, and of answers that were not yet taken.

    auto operator<=>(const client_capacity&) const = default;
};

/// @brief Derives the clients' part from the limits of a process; the rest is left to its tables, its store, peers and agents.
client_capacity deriveClientCapacity(const process_limits& limits);

enum class client_protocol {
    Http,
    Rpc
};

/// @brief What a connection is occupied with. The order is the one in which connections are given up.
enum class client_activity {
    Unserved, ///< Nothing that it has sent has been served yet, and it sends nothing.
    Idle, ///< Between two requests.
    Sending, ///< A request or message has been received in part.
    Taking, ///< An answer has been written in part.
    Handled ///< Its request may take effect; it is never given up.
};

/// @brief Counts the connections of all clients and the bytes held for them. It has no clock; time is passed in.
class client_budget {
public:
    using connection_id = std::uint64_t;
    using time_point = std::chrono::steady_clock::time_point;

    struct decision {
        bool granted = false;
        std::vector<connection_id> givenUp; ///< Connections that have to make room.

        bool operator==(const decision&) const = default;
    };

    struct opening {
        connection_id id = 0;
        decision outcome;
    };

    explicit client_budget(client_capacity capacity);

    /// @brief Counts a new connection. At capacity, the connection of its protocol that is given up first makes room.
    opening open(client_protocol protocol, time_point now);

    void close(connection_id id);

    /// @brief Notes what a connection is occupied with from now on. One that is idle from now on has been served.
    void setActivity(connection_id id, client_activity activity, time_point now);

    /// @brief Holds @p bytes more for a connection. Connections that are given up first make room; if that is this one, or if
    /// there is no other, nothing is granted.
    decision hold(connection_id id, std::size_t bytes);

    /// @brief Holds @p bytes more for the answer to a request that has been handled, also beyond the capacity.
    decision holdAnswer(connection_id id, std::size_t bytes);

    void release(connection_id id, std::size_t bytes);

    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }
    [[nodiscard]] std::size_t heldBytes() const { return m_heldBytes; }

private:
    struct connection {
        client_protocol protocol = client_protocol::Http;
        client_activity activity = client_activity::Unserved;
        time_point since; ///< When the activity began.
        std::size_t bytes = 0;
        bool givenUp = false;
    };
    using table = std::map<connection_id, connection>;

    [[nodiscard]] std::size_t limitOf(client_protocol protocol) const;
    template <typename Condition>
    table::iterator firstToGiveUp(Condition condition);
    void dropBytes(connection& which);

    client_capacity m_capacity;
    table m_connections;
    std::map<client_protocol, std::size_t> m_counts; ///< Connections that have not been given up.
    std::size_t m_heldBytes = 0;
    connection_id m_lastId = 0;
};

} // namespace fleet
