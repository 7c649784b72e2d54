#include <oriole/core/decision_round.hpp>

#include <oriole/core/eviction_cost.hpp>
#include <oriole/core/first_fit.hpp>
#include <oriole/core/placement.hpp>

#include <algorithm>
#include <bit>

namespace oriole {

namespace {

constexpr unsigned maxSearchesPerTick = 48;
constexpr std::size_t maxBlockingReservations = 64;

constexpr double plannedWeight = 100; // Per accelerator that belongs to a planned cell.
constexpr double holeWeight = 1; // Per accelerator that remains of the hole that is split.
constexpr double workerWeight = 0.1; // Per accelerator that remains free on the worker.
constexpr double processorWeight = 0.001; // Per free processor of the worker, for work without accelerators.
constexpr double refusedWeight = 1000;
constexpr double jitterWeight = 0.05; // Prevents entries with the same view from choosing the same place.

bool dominates(const shape& smaller, const shape& larger)
{
    return smaller.adjacency == larger.adjacency && smaller.accelerators <= larger.accelerators
        && smaller.processors <= larger.processors && smaller.memoryGb <= larger.memoryGb;
}

} // namespace

decision_round::decision_round(scheduler_tables& all, std::vector<command>& decisions, time_point when)
    : tables(all)
    , commands(decisions)
    , now(when)
    , free(freeResources(all))
{
}

bool decision_round::mayStart(const job_row& job) const
{
    return job.notBefore <= now && withinQuota(tables.organisationFor(job.spec.organisation), job.spec.shape);
}

milliseconds decision_round::estimateOf(const job_row& job) const
{
    return std::max(milliseconds(1), tables.organisationFor(job.spec.organisation).estimate.correct(job.spec.declaredRun));
}

bool decision_round::avoids(const job_row& job, worker_index where) const
{
    const auto& worker = tables.workers[where];
    return worker.refused || (now < job.avoidUntil && job.failedWorkers.contains(worker.info.name));
}

std::uint64_t decision_round::blockingReservations(const job_row& job) const
{
    std::uint64_t blocked = 0;
    const auto end = now + estimateOf(job);
    const job_key key(job.spec.organisation, job.spec.id);
    for (std::size_t index = 0; index < std::min(tables.backfillReservations.size(), maxBlockingReservations); ++index) {
        const auto& one = tables.backfillReservations[index];
        if (one.job != key && end > one.readyAt)
            blocked |= std::uint64_t { 1 } << index;
    }
    return blocked;
}

bool decision_round::knownUnplaceable(const shape& wanted, std::uint64_t blocked) const
{
    return std::any_of(m_failedSearches.begin(), m_failedSearches.end(), [&](const failed_search& one) { return (one.blocked & ~blocked) == 0 && dominates(one.wanted, wanted); });
}

fleet_resources decision_round::roomFor(const job_row& job, std::uint64_t blocked) const
{
    auto room = free;
    for (std::size_t index = 0; index < std::min(tables.backfillReservations.size(), maxBlockingReservations); ++index) {
        if ((blocked >> index & 1) == 0)
            continue;
        for (const auto& part : tables.backfillReservations[index].where.parts)
            takeFrom(room, part);
    }
    if (now < job.avoidUntil) {
        for (const auto& name : job.failedWorkers) {
            if (const auto found = tables.workerNames.find(name); found != tables.workerNames.end())
                room[found->second].room = {};
        }
    }
    return room;
}

double decision_round::scoreFree(const available_resources& from, accelerator_set taken)
{
    const auto& worker = tables.workers[from.worker];
    const auto& planned = tables.plan.planned[from.worker];
    const auto count = static_cast<double>(std::popcount(taken));
    const auto jitter = jitterWeight * static_cast<double>(tables.random() >> 11) / static_cast<double>(std::uint64_t { 1 } << 53);
    double score = jitter + (worker.refused ? refusedWeight : 0);
    score += plannedWeight * std::popcount(planned.accelerators & taken);
    score += holeWeight * (holeAround(from.room.accelerators, taken) - count);
    score += workerWeight * (std::popcount(from.room.accelerators) - count);
    if (taken == 0)
        score += processorWeight * from.room.processors;
    return score;
}

std::optional<place> decision_round::search(const fleet_resources& room, const shape& wanted)
{
    countSearch();
    return findPlace(tables, room, wanted, [this](const available_resources& from, accelerator_set taken) { return scoreFree(from, taken); });
}

std::optional<place> decision_round::findFree(const job_row& job)
{
    const auto blocked = blockingReservations(job);
    const bool unrestricted = job.failedWorkers.empty();
    if (knownUnplaceable(job.spec.shape, blocked))
        return std::nullopt;

    auto found = blocked == 0 && unrestricted ? search(free, job.spec.shape) : search(roomFor(job, blocked), job.spec.shape);
    if (!found && unrestricted)
        m_failedSearches.push_back({ job.spec.shape, blocked });
    return found;
}

bool decision_round::exhausted() const
{
    return m_searches >= maxSearchesPerTick;
}

void decision_round::start(job_row& job, const place& where, start_options options)
{
    options.evictBorrowed = options.evictBorrowed && needsEviction(tables, where);
    if (options.evictBorrowed)
        markEvicting(tables, where);
    for (const auto& part : where.parts)
        takeFrom(free, part);
    commands.emplace_back(startJob(tables, job, where, options, now));
}

} // namespace oriole
