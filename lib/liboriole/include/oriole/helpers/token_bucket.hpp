/// @file
/// @brief A token bucket that limits a rate and allows short bursts.
#pragma once

#include <oriole/helpers/timer_service.hpp>

namespace oriole {

/// @brief Reads no clock: each call is told the time.
class token_bucket {
public:
    /// @param tokensPerSecond Rate at which tokens come back.
    /// @param burst Most tokens held; the bucket starts full.
    token_bucket(double tokensPerSecond, double burst, time_point start);

    /// @brief Takes one token.
    /// @return False, with nothing taken, when none is left.
    bool take(time_point now);

private:
    double m_tokensPerSecond;
    double m_burst;
    double m_tokens;
    time_point m_refilled;
};

} // namespace oriole
