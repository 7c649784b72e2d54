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

/// @brief An organisation's guarantee that could not be honoured right now, by evicting borrowed work only.
struct uncovered_guarantee {
    std::string organisation;
    oriole::shape shape;
    unsigned missing = 0;

    auto operator<=>(const uncovered_guarantee&) const = default;
};

/// @brief What the core sees, for `/v1/status` and for measurements.
struct scheduler_summary {
    unsigned workers = 0;
    unsigned acceleratorsTotal = 0;
    unsigned acceleratorsUsed = 0;
    unsigned jobsWaiting = 0;
    unsigned attemptsActive = 0;
    std::vector<uncovered_guarantee> uncovered;
    unsigned guaranteedShapesUnused = 0; ///< Guaranteed shapes that no running attempt uses.
    unsigned guaranteedShapesStartable = 0; ///< Of these, how many fit at once without any eviction.
};

/// @brief Decides which job runs where. Does no I/O, reads no clock and draws random numbers from its seed only.
///
/// An entry feeds it the whole fleet as it sees it, and the jobs of the organisations that the entry owns.
class scheduler {
public:
    scheduler(policy chosen, std::uint64_t seed);
    ~scheduler();
    scheduler(scheduler&&) noexcept;
    scheduler& operator=(scheduler&&) noexcept;

    /// @brief Takes in one event.
    void apply(const event& what, time_point now);

    /// @brief Runs the systems once and returns their decisions in order.
    std::vector<command> tick(time_point now);

    /// @brief Says why no configuration of the known workers could hold the shape.
    /// @return No value when it could be held, or when no worker is known yet.
    [[nodiscard]] std::optional<std::string> impossible(const shape& wanted) const;

    [[nodiscard]] scheduler_summary summary() const;

private:
    std::unique_ptr<scheduler_tables> m_tables;
    policy m_policy;
};

} // namespace oriole
