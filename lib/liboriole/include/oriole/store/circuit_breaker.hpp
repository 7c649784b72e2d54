/// @file
/// @brief A circuit breaker that tells a store that is down from one that is slow.
#pragma once

#include <oriole/helpers/timer_service.hpp>
#include <oriole/store/store_client.hpp>

#include <cstdint>
#include <random>

namespace oriole {

struct circuit_breaker_options {
    unsigned failuresUntilDown = 3; ///< Failures in a row.
    unsigned slowRepliesUntilSlow = 3; ///< Slow replies in a row; as many fast ones end the state.
    milliseconds slowLimit { 300 }; ///< A reply that takes longer is slow.
    milliseconds firstBackOff { 200 }; ///< Until the first probe; doubles with each failed probe.
    milliseconds longestBackOff { 3000 };
};

/// @brief Decides which calls are made at all. Reads no clock: each call is told the time.
///
/// While down it lets through one probe at a time, after a back-off with jitter. Every call that @c allow let through
/// ends in exactly one of @c succeeded, @c failed or @c dropped.
class circuit_breaker {
public:
    circuit_breaker(const circuit_breaker_options& options, std::uint64_t seed);

    /// @return True when a call may be made now.
    bool allow(time_point now);

    /// @brief The store answered.
    void succeeded(milliseconds latency);

    /// @brief The store refused or did not answer.
    void failed(time_point now);

    /// @brief The call was not made after all.
    void dropped();

    [[nodiscard]] store_health health() const;

private:
    void open(time_point now);
    void countLatency(milliseconds latency);

    circuit_breaker_options m_options;
    std::mt19937_64 m_random;
    unsigned m_failuresInRow = 0;
    unsigned m_slowInRow = 0;
    unsigned m_fastInRow = 0;
    bool m_down = false;
    bool m_slow = false;
    bool m_probing = false;
    milliseconds m_backOff { 0 };
    time_point m_probeDue {};
};

} // namespace oriole
