#include <oriole/helpers/log.hpp>
#include <oriole/helpers/worker_pool.hpp>

#include <kj/io.h>

#include <sys/eventfd.h>

#include <cerrno>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <system_error>
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

// Threads hand completions over in a queue and wake the loop by a descriptor. An event queued on the loop by another
// thread would be an error when the loop ends before it runs.
struct worker_pool::state {
    state(int wakeUpDescriptor, std::size_t limit)
        : wakeUpLoop(wakeUpDescriptor)
        , queueLimit(limit)
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

    void complete(std::function<void()> completion)
    {
        const std::lock_guard lock(mutex);
        if (stopping)
            return;
        done.push_back(std::move(completion));
        eventfd_write(wakeUpLoop, 1);
    }

    std::deque<std::function<void()>> takeDone()
    {
        const std::lock_guard lock(mutex);
        pending -= done.size();
        return std::exchange(done, {});
    }

    /// @brief Nothing starts or completes any more. What was queued dies on the caller's thread.
    void stop()
    {
        std::deque<work_item> dropped;
        const auto droppedDone = takeDone();
        const std::lock_guard lock(mutex);
        stopping = true;
        dropped.swap(queue);
    }

    int wakeUpLoop;
    std::mutex mutex;
    std::condition_variable wakeUp;
    std::deque<work_item> queue;
    std::deque<std::function<void()>> done;
    std::size_t queueLimit;
    std::size_t pending = 0;
    bool stopping = false;
    std::vector<std::thread> threads;
};

worker_pool::worker_pool(event_loop& loop, std::size_t threads, std::size_t queueLimit)
    : m_running(nullptr)
{
    const int descriptor = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
    m_wakeUps = loop.io().lowLevelProvider->wrapInputFd(kj::AutoCloseFd(descriptor));
    m_state = std::make_shared<state>(descriptor, queueLimit);
    m_running = runCompletions().eagerlyEvaluate(nullptr);
    for (std::size_t i = 0; i < threads; ++i)
        m_state->threads.emplace_back([shared = m_state] { shared->run(); });
}

worker_pool::~worker_pool() noexcept
{
    m_state->stop();
    m_state->wakeUp.notify_all();
    for (auto& thread : m_state->threads)
        thread.detach();
}

kj::Promise<void> worker_pool::runCompletions()
{
    return m_wakeUps->read(&m_wakeUpCount, sizeof(m_wakeUpCount)).then([this, shared = m_state] {
        for (auto& completion : shared->takeDone()) {
            const auto owned = std::move(completion);
            const auto broken = kj::runCatchingExceptions([&owned] { owned(); });
            KJ_IF_MAYBE (exception, broken)
                logEvent(log_level::Error, "completion_broke", { { "error", exception->getDescription().cStr() } });
        }
        return runCompletions();
    });
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
