/// @file
/// @brief Admission control for short requests: slots, connections and a bounded queue with deadlines.
#pragma once

#include <oriole/helpers/timer_service.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace oriole {

/// @brief Decides which requests run, wait or are refused. Performs no I/O and reads no clock.
class admission {
public:
    using ticket = std::uint64_t;

    enum class decision {
        Run,
        Wait,
        Refuse, ///< All connections are taken.
    };

    /// @param slots Maximum number of running requests.
    /// @param connections Maximum number of running and waiting requests together.
    admission(unsigned slots, unsigned connections);

    decision offer(ticket request, time_point deadline);

    /// @brief Frees the slot of a finished request.
    void releaseSlot();

    /// @brief Removes the next request from the queue and gives it a slot, if one is free.
    std::optional<ticket> startNext(time_point now);

    /// @brief Removes the waiting requests whose deadline has passed and returns them.
    std::vector<ticket> removeExpired(time_point now);

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
