/// @file
/// @brief An entry's view of the backlog that the scheduler publishes.
#pragma once

#include <fleet/core/load_admission.hpp>
#include <fleet/store/store_mirror.hpp>

#include <oriole/helpers/timer_service.hpp>

#include <cstdint>
#include <functional>

namespace fleet {

/// @brief Watches the record. Its age is counted by the own clock from the arrival of the change, as wall clocks differ.
class backlog_watch {
public:
    /// @param clock Monotonic; also advances while the machine is suspended.
    /// @param schedulerEpoch Latest epoch that this entry knows from the scheduler's own record; 0 for none.
    backlog_watch(record_store& store, oriole::timer_service& timers, std::function<oriole::time_point()> clock,
        std::function<std::uint64_t()> schedulerEpoch);

    void start();

    [[nodiscard]] known_backlog present() const;

private:
    void apply(const record_change& change);

    store_mirror m_mirror;
    std::function<oriole::time_point()> m_clock;
    std::function<std::uint64_t()> m_schedulerEpoch;
    known_backlog m_known;
    oriole::time_point m_arrivedAt;
    std::uint64_t m_highestEpoch = 0;
};

} // namespace fleet
