/// @file
/// @brief A bounded pool of threads for blocking calls, with results handed back to the event loop.
#pragma once

#include <oriole/helpers/event_loop.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace oriole {

/// @brief Runs blocking work on its own threads. Belongs to the thread of the kj event loop.
class worker_pool {
public:
    /// @param loop Where completions run; outlives the pool.
    /// @param threads Number of threads, so also the number of calls that block at once.
    /// @param queueLimit Work items that may wait; more are refused.
    worker_pool(event_loop& loop, std::size_t threads, std::size_t queueLimit);

    /// @brief Does not wait: queued work is dropped, and running work ends without its completion being called.
    ~worker_pool() noexcept;
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// @brief Runs @p work on a thread of the pool, then @p completion on the event loop's thread.
    /// @return False, with neither called, when the queue is full.
    bool submit(std::function<void()> work, std::function<void()> completion);

    /// @brief Items that wait or run.
    [[nodiscard]] std::size_t pending() const;

private:
    struct state;

    kj::Promise<void> runCompletions();

    std::shared_ptr<state> m_state;
    kj::Own<kj::AsyncInputStream> m_wakeUps;
    std::uint64_t m_wakeUpCount = 0;
    kj::Promise<void> m_running;
};

} // namespace oriole
