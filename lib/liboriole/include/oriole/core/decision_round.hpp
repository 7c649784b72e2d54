/// @file
/// @brief State shared by the systems of one tick: the remaining free resources and the starts made so far.
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
    fleet_resources free; ///< Resources that are free now and open to borrowed work.

    /// @brief True if neither the back-off of the job nor the quota of its organisation prevents a start.
    [[nodiscard]] bool mayStart(const job_row& job) const;

    /// @brief Expected run time of the job.
    [[nodiscard]] milliseconds estimateOf(const job_row& job) const;

    /// @brief True if the job should not be placed on the worker: it failed there recently, or the worker refused a start.
    [[nodiscard]] bool avoids(const job_row& job, worker_index where) const;

    /// @brief Finds the best free place for the job. Excludes the places of other jobs' backfill reservations that start
    /// before the job is expected to end; avoids planned cells and large holes where possible.
    std::optional<place> findFree(const job_row& job);

    /// @brief True once the limit of searches per tick is reached; remaining jobs wait for the next tick.
    [[nodiscard]] bool exhausted() const;

    /// @brief Counts one search towards the limit per tick.
    void countSearch() { ++m_searches; }

    void start(job_row& job, const place& where, start_options options);

private:
    struct failed_search {
        shape wanted;
        std::uint64_t blocked = 0; ///< Bit set of the backfill reservations whose places were excluded.
    };

    [[nodiscard]] std::uint64_t blockingReservations(const job_row& job) const;
    [[nodiscard]] bool knownUnplaceable(const shape& wanted, std::uint64_t blocked) const;
    [[nodiscard]] fleet_resources roomFor(const job_row& job, std::uint64_t blocked) const;
    [[nodiscard]] std::optional<place> search(const fleet_resources& room, const shape& wanted);
    double scoreFree(const available_resources& from, accelerator_set taken);

    std::vector<failed_search> m_failedSearches;
    unsigned m_searches = 0;
};

} // namespace oriole
