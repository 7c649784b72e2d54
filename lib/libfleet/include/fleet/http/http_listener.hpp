/// @file
/// @brief HTTP server on the event loop. Every answer carries JSON.
#pragma once

#include <oriole/helpers/event_loop.hpp>

#include <kj/compat/http.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fleet {

struct incoming_request {
    kj::HttpMethod method = kj::HttpMethod::GET;
    std::string target; ///< Path and query.
    std::string host;
    std::map<std::string, std::string> headers; ///< Only those that the listener was told to keep, by their given names.
    std::string body;
};

struct outgoing_response {
    unsigned status = 200;
    std::string body = "{}";
    std::optional<unsigned> retryAfterSeconds;
    std::string contentType = "application/json";
};

struct listener_settings {
    std::string address; ///< IP:PORT.
    std::vector<std::string> keptHeaders;
    std::uint64_t maxBodyBytes = 1U << 20U;
};

/// @brief One listening address. The handler answers each request once, at once or later.
class http_listener {
public:
    using responder = std::function<void(outgoing_response)>;
    using handler = std::function<void(incoming_request, responder)>;

    http_listener(oriole::event_loop& loop, listener_settings settings, handler handle);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// @brief Lets running requests finish and closes kept-alive connections after their answers.
    void closeAfterAnswers();

    /// @brief Requests that are being answered now.
    [[nodiscard]] std::size_t running() const;

private:
    struct service;
    std::unique_ptr<service> m_service;
};

} // namespace fleet
