/// @file
/// @brief Faults that the stand-in for the platform's store shows on demand.
#pragma once

#include <oriole/api/result.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace oriole::standin {

enum class fault_kind {
    Up,
    Down, ///< Every call gets 503 and nothing is done.
    Slow, ///< Every call is delayed before it is done.
    LoseReplies, ///< The call is done and gets 500 without a body.
    Partial, ///< Some calls are as in Down, some as in LoseReplies.
};

std::optional<fault_kind> parseFaultKind(std::string_view text);

struct fault_mode {
    fault_kind kind = fault_kind::Up;
    std::chrono::milliseconds delay { 0 }; ///< Before each call, in any mode but Up and Down.
    double probability = 1; ///< Share of calls that the fault strikes.
    bool writesOnly = false;
    std::uint64_t seed = 0;
};

/// @brief Parses the body of `POST /standin/mode`.
result<fault_mode> parseFaultMode(const std::string& body);

/// @brief What the fault does to one call.
struct fault_decision {
    std::chrono::milliseconds delay { 0 };
    bool refuse = false;
    bool loseReply = false;
};

/// @brief Decides call by call, from the seed of the mode only.
class fault_source {
public:
    void set(const fault_mode& mode);
    fault_decision next(bool write);

private:
    fault_mode m_mode;
    std::mt19937_64 m_random;
};

} // namespace oriole::standin
