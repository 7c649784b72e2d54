#include <oriole/helpers/event_loop.hpp>
#include <oriole/helpers/log.hpp>

#include <kj/async-unix.h>

#include <csignal>
#include <utility>

namespace oriole {

namespace {

constexpr auto timerResolution = 5 * kj::MILLISECONDS;

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
    return m_io.provider->getTimer().afterDelay(timerResolution).then([this] {
        m_timers.advance(std::chrono::steady_clock::now());
        return pumpTimers();
    });
}

} // namespace oriole
