#include <oriole/core/gang_collection.hpp>

#include <oriole/core/eviction_cost.hpp>
#include <oriole/core/placement.hpp>
#include <oriole/core/urgent_starts.hpp>

#include <algorithm>

namespace oriole {

namespace {

constexpr unsigned smallestGang = 2;
constexpr unsigned collectedShare = 4; // One accelerator in so many.
constexpr std::size_t collectionsAtOnce = 16;
constexpr milliseconds shortestPatience { 1000 };
constexpr milliseconds longestPatience { 600000 };
constexpr milliseconds overdue { 100 };
constexpr milliseconds collectionSlack { 2000 };
constexpr unsigned starvedRuns = 100;
constexpr milliseconds shortestStarved { 30000 };
constexpr unsigned starvedRunsWide = 20; // Gangs larger than a worker: room that ends piecemeal goes to smaller jobs.
constexpr milliseconds shortestStarvedWide { 1000 };

milliseconds waitedBy(const decision_round& round, const job_row& job)
{
    return std::chrono::duration_cast<milliseconds>(round.now - job.acceptedAt);
}

bool impatient(const decision_round& round, const job_row& job)
{
    return waitedBy(round, job) >= std::clamp(round.estimateOf(job) / 2, shortestPatience, longestPatience);
}

unsigned largestWorker(const scheduler_tables& tables)
{
    unsigned largest = 0;
    for (const auto& worker : tables.workers)
        largest = std::max(largest, worker.present ? worker.info.accelerators : 0);
    return largest;
}

bool starved(const decision_round& round, const job_row& job, unsigned largest)
{
    if (job.spec.shape.accelerators > largest)
        return waitedBy(round, job) >= std::max(shortestStarvedWide, starvedRunsWide * round.estimateOf(job));
    return waitedBy(round, job) >= std::max(shortestStarved, starvedRuns * round.estimateOf(job));
}

/// Time until the attempts that hold these accelerators should have ended, in milliseconds.
double readyIn(const decision_round& round, const room_at& from, accelerator_set taken)
{
    double longest = 0;
    for (const auto& what : round.tables.workers[from.worker].holdings) {
        if ((what.accelerators & taken) == 0)
            continue;
        const auto ran = std::chrono::duration_cast<milliseconds>(round.now - what.attempt->since);
        const auto expected = round.tables.organisationFor(what.attempt->id.organisation).estimate.correct(what.attempt->declaredRun);
        const auto left = std::max({ expected - ran, ran / 10, overdue });
        longest = std::max(longest, static_cast<double>(left.count()));
    }
    return longest;
}

std::vector<job_row*> impatientGangs(const decision_round& round)
{
    std::vector<job_row*> gangs;
    for (const auto& [name, organisation] : round.tables.organisations) {
        for (const auto& [key, job] : organisation.waiting) {
            if (job->spec.shape.accelerators >= smallestGang && !isUrgent(round.tables, *job) && round.mayStart(*job) && impatient(round, *job))
                gangs.push_back(job);
        }
    }
    std::stable_sort(gangs.begin(), gangs.end(), [](const job_row* left, const job_row* right) { return left->acceptedAt < right->acceptedAt; });
    return gangs;
}

bool stillValid(const decision_round& round, const collection& one)
{
    const auto* job = round.tables.findJob(one.job.first, one.job.second);
    if (!job || job->state != job_state::Waiting || one.readyAt + collectionSlack < round.now)
        return false;
    return std::all_of(one.where.parts.begin(), one.where.parts.end(), [&](const place_part& part) { return round.tables.eligible(round.tables.workers[part.worker]); });
}

fleet_room collectableRoom(const decision_round& round, const job_row& job)
{
    fleet_room room(round.tables.workers.size());
    for (worker_index index = 0; index < room.size(); ++index) {
        const auto& worker = round.tables.workers[index];
        room[index].worker = index;
        if (round.tables.eligible(worker) && !round.avoids(job, index))
            room[index].room = { firstAccelerators(worker.info.accelerators), worker.info.processors, worker.info.memoryGb };
    }
    for (const auto& one : round.tables.collections) {
        for (const auto& part : one.where.parts)
            takeFrom(room, part);
    }
    return room;
}

void collect(decision_round& round, const job_row& job)
{
    round.countSearch();
    const auto found = findPlace(round.tables, collectableRoom(round, job), job.spec.shape, [&](const room_at& from, accelerator_set taken) { return readyIn(round, from, taken); });
    if (!found)
        return;
    double ready = 0;
    for (const auto& part : found->parts)
        ready = std::max(ready, readyIn(round, { part.worker, {} }, part.taken.accelerators));
    const auto readyAt = round.now + milliseconds(static_cast<milliseconds::rep>(ready));
    round.tables.collections.push_back({ { job.spec.organisation, job.spec.id }, *found, readyAt });
}

/// What is free or held by borrowed repeatable gangs smaller than the job, so that two starved jobs never evict each other.
fleet_room roomOfSmaller(const decision_round& round, const job_row& job)
{
    auto room = reclaimableRoom(round.tables);
    for (auto& one : room) {
        if (round.avoids(job, one.worker))
            one.room = {};
        for (const auto& what : round.tables.workers[one.worker].holdings) {
            const bool spared = !what.attempt->repeatable || what.attempt->accelerators >= job.spec.shape.accelerators;
            if (!isFixed(*what.attempt) && spared)
                one.room = remaining(one.room, { what.accelerators, what.processors, what.memoryGb });
        }
    }
    return room;
}

} // namespace

void collectForGangs(decision_round& round)
{
    auto& collections = round.tables.collections;
    if (std::erase_if(collections, [&](const collection& one) { return !stillValid(round, one); }) > 0)
        ++round.tables.version;

    unsigned total = 0;
    for (const auto& worker : round.tables.workers)
        total += worker.present ? worker.info.accelerators : 0;
    unsigned collected = 0;
    for (const auto& one : collections)
        collected += round.tables.findJob(one.job.first, one.job.second)->spec.shape.accelerators;

    for (const auto* job : impatientGangs(round)) {
        if (collections.size() >= collectionsAtOnce || collected * collectedShare >= total || round.exhausted())
            return;
        const job_key key(job->spec.organisation, job->spec.id);
        if (std::any_of(collections.begin(), collections.end(), [&](const collection& one) { return one.job == key; }))
            continue;
        collect(round, *job);
        collected += job->spec.shape.accelerators;
    }
}

void startStarved(decision_round& round)
{
    const auto largest = largestWorker(round.tables);
    for (const auto& one : std::vector<collection>(round.tables.collections)) {
        auto* job = round.tables.findJob(one.job.first, one.job.second);
        if (!job || job->state != job_state::Waiting || !round.mayStart(*job) || !starved(round, *job, largest))
            continue;
        round.countSearch();
        const auto found = findPlace(round.tables, roomOfSmaller(round, *job), job->spec.shape, [&](const room_at& from, accelerator_set taken) { return evictionCost(round.tables, from.worker, taken, round.now); });
        if (found) {
            round.start(*job, *found, { .guaranteed = false, .urgent = false, .evictBorrowed = true, .rule = "starved" });
            return;
        }
    }
}

} // namespace oriole
