/// @file
/// @brief A blocking HTTP exchange that never sends a request twice and takes no truncated reply for whole.
#pragma once

#include <oriole/api/result.hpp>

#include <chrono>
#include <map>
#include <string>

namespace oriole {

/// @brief Address of a TCP peer.
struct endpoint {
    std::string ip;
    unsigned short port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// @brief Parses `ip:port`, with or without a leading `http://`.
result<endpoint> parseEndpoint(const std::string& text);

std::string toString(const endpoint& address);

struct http_request {
    std::string method = "GET";
    std::string path = "/"; ///< With the query, if any.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_reply {
    unsigned status = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// @brief What makes a reply whole.
enum class body_check {
    ProvenLength, ///< A Content-Length equal to the size of the body.
    UnprovenLength, ///< Chunks are taken too; for callers whose format shows by itself when it is cut short.
};

/// @brief Sends one request on a connection of its own and reads the whole reply.
///
/// Blocks the calling thread; call it from a worker pool.
/// @param check What makes the reply whole; anything else is Broken, `may-have-run`.
/// @return The reply; a failure with verdict `not-run` only when no connection was made.
result<http_reply> exchange(const endpoint& peer, const http_request& request, std::chrono::milliseconds timeout,
    body_check check = body_check::ProvenLength);

} // namespace oriole
