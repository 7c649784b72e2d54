/// @file
/// @brief The timer service: every part that needs time subscribes here.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace oriole {

using time_point = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// @brief Calls subscribers when their time has come. The owner advances it; by itself it reads no clock.
///
/// Not thread-safe; it belongs to the thread of the event loop.
class timer_service {
public:
    using callback = std::function<void(time_point now)>;
    using subscription_id = std::uint64_t;

    explicit timer_service(time_point start);

    /// @brief Lets it read a clock, and tell its owner of each subscription that is due before all others.
    void drive(std::function<time_point()> clock, std::function<void(time_point due)> wake);

    /// @brief Calls @p handler every @p period, the first time one period from now.
    subscription_id subscribeEvery(milliseconds period, callback handler);

    /// @brief Calls @p handler once, after @p delay.
    subscription_id subscribeOnce(milliseconds delay, callback handler);

    /// @brief Ends a subscription; an unknown id is ignored. May be called from a handler.
    void cancel(subscription_id id);

    /// @brief Moves time forward and calls what is due. A periodic handler that was missed is called once.
    void advance(time_point now);

    /// @brief The time that it was last advanced to, or the owner's clock where that is later.
    [[nodiscard]] time_point now() const { return m_clock ? std::max(m_now, m_clock()) : m_now; }

    /// @brief When the next subscription is due; no value when there is none.
    [[nodiscard]] std::optional<time_point> nextDue() const;

private:
    struct subscription {
        time_point due;
        milliseconds period;
        callback handler;
    };

    subscription_id add(milliseconds delay, milliseconds period, callback handler);

    void enqueue(time_point due, subscription_id id);

    time_point m_now;
    std::function<time_point()> m_clock;
    std::function<void(time_point)> m_wake;
    subscription_id m_nextId = 1;
    std::map<subscription_id, subscription> m_subscriptions;
    std::multimap<time_point, subscription_id> m_queue;
};

} // namespace oriole
