/// @file
/// @brief A typed event that parts subscribe to, in place of calls across modules.
#pragma once

#include <functional>
#include <utility>
#include <vector>

namespace oriole {

/// @brief Calls its subscribers in the order of their subscription. For the thread of the event loop only.
template <typename... Arguments>
class event_source {
public:
    using handler = std::function<void(const Arguments&...)>;

    void subscribe(handler subscriber) { m_subscribers.push_back(std::move(subscriber)); }

    void emit(const Arguments&... arguments) const
    {
        for (const auto& subscriber : m_subscribers)
            subscriber(arguments...);
    }

private:
    std::vector<handler> m_subscribers;
};

} // namespace oriole
