/// @file
/// @brief Admission of short requests: slots, connections and a bounded queue with the callers' deadlines.
#pragma once

#include <oriole/helpers/timer_service.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace oriole {

/// @brief Decides which requests run, wait or are refused. Pure: no I/O, no clock.
class admission {
public:
    using ticket = std::uint64_t;

    enum class decision {
        Run,
        Wait,
        Refuse, ///< All connections are taken.
    };

    /// @param slots Requests that run at once.
    /// @param connections Requests that run and wait at once.
    admission(unsigned slots, unsigned connections);

    decision offer(ticket request, time_point deadline);

    /// @brief Frees the slot of a request that ran.
    void finish();

    /// @brief Takes the next request to run, once a slot is free.
    std::optional<ticket> next(time_point now);

    /// @brief Takes out the waiting requests whose deadline has passed.
    std::vector<ticket> expire(time_point now);

    [[nodiscard]] unsigned running() const { return m_running; }
    [[nodiscard]] unsigned waiting() const { return static_cast<unsigned>(m_waiting.size()); }

private:
    struct waiting_request {
        ticket request = 0;
        time_point deadline;
    };

    unsigned m_slots;
    unsigned m_connections;
    unsigned m_running = 0;
    std::deque<waiting_request> m_waiting;
};

} // namespace oriole
