/// @file
/// @brief Contents of a worker's heartbeat.
#pragma once

#include <fleet/model/worker.hpp>

#include <cstdint>
#include <string>

namespace fleet {

struct worker_heartbeat {
    worker_description worker;
    std::string address; ///< IP:PORT of the worker's runtime API.
    std::uint64_t sequence = 0; ///< Increases within one incarnation of the worker; identifies late heartbeats.

    auto operator<=>(const worker_heartbeat&) const = default;
};

/// @brief Whether both heartbeats name the same incarnation at the same address.
[[nodiscard]] inline bool isSameIncarnation(const worker_heartbeat& left, const worker_heartbeat& right)
{
    return left.worker.incarnation == right.worker.incarnation && left.address == right.address;
}

/// @brief Whether both heartbeats agree in all that stays the same for as long as an incarnation lives.
[[nodiscard]] inline bool isSameRegistration(const worker_heartbeat& left, const worker_heartbeat& right)
{
    const auto& a = left.worker;
    const auto& b = right.worker;
    return isSameIncarnation(left, right) && a.service == b.service && a.failureDomain == b.failureDomain && a.labels == b.labels;
}

} // namespace fleet
