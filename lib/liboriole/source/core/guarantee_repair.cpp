#include <oriole/core/guarantee_repair.hpp>

#include <algorithm>

namespace oriole {

namespace {

bool isUrgentWithoutGuarantee(const attempt_row& attempt)
{
    return attempt.urgent && !attempt.guaranteed;
}

bool isEnding(const attempt_row& attempt)
{
    return attempt.evicting || attempt.endRequested;
}

/// Urgent attempts that block this part of the home. If only processors or memory are short, just the attempt with the
/// largest id, so that no more attempts are evicted than necessary.
std::vector<attempt_row*> blockingAttempts(const scheduler_tables& tables, const place_part& part)
{
    std::vector<attempt_row*> overlapping;
    attempt_row* largestId = nullptr;
    for (const auto& what : tables.workers[part.worker].holdings) {
        if (!isUrgentWithoutGuarantee(*what.attempt))
            continue;
        if ((what.accelerators & part.taken.accelerators) != 0)
            overlapping.push_back(what.attempt);
        if (isEnding(*what.attempt))
            return overlapping;
        if (what.attempt->repeatable && (!largestId || largestId->id < what.attempt->id))
            largestId = what.attempt;
    }
    if (overlapping.empty() && largestId)
        overlapping.push_back(largestId);
    return overlapping;
}

void evictOwned(scheduler_tables& tables, const attempt_row& attempt)
{
    auto* job = tables.findJob(attempt.id.organisation, attempt.id.job);
    if (!attempt.ownedHere || !job || job->active != &attempt || job->state != job_state::Running || !job->spec.repeatable)
        return;
    endAttempt(tables, *job, true, "stands in the home of a guarantee");
}

} // namespace

void repairHomes(decision_round& round)
{
    auto& tables = round.tables;
    if (tables.plan.uncovered.empty())
        return;

    const auto room = reclaimableResources(tables);
    for (const auto& missing : tables.plan.uncovered) {
        const auto owner = tables.homes.places.find(missing.organisation);
        if (owner == tables.homes.places.end() || !owner->second.contains(missing.shape))
            continue;
        for (const auto& home : owner->second.at(missing.shape)) {
            for (const auto& part : home.parts) {
                if (contains(room[part.worker].room, part.taken) || !tables.eligible(tables.workers[part.worker]))
                    continue;
                for (const auto* attempt : blockingAttempts(tables, part))
                    evictOwned(tables, *attempt);
            }
        }
    }
}

} // namespace oriole
