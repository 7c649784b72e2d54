/// @file
/// @brief Interface to the agent's backend server, and its HTTP implementation.
#pragma once

#include <oriole/helpers/worker_pool.hpp>
#include <oriole/http/http_client.hpp>

#include <functional>

namespace oriole {

class backend_client {
public:
    using handler = std::function<void(result<http_reply>)>;

    virtual ~backend_client() = default;

    /// @brief Sends a request without retries. The handler is not called before this function returns.
    virtual void send(const http_request& request, std::chrono::milliseconds timeout, handler done) = 0;

    /// @brief Sends a health check to the backend server.
    virtual void probe(std::chrono::milliseconds timeout, handler done) = 0;
};

/// @brief Uses one thread per slot and one for health checks.
class http_backend_client final : public backend_client {
public:
    http_backend_client(event_loop& loop, endpoint backend, unsigned slots);

    void send(const http_request& request, std::chrono::milliseconds timeout, handler done) override;
    void probe(std::chrono::milliseconds timeout, handler done) override;

private:
    endpoint m_backend;
    worker_pool m_requests;
    worker_pool m_probes;
};

} // namespace oriole
