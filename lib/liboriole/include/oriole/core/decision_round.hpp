/// @file
/// @brief What the systems of one tick share: the room that is left, and the starts made so far.
#pragma once

#include <oriole/core/commands.hpp>
#include <oriole/core/fleet_room.hpp>
#include <oriole/core/lifecycle.hpp>
#include <oriole/core/tables.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace oriole {

/// @brief State of one tick of the guarantee policy.
class decision_round {
public:
    decision_round(scheduler_tables& all, std::vector<command>& decisions, time_point when);

    scheduler_tables& tables;
    std::vector<command>& commands;
    time_point now;
    fleet_room free; ///< What is free now; borrowed work may start there.

    /// @brief True when the job may start as far as its back-off and its organisation's quota go.
    [[nodiscard]] bool mayStart(const job_row& job) const;

    /// @brief Run time to expect of the job.
    [[nodiscard]] milliseconds estimateOf(const job_row& job) const;

    /// @brief True when the job should keep off the worker: it failed there, or the worker refuses starts.
    [[nodiscard]] bool avoids(const job_row& job, worker_index where) const;

    /// @brief Finds a free place that suits the job best and spares the planned cells, collected places and large holes.
    std::optional<place> findFree(const job_row& job);

    /// @brief True once so many searches were made that the rest waits for the next tick.
    [[nodiscard]] bool exhausted() const;

    /// @brief Counts one search for a place.
    void countSearch() { ++m_searches; }

    void start(job_row& job, const place& where, start_options options);

private:
    struct misfit {
        shape wanted;
        std::uint64_t blocked = 0; ///< Collections whose places were left out.
    };

    [[nodiscard]] std::uint64_t collectionsAgainst(const job_row& job) const;
    [[nodiscard]] bool knownMisfit(const shape& wanted, std::uint64_t blocked) const;
    [[nodiscard]] fleet_room roomFor(const job_row& job, std::uint64_t blocked) const;
    [[nodiscard]] std::optional<place> search(const fleet_room& room, const shape& wanted);
    double scoreFree(const room_at& from, accelerator_set taken);

    std::vector<misfit> m_misfits;
    unsigned m_searches = 0;
};

} // namespace oriole
