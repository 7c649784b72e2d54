/// @file
/// @brief The time of day. It may jump and differs between machines: only for ages of jobs and due times.
#pragma once

#include <chrono>
#include <cstdint>

namespace fleet {

inline std::int64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace fleet
