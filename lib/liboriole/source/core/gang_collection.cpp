#include <oriole/core/gang_collection.hpp>

#include <oriole/core/eviction_cost.hpp>
#include <oriole/core/placement.hpp>
#include <oriole/core/urgent_starts.hpp>

#include <algorithm>

namespace oriole {

namespace {

constexpr unsigned minGangAccelerators = 2;
constexpr unsigned reservedShareDivisor = 4; // No further reservation once one in this many accelerators is reserved.
constexpr std::size_t maxReservations = 16;
constexpr milliseconds minReservationWait { 1000 };
constexpr milliseconds maxReservationWait { 600000 };
constexpr milliseconds minRemainingTime { 100 };
constexpr milliseconds reservationSlack { 2000 };
constexpr unsigned starvationFactor = 100;
constexpr milliseconds minStarvationWait { 30000 };
// Gangs larger than a worker count as starved sooner, because resources freed one by one go to smaller jobs.
constexpr unsigned multiWorkerStarvationFactor = 20;
constexpr milliseconds minMultiWorkerStarvationWait { 1000 };

milliseconds waitingTime(const decision_round& round, const job_row& job)
{
    return std::chrono::duration_cast<milliseconds>(round.now - job.acceptedAt);
}

bool qualifiesForReservation(const decision_round& round, const job_row& job)
{
    return waitingTime(round, job) >= std::clamp(round.estimateOf(job) / 2, minReservationWait, maxReservationWait);
}

unsigned largestWorker(const scheduler_tables& tables)
{
    unsigned largest = 0;
    for (const auto& worker : tables.workers)
        largest = std::max(largest, worker.present ? worker.info.accelerators : 0);
    return largest;
}

bool isStarved(const decision_round& round, const job_row& job, unsigned largest)
{
    if (job.spec.shape.accelerators > largest)
        return waitingTime(round, job) >= std::max(minMultiWorkerStarvationWait, multiWorkerStarvationFactor * round.estimateOf(job));
    return waitingTime(round, job) >= std::max(minStarvationWait, starvationFactor * round.estimateOf(job));
}

/// Expected time in milliseconds until the attempts that hold these accelerators have ended.
double timeUntilFree(const decision_round& round, const available_resources& from, accelerator_set taken)
{
    double longest = 0;
    for (const auto& what : round.tables.workers[from.worker].holdings) {
        if ((what.accelerators & taken) == 0)
            continue;
        const auto ran = std::chrono::duration_cast<milliseconds>(round.now - what.attempt->since);
        const auto expected = round.tables.organisationFor(what.attempt->id.organisation).estimate.correct(what.attempt->declaredRun);
        const auto left = std::max({ expected - ran, ran / 10, minRemainingTime });
        longest = std::max(longest, static_cast<double>(left.count()));
    }
    return longest;
}

std::vector<job_row*> gangsToReserveFor(const decision_round& round)
{
    std::vector<job_row*> gangs;
    for (const auto& [name, organisation] : round.tables.organisations) {
        for (const auto& [key, job] : organisation.waiting) {
            if (job->spec.shape.accelerators >= minGangAccelerators && !isUrgent(round.tables, *job) && round.mayStart(*job) && qualifiesForReservation(round, *job))
                gangs.push_back(job);
        }
    }
    std::stable_sort(gangs.begin(), gangs.end(), [](const job_row* left, const job_row* right) { return left->acceptedAt < right->acceptedAt; });
    return gangs;
}

bool isValid(const decision_round& round, const backfill_reservation& one)
{
    const auto* job = round.tables.findJob(one.job.first, one.job.second);
    if (!job || job->state != job_state::Waiting || one.readyAt + reservationSlack < round.now)
        return false;
    return std::all_of(one.where.parts.begin(), one.where.parts.end(), [&](const place_part& part) { return round.tables.eligible(round.tables.workers[part.worker]); });
}

fleet_resources reservableRoom(const decision_round& round, const job_row& job)
{
    fleet_resources room(round.tables.workers.size());
    for (worker_index index = 0; index < room.size(); ++index) {
        const auto& worker = round.tables.workers[index];
        room[index].worker = index;
        if (round.tables.eligible(worker) && !round.avoids(job, index))
            room[index].room = { firstAccelerators(worker.info.accelerators), worker.info.processors, worker.info.memoryGb };
    }
    for (const auto& one : round.tables.backfillReservations) {
        for (const auto& part : one.where.parts)
            takeFrom(room, part);
    }
    return room;
}

void reservePlace(decision_round& round, const job_row& job)
{
    round.countSearch();
    const auto found = findPlace(round.tables, reservableRoom(round, job), job.spec.shape, [&](const available_resources& from, accelerator_set taken) { return timeUntilFree(round, from, taken); });
    if (!found)
        return;
    double ready = 0;
    for (const auto& part : found->parts)
        ready = std::max(ready, timeUntilFree(round, { part.worker, {} }, part.taken.accelerators));
    const auto readyAt = round.now + milliseconds(static_cast<milliseconds::rep>(ready));
    round.tables.backfillReservations.push_back({ { job.spec.organisation, job.spec.id }, *found, readyAt });
}

/// Resources that are free or held by borrowed, repeatable gangs smaller than the job. The limit by size prevents two
/// starved jobs from evicting each other.
fleet_resources roomFromSmallerGangs(const decision_round& round, const job_row& job)
{
    auto room = reclaimableResources(round.tables);
    for (auto& one : room) {
        if (round.avoids(job, one.worker))
            one.room = {};
        for (const auto& what : round.tables.workers[one.worker].holdings) {
            const bool protectedFromJob = !what.attempt->repeatable || what.attempt->accelerators >= job.spec.shape.accelerators;
            if (!isNonEvictable(*what.attempt) && protectedFromJob)
                one.room = remaining(one.room, { what.accelerators, what.processors, what.memoryGb });
        }
    }
    return room;
}

} // namespace

void reserveForGangs(decision_round& round)
{
    auto& backfillReservations = round.tables.backfillReservations;
    if (std::erase_if(backfillReservations, [&](const backfill_reservation& one) { return !isValid(round, one); }) > 0)
        ++round.tables.version;

    unsigned total = 0;
    for (const auto& worker : round.tables.workers)
        total += worker.present ? worker.info.accelerators : 0;
    unsigned reserved = 0;
    for (const auto& one : backfillReservations)
        reserved += round.tables.findJob(one.job.first, one.job.second)->spec.shape.accelerators;

    for (const auto* job : gangsToReserveFor(round)) {
        if (backfillReservations.size() >= maxReservations || reserved * reservedShareDivisor >= total || round.exhausted())
            return;
        const job_key key(job->spec.organisation, job->spec.id);
        if (std::any_of(backfillReservations.begin(), backfillReservations.end(), [&](const backfill_reservation& one) { return one.job == key; }))
            continue;
        reservePlace(round, *job);
        reserved += job->spec.shape.accelerators;
    }
}

void startStarvedGangs(decision_round& round)
{
    const auto largest = largestWorker(round.tables);
    for (const auto& one : std::vector<backfill_reservation>(round.tables.backfillReservations)) {
        auto* job = round.tables.findJob(one.job.first, one.job.second);
        if (!job || job->state != job_state::Waiting || !round.mayStart(*job) || !isStarved(round, *job, largest))
            continue;
        round.countSearch();
        const auto found = findPlace(round.tables, roomFromSmallerGangs(round, *job), job->spec.shape, [&](const available_resources& from, accelerator_set taken) { return evictionCost(round.tables, from.worker, taken, round.now); });
        if (found) {
            round.start(*job, *found, { .guaranteed = false, .urgent = false, .evictBorrowed = true, .rule = "starved" });
            return;
        }
    }
}

} // namespace oriole
