/// @file
/// @brief HTTP client on the event loop with persistent connections and a deadline for each exchange. It never retries.
#pragma once

#include <oriole/api/result.hpp>
#include <oriole/helpers/event_loop.hpp>

#include <kj/compat/http.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fleet {

using oriole::failure;
using oriole::failure_kind;
using oriole::mayHaveRun;
using oriole::milliseconds;
using oriole::notRun;
using oriole::result;

struct http_request {
    kj::HttpMethod method = kj::HttpMethod::GET;
    std::string target; ///< Path and query.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    milliseconds deadline { 1000 };
    std::string host {}; ///< Host header; the server's address if empty.
};

struct http_response {
    unsigned status = 0;
    std::string body;
};

/// @brief HTTP client of one server. A failure states whether the request may have run; NotFound means that the server
/// refused the connection.
///
/// When an exchange exceeds its deadline, its connection is closed and the idle connections are discarded, since the
/// server may not answer on those either.
class http_client {
public:
    using handler = std::function<void(result<http_response>)>;

    /// @param address IP:PORT of the server.
    http_client(oriole::event_loop& loop, std::string address);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Sends @p request once. @p done is called exactly once, after this function has returned.
    void exchange(http_request request, handler done);

    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    struct pool;

    kj::Promise<http_response> send(const std::shared_ptr<pool>& connections, const http_request& request);

    oriole::event_loop& m_loop;
    std::string m_address;
    std::shared_ptr<pool> m_pool;
};

} // namespace fleet
