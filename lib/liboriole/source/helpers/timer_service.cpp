#include <oriole/helpers/timer_service.hpp>

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

void timer_service::cancel(subscription_id id)
{
    m_subscriptions.erase(id);
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
            m_queue.emplace(found->second.due, id);
        }
        handler(now);
    }
}

timer_service::subscription_id timer_service::add(milliseconds delay, milliseconds period, callback handler)
{
    const auto id = m_nextId++;
    const auto due = m_now + delay;
    m_subscriptions.emplace(id, subscription { due, period, std::move(handler) });
    m_queue.emplace(due, id);
    return id;
}

} // namespace oriole
