/// @file
/// @brief A peer that answers HTTP requests with bytes of the test's choice, valid or not.
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

} // namespace oriole::harness
