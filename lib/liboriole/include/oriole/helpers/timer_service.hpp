/// @file
/// @brief The timer service: every part that needs time subscribes here.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

namespace oriole {

using time_point = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// @brief Calls subscribers when their time has come. It reads no clock: the owner advances it.
///
/// Not thread-safe; it belongs to the thread of the event loop.
class timer_service {
public:
    using callback = std::function<void(time_point now)>;
    using subscription_id = std::uint64_t;

    explicit timer_service(time_point start);

    /// @brief Calls @p handler every @p period, the first time one period from now.
    subscription_id subscribeEvery(milliseconds period, callback handler);

    /// @brief Calls @p handler once, after @p delay.
    subscription_id subscribeOnce(milliseconds delay, callback handler);

    /// @brief Ends a subscription; an unknown id is ignored. May be called from a handler.
    void cancel(subscription_id id);

    /// @brief Moves time forward and calls what is due. A periodic handler that was missed is called once.
    void advance(time_point now);

    [[nodiscard]] time_point now() const { return m_now; }

private:
    struct subscription {
        time_point due;
        milliseconds period;
        callback handler;
    };

    subscription_id add(milliseconds delay, milliseconds period, callback handler);

    time_point m_now;
    subscription_id m_nextId = 1;
    std::map<subscription_id, subscription> m_subscriptions;
    std::multimap<time_point, subscription_id> m_queue;
};

} // namespace oriole
