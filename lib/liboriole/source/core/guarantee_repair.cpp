#include <oriole/core/guarantee_repair.hpp>

#include <algorithm>

namespace oriole {

namespace {

bool standsOutside(const attempt_row& attempt)
{
    return attempt.urgent && !attempt.guaranteed;
}

bool leaves(const attempt_row& attempt)
{
    return attempt.evicting || attempt.endAsked;
}

/// Urgent attempts that keep the home's part from being had; with processors or memory short the one with the largest
/// id alone, so that no more move than have to.
std::vector<attempt_row*> inTheWay(const scheduler_tables& tables, const place_part& part)
{
    std::vector<attempt_row*> overlapping;
    attempt_row* last = nullptr;
    for (const auto& what : tables.workers[part.worker].holdings) {
        if (!standsOutside(*what.attempt))
            continue;
        if ((what.accelerators & part.taken.accelerators) != 0)
            overlapping.push_back(what.attempt);
        if (leaves(*what.attempt))
            return overlapping;
        if (what.attempt->repeatable && (!last || last->id < what.attempt->id))
            last = what.attempt;
    }
    if (overlapping.empty() && last)
        overlapping.push_back(last);
    return overlapping;
}

void moveOwn(scheduler_tables& tables, const attempt_row& attempt)
{
    auto* job = tables.findJob(attempt.id.organisation, attempt.id.job);
    if (!attempt.own || !job || job->active != &attempt || job->state != job_state::Running || !job->spec.repeatable)
        return;
    endAttempt(tables, *job, true, "stands in the home of a guarantee");
}

} // namespace

void repairHomes(decision_round& round)
{
    auto& tables = round.tables;
    if (tables.plan.uncovered.empty())
        return;

    const auto room = reclaimableRoom(tables);
    for (const auto& missing : tables.plan.uncovered) {
        const auto owner = tables.homes.places.find(missing.organisation);
        if (owner == tables.homes.places.end() || !owner->second.contains(missing.shape))
            continue;
        for (const auto& home : owner->second.at(missing.shape)) {
            for (const auto& part : home.parts) {
                if (contains(room[part.worker].room, part.taken) || !tables.eligible(tables.workers[part.worker]))
                    continue;
                for (const auto* attempt : inTheWay(tables, part))
                    moveOwn(tables, *attempt);
            }
        }
    }
}

} // namespace oriole
