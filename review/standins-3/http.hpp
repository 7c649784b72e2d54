/// @file
/// @brief A small HTTP/1.1 server and client over blocking sockets, for the stand-ins of the review.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

struct http_request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_answer {
    int status = 200;
    std::string body = "{}";
    bool silent = false; ///< Nothing is sent, and nothing more on this connection.
};

/// @brief Serves each connection in a thread of its own.
class http_server {
public:
    using handler = std::function<http_answer(const http_request&)>;

    http_server(const std::string& ip, int port, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    struct shared_state;

    void acceptAll();

    std::shared_ptr<shared_state> m_state;
    int m_listener = -1;
    std::thread m_thread;
};

/// @brief Sends one request on a connection of its own.
/// @return Status 0 if no complete answer came within the time.
http_answer exchange(const std::string& ip, int port, const http_request& request, int timeoutMs);

} // namespace review
