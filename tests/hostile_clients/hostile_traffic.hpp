/// @file
/// @brief TCP clients that send bytes of the test's choice, never read an answer and stay connected.
#pragma once

#include <oriole/http/http_client.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace hostile {

/// @brief What each client of a group does.
struct client_script {
    unsigned clients = 0;
    std::string bytes; ///< Sent as fast as the server takes it.
    bool trickles = false; ///< Sends one byte every 50 ms after that.
};

/// @brief A group of clients. A client whose connection is closed opens another one, a bounded number of times.
class hostile_traffic {
public:
    hostile_traffic(oriole::endpoint target, client_script script);
    ~hostile_traffic();
    hostile_traffic(const hostile_traffic&) = delete;
    hostile_traffic& operator=(const hostile_traffic&) = delete;

    /// @brief Sends for @p duration. The connections stay open afterwards.
    void run(std::chrono::milliseconds duration);

private:
    struct client {
        int socket = -1;
        std::size_t sent = 0;
        unsigned connects = 0;
        std::chrono::steady_clock::time_point nextByte;
    };

    void connect(client& which);
    void send(client& which);

    oriole::endpoint m_target;
    client_script m_script;
    std::vector<client> m_clients;
};

} // namespace hostile
