/// @file
/// @brief HTTP server on the event loop. Responses are JSON unless the handler sets another content type.
#pragma once

#include <fleet/http/client_gate.hpp>

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
    std::map<std::string, std::string> headers; ///< The headers listed in `keptHeaders`, under the names given there.
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
    std::shared_ptr<client_gate> clients {}; ///< Shared by the listeners of a process; a spacious one of its own if null.
};

/// @brief HTTP server on one address. The handler responds to each request exactly once, synchronously or later.
class http_listener {
public:
    using responder = std::function<void(outgoing_response)>;
    using handler = std::function<void(incoming_request, responder)>;

    http_listener(oriole::event_loop& loop, listener_settings settings, handler handle);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// @brief Completes the requests in progress and closes each persistent connection after its next response.
    void closeAfterResponses();

    /// @brief Number of requests in progress.
    [[nodiscard]] std::size_t activeRequests() const;

private:
    struct service;
    std::unique_ptr<service> m_service;
};

} // namespace fleet
