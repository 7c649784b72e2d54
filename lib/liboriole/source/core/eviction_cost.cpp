#include <oriole/core/eviction_cost.hpp>

#include <algorithm>
#include <bit>

namespace oriole {

namespace {

constexpr double minSeconds = 1;
constexpr double unrepeatableFactor = 10000;

double attemptCost(const attempt_row& attempt, time_point now)
{
    if (attempt.evicting || attempt.endRequested)
        return 0;
    const auto age = std::chrono::duration<double>(now - attempt.since).count();
    const auto accelerators = std::max(1U, attempt.accelerators);
    return accelerators * (minSeconds + std::max(0.0, age)) * (attempt.repeatable ? 1 : unrepeatableFactor);
}

} // namespace

double evictionCost(const scheduler_tables& tables, worker_index where, accelerator_set taken, time_point now)
{
    double cost = 0;
    for (const auto& what : tables.workers[where].holdings) {
        if ((what.accelerators & taken) != 0 && !isNonEvictable(*what.attempt))
            cost += attemptCost(*what.attempt, now);
    }
    return cost;
}

unsigned costBucket(double cost)
{
    constexpr double maxCost = 1e15;
    return static_cast<unsigned>(std::bit_width(static_cast<std::uint64_t>(std::min(cost, maxCost))));
}

bool needsEviction(const scheduler_tables& tables, const place& where)
{
    return std::any_of(where.parts.begin(), where.parts.end(), [&](const place_part& part) { return !contains(freeOf(tables.workers[part.worker]), part.taken); });
}

void markEvicting(scheduler_tables& tables, const place& where)
{
    for (const auto& [worker, taken] : where.parts) {
        for (const auto& what : tables.workers[worker].holdings) {
            if ((what.accelerators & taken.accelerators) != 0 && !isNonEvictable(*what.attempt))
                what.attempt->evicting = true;
        }
    }
}

} // namespace oriole
