#include <oriole/helpers/event_loop.hpp>
#include <oriole/helpers/log.hpp>

#include <kj/async-unix.h>

#include <csignal>
#include <utility>

namespace oriole {

namespace {

// Timers that are due within this time of each other share a wake-up.
constexpr milliseconds timerResolution { 2 };
// Callbacks that run in a row before the loop looks for input and due timers. By default it does so only when nothing is
// left to run, so that clients with many pipelined requests kept all others waiting for 4 s.
constexpr unsigned callbacksBetweenPolls = 64;
// Without a timer the loop only wakes for messages, and now and then.
constexpr milliseconds longestSleep { 60'000 };

kj::AsyncIoContext setUp()
{
    // Signals have to be captured before the event port exists.
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    kj::UnixEventPort::captureSignal(SIGHUP);
    return kj::setupAsyncIo();
}

} // namespace

event_loop::event_loop()
    : m_io(setUp())
    , m_executor(kj::getCurrentThreadExecutor())
    , m_timers(std::chrono::steady_clock::now())
    , m_stopped(kj::newPromiseAndFulfiller<void>())
    , m_tasks(*this)
{
    m_io.waitScope.setBusyPollInterval(callbacksBetweenPolls);
    m_timers.drive([] { return std::chrono::steady_clock::now(); },
        [this](time_point due) {
            if (due < m_sleepsUntil && m_wakePump)
                m_wakePump->fulfill();
        });
    m_tasks.add(pumpTimers());
}

event_loop::~event_loop() noexcept(false) = default;

void event_loop::onStopSignal(std::function<void()> handler)
{
    auto terminate = m_io.unixEventPort.onSignal(SIGTERM).ignoreResult();
    auto interrupt = m_io.unixEventPort.onSignal(SIGINT).ignoreResult();
    auto either = terminate.exclusiveJoin(kj::mv(interrupt));
    detach("stop signal", either.then([handler = std::move(handler)] { handler(); }));
}

void event_loop::onReloadSignal(std::function<void()> handler)
{
    detach("reload signal", awaitReload(std::move(handler)));
}

kj::Promise<void> event_loop::awaitReload(std::function<void()> handler)
{
    return m_io.unixEventPort.onSignal(SIGHUP).then([this, handler = std::move(handler)](siginfo_t&&) {
        handler();
        return awaitReload(handler);
    });
}

void event_loop::detach(const char* name, kj::Promise<void> task)
{
    m_tasks.add(task.catch_([name](kj::Exception&& exception) {
        logEvent(log_level::Warning, "task_failed", { { "task", name }, { "error", exception.getDescription().cStr() } });
    }));
}

kj::Promise<void> event_loop::after(milliseconds delay)
{
    return m_io.provider->getTimer().afterDelay(delay.count() * kj::MILLISECONDS);
}

void event_loop::syncTime()
{
    m_timers.advance(std::chrono::steady_clock::now());
}

void event_loop::run()
{
    m_stopped.promise.wait(m_io.waitScope);
}

void event_loop::stop()
{
    m_stopped.fulfiller->fulfill();
}

void event_loop::taskFailed(kj::Exception&& exception)
{
    logEvent(log_level::Error, "task_failed", { { "error", exception.getDescription().cStr() } });
}

kj::Promise<void> event_loop::pumpTimers()
{
    return sleepUntilDue().then([this] {
        m_timers.advance(std::chrono::steady_clock::now());
        return pumpTimers();
    });
}

kj::Promise<void> event_loop::sleepUntilDue()
{
    const auto now = std::chrono::steady_clock::now();
    const auto due = m_timers.nextDue().value_or(now + longestSleep);
    m_sleepsUntil = std::max(due, now + timerResolution);
    auto wake = kj::newPromiseAndFulfiller<void>();
    m_wakePump = kj::mv(wake.fulfiller);
    const auto sleep = std::chrono::duration_cast<std::chrono::nanoseconds>(m_sleepsUntil - now);
    return m_io.provider->getTimer().afterDelay(sleep.count() * kj::NANOSECONDS).exclusiveJoin(kj::mv(wake.promise));
}

} // namespace oriole
