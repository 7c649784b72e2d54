/// @file
/// @brief The HTTP API of an entry as the command-line tool sees it.
#pragma once

#include <oriole/http/http_client.hpp>

#include <string>

namespace oriole::ctl {

/// @brief Sends one request to an entry; blocks.
class entry_api {
public:
    virtual ~entry_api() = default;
    virtual result<http_reply> call(const http_request& request) = 0;
};

/// @brief Talks to the entry at one address.
class http_entry_api final : public entry_api {
public:
    http_entry_api(endpoint entry, std::chrono::milliseconds timeout);
    result<http_reply> call(const http_request& request) override;

private:
    endpoint m_entry;
    std::chrono::milliseconds m_timeout;
};

/// @brief Encodes a path segment or query value with %xx.
std::string encodeUrl(const std::string& text);

} // namespace oriole::ctl
