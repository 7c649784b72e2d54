/// @file
/// @brief The event loop that owns the state of a process.
#pragma once

#include <oriole/helpers/timer_service.hpp>

#include <kj/async-io.h>

#include <functional>

namespace oriole {

/// @brief One kj event loop with the timer service, stop signals and detached tasks.
///
/// Create it first thing in main, before any other thread: stop signals are captured for the whole process.
class event_loop final : private kj::TaskSet::ErrorHandler {
public:
    event_loop();
    ~event_loop() noexcept(false);
    KJ_DISALLOW_COPY(event_loop);

    [[nodiscard]] timer_service& timers() { return m_timers; }
    [[nodiscard]] kj::AsyncIoContext& io() { return m_io; }

    /// @brief Moves the timer service to the present. Call it first thing when a message arrives: after a pause of
    /// the whole process a message may be handled before the timers are.
    void syncTime();

    /// @brief Other threads reach the loop through this, e.g. `executeSync`.
    [[nodiscard]] const kj::Executor& executor() const { return m_executor; }

    /// @brief Calls @p handler once, on the first SIGTERM or SIGINT.
    void onStopSignal(std::function<void()> handler);

    /// @brief Calls @p handler on each SIGHUP.
    void onReloadSignal(std::function<void()> handler);

    /// @brief Keeps a task running to its end; an exception is logged with @p name.
    void detach(const char* name, kj::Promise<void> task);

    /// @brief A promise that resolves after @p delay.
    kj::Promise<void> after(milliseconds delay);

    /// @brief Runs until @c stop is called.
    void run();

    /// @brief Ends @c run. Call it on the loop's thread.
    void stop();

private:
    void taskFailed(kj::Exception&& exception) override;
    kj::Promise<void> awaitReload(std::function<void()> handler);
    kj::Promise<void> pumpTimers();
    kj::Promise<void> sleepUntilDue();

    kj::AsyncIoContext m_io;
    const kj::Executor& m_executor;
    timer_service m_timers;
    time_point m_sleepsUntil; ///< When the pump of the timers wakes by itself.
    kj::Own<kj::PromiseFulfiller<void>> m_wakePump;
    kj::PromiseFulfillerPair<void> m_stopped;
    kj::TaskSet m_tasks;
};

} // namespace oriole
