/// @file
/// @brief Peers that send HTTP messages as bytes of the test's choice, valid or not.
#pragma once

#include <oriole/http/http_client.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace oriole::harness {

/// @brief Answers each connection once: reads a request, writes what @c respond gives and closes, or keeps open.
class raw_server {
public:
    struct answer {
        std::string bytes;
        bool keepOpen = false; ///< Leaves the connection open without a further byte.
    };

    /// @param respond Gets the whole request, head and body; runs on threads of the server.
    raw_server(const endpoint& listen, std::function<answer(const std::string&)> respond);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

private:
    void run();

    std::function<answer(const std::string&)> m_respond;
    int m_listener = -1;
    std::atomic<bool> m_stopping { false };
    std::vector<int> m_open;
    std::thread m_thread;
};

/// @brief One connection on which a test writes requests and reads replies, several at once if it likes.
class raw_caller {
public:
    explicit raw_caller(const endpoint& peer);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    [[nodiscard]] bool connected() const { return m_connected; }
    void send(const std::string& bytes) const;

    /// @brief Waits for the next whole reply.
    /// @return What there was of it when the connection ended first, mostly nothing.
    std::string receive();

private:
    int m_socket = -1;
    bool m_connected = false;
    std::string m_unread;
};

} // namespace oriole::harness
