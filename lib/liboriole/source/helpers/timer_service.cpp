#include <oriole/helpers/timer_service.hpp>

#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace oriole {

timer_service::timer_service(time_point start)
    : m_now(start)
{
}

timer_service::subscription_id timer_service::subscribeEvery(milliseconds period, callback handler)
{
    return add(period, period, std::move(handler));
}

timer_service::subscription_id timer_service::subscribeOnce(milliseconds delay, callback handler)
{
    return add(delay, milliseconds::zero(), std::move(handler));
}

void timer_service::drive(std::function<time_point()> clock, std::function<void(time_point)> wake)
{
    m_clock = std::move(clock);
    m_wake = std::move(wake);
}

std::optional<time_point> timer_service::nextDue() const
{
    if (m_queue.empty())
        return std::nullopt;
    return m_queue.begin()->first;
}

void timer_service::enqueue(time_point due, subscription_id id)
{
    const auto place = m_queue.emplace(due, id);
    if (m_wake && place == m_queue.begin())
        m_wake(due);
}

void timer_service::cancel(subscription_id id)
{
    const auto found = m_subscriptions.find(id);
    if (found == m_subscriptions.end())
        return;
    const auto [first, last] = m_queue.equal_range(found->second.due);
    const auto place = std::find_if(first, last, [id](const auto& entry) { return entry.second == id; });
    if (place != last)
        m_queue.erase(place);
    m_subscriptions.erase(found);
}

void timer_service::advance(time_point now)
{
    m_now = now;
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
        const auto id = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());

        const auto found = m_subscriptions.find(id);
        if (found == m_subscriptions.end())
            continue;

        const auto handler = found->second.handler;
        if (found->second.period == milliseconds::zero()) {
            m_subscriptions.erase(found);
        } else {
            found->second.due = now + found->second.period;
            enqueue(found->second.due, id);
        }
        // The other timers of the process must not end with this one.
        try {
            handler(now);
        } catch (const std::exception& error) {
            logEvent(log_level::Error, "timer_handler_failed", { { "error", error.what() } });
        }
    }
}

timer_service::subscription_id timer_service::add(milliseconds delay, milliseconds period, callback handler)
{
    const auto id = m_nextId++;
    const auto due = now() + delay;
    m_subscriptions.emplace(id, subscription { due, period, std::move(handler) });
    enqueue(due, id);
    return id;
}

} // namespace oriole
