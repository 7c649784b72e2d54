/// @file
/// @brief An HTTP server with the limits that every listener of the product needs.
#pragma once

#include <oriole/http/http_client.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriole {

/// @brief A request as received. Header names are in lower case.
struct http_call {
    std::string method;
    std::string path; ///< Without the query.
    std::string query; ///< As sent, without the question mark.
    std::map<std::string, std::string> headers;
    std::string body;

    /// @return No value when the request has no such header.
    [[nodiscard]] std::optional<std::string> header(const std::string& lowerCaseName) const;
};

struct http_server_limits {
    std::size_t largestBodyBytes = 8 << 20;
    unsigned threads = 256; ///< Requests handled at once; each holds one thread.
    unsigned longRequests = 224; ///< Of these, requests to other paths than @c reservedPaths; more are refused with 503.
    std::set<std::string> reservedPaths { "/healthz", "/readyz", "/metrics" }; ///< Must answer at once.
};

/// @brief Serves HTTP on threads of its own.
///
/// Refuses Transfer-Encoding (501), a bad Content-Length (400), a POST or PUT without one (411) and too long a
/// body (413) before the body is read, closes the connection then, and never hands such a request on.
class http_server {
public:
    /// @brief Handles one request; runs on a thread of the server and may block. One that throws may have run.
    using handler = std::function<http_reply(const http_call&)>;

    /// @brief Starts to listen. Throws std::exception when the address cannot be bound.
    http_server(const endpoint& listen, const http_server_limits& limits, handler handle);

    /// @brief Stops as @c stop does, if not yet done.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @brief Refuses what is new with 503 `not-run` and closes its connection; running requests go on.
    void refuseNew();

    /// @brief Requests being handled.
    [[nodiscard]] unsigned running() const;

    /// @brief Waits for running requests and ends the server.
    void stop();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief Makes a reply with a JSON refusal: verdict, reason and, if not zero, retry_after_ms.
http_reply refusal(const failure& error, unsigned retryAfterMs = 0);

/// @brief Splits a path at its slashes and decodes each segment; the leading slash makes none.
std::vector<std::string> splitPath(const std::string& path);

/// @brief Decodes %xx and + in a path segment or query value.
std::string decodeUrl(const std::string& text);

/// @brief Returns the decoded value of a query parameter, if it is there.
std::optional<std::string> queryParameter(const std::string& query, const std::string& name);

} // namespace oriole
