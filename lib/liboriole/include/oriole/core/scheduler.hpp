/// @file
/// @brief The decision core: tables of workers, jobs and attempts, and the systems that run over them each tick.
#pragma once

#include <oriole/core/commands.hpp>
#include <oriole/core/events.hpp>
#include <oriole/core/policy.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace oriole {

struct scheduler_tables;

/// @brief A guarantee that could currently not be met even by evicting all borrowed work.
struct uncovered_guarantee {
    std::string organisation;
    oriole::shape shape;
    unsigned missing = 0;

    auto operator<=>(const uncovered_guarantee&) const = default;
};

/// @brief Summary of the core's state, for `/v1/status` and for measurements.
struct scheduler_summary {
    unsigned workers = 0;
    unsigned acceleratorsTotal = 0;
    unsigned acceleratorsUsed = 0;
    unsigned jobsWaiting = 0;
    unsigned attemptsActive = 0;
    std::vector<uncovered_guarantee> uncovered;
    unsigned guaranteedShapesUnused = 0; ///< Guaranteed shapes that no running attempt uses.
    unsigned guaranteedShapesStartable = 0; ///< Number of these that could all be placed at the same time without eviction.
};

/// @brief Decides which job runs where. Performs no I/O, reads no clock, and takes random numbers only from a seeded generator.
///
/// Each entry passes in events for the whole fleet as known to the entry, and for the jobs of the organisations that it owns.
class scheduler {
public:
    scheduler(policy chosen, std::uint64_t seed);
    ~scheduler();
    scheduler(scheduler&&) noexcept;
    scheduler& operator=(scheduler&&) noexcept;

    /// @brief Applies one event to the tables.
    void apply(const event& what, time_point now);

    /// @brief Runs all systems of the policy once and returns their commands in order.
    std::vector<command> tick(time_point now);

    /// @brief Explains why the known workers could not hold the shape even if they were idle.
    /// @return No value if they could hold it, or if no worker is known yet.
    [[nodiscard]] std::optional<std::string> impossible(const shape& wanted) const;

    [[nodiscard]] scheduler_summary summary() const;

private:
    std::unique_ptr<scheduler_tables> m_tables;
    policy m_policy;
};

} // namespace oriole
