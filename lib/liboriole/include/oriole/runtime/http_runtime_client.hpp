/// @file
/// @brief The runtime client over the HTTP protocol of docs/RUNTIME.md.
#pragma once

#include <oriole/helpers/event_loop.hpp>
#include <oriole/helpers/worker_pool.hpp>
#include <oriole/runtime/runtime_client.hpp>

namespace oriole {

/// @brief Runs each call on a thread of its own pool.
class http_runtime_client final : public runtime_client {
public:
    http_runtime_client(event_loop& loop, runtime_address address);

    void start(const attempt& attempt, const allocation& share, std::chrono::milliseconds lease,
        handler<runtime_task> done) override;
    void renew(const std::vector<std::string>& ids, std::chrono::milliseconds lease,
        handler<std::vector<runtime_task>> done) override;
    void checkpoint(const std::string& id, std::chrono::milliseconds timeout, handler<runtime_task> done) override;
    void throttle(const std::string& id, unsigned percent, handler<runtime_task> done) override;
    void stop(const std::string& id, handler<runtime_task> done) override;
    void forget(const std::string& id, handler<runtime_task> done) override;
    void list(handler<std::vector<labelled_task>> done) override;

private:
    void callTask(http_request request, std::chrono::milliseconds timeout, handler<runtime_task> done);
    [[nodiscard]] std::string taskPath(const std::string& id) const;

    event_loop& m_loop;
    runtime_address m_address;
    worker_pool m_pool;
};

} // namespace oriole
