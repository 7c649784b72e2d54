#include <oriole/helpers/worker_pool.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace oriole {

namespace {

struct work_item {
    std::function<void()> work;
    std::function<void()> completion;
};

} // namespace

struct worker_pool::state {
    explicit state(const kj::Executor& loop)
        : executor(loop.addRef())
    {
    }

    void run()
    {
        while (true) {
            work_item item;
            {
                std::unique_lock lock(mutex);
                wakeUp.wait(lock, [this] { return stopping || !queue.empty(); });
                if (stopping)
                    return;
                item = std::move(queue.front());
                queue.pop_front();
            }
            item.work();
            item.work = nullptr;
            complete(std::move(item.completion));
        }
    }

    // The event loop may be gone by the time the work is done; the completion is then dropped. What the completion
    // holds must die on the loop's thread, so it is moved out of the closure there.
    void complete(std::function<void()> completion)
    {
        kj::runCatchingExceptions([&] {
            executor->executeSync([this, &completion] {
                {
                    const std::lock_guard lock(mutex);
                    --pending;
                }
                const auto owned = std::move(completion);
                owned();
            });
        });
    }

    kj::Own<const kj::Executor> executor;
    std::mutex mutex;
    std::condition_variable wakeUp;
    std::deque<work_item> queue;
    std::size_t queueLimit = 0;
    std::size_t pending = 0;
    bool stopping = false;
    std::vector<std::thread> threads;
};

worker_pool::worker_pool(std::size_t threads, std::size_t queueLimit)
    : m_state(std::make_shared<state>(kj::getCurrentThreadExecutor()))
{
    m_state->queueLimit = queueLimit;
    for (std::size_t i = 0; i < threads; ++i)
        m_state->threads.emplace_back([shared = m_state] { shared->run(); });
}

worker_pool::~worker_pool()
{
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->stopping = true;
    }
    m_state->wakeUp.notify_all();
    for (auto& thread : m_state->threads)
        thread.detach();
}

bool worker_pool::submit(std::function<void()> work, std::function<void()> completion)
{
    {
        const std::lock_guard lock(m_state->mutex);
        if (m_state->queue.size() >= m_state->queueLimit)
            return false;
        m_state->queue.push_back({ std::move(work), std::move(completion) });
        ++m_state->pending;
    }
    m_state->wakeUp.notify_one();
    return true;
}

std::size_t worker_pool::pending() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->pending;
}

} // namespace oriole
