#include <oriole/core/urgent_starts.hpp>

#include <oriole/core/eviction_cost.hpp>
#include <oriole/core/placement.hpp>

#include <algorithm>

namespace oriole {

namespace {

constexpr unsigned plansPerTick = 2;

std::vector<job_row*> urgentJobs(const decision_round& round)
{
    std::vector<job_row*> jobs;
    for (const auto& [name, organisation] : round.tables.organisations) {
        if (!organisation.policy.mayRunUrgent)
            continue;
        for (const auto& [key, job] : organisation.waiting) {
            if (isUrgent(round.tables, *job) && round.mayStart(*job))
                jobs.push_back(job);
        }
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const job_row* left, const job_row* right) { return left->acceptedAt < right->acceptedAt; });
    return jobs;
}

/// What may be had without touching fixed work or a planned cell.
std::optional<place> findOutsidePlan(decision_round& round, const job_row& job)
{
    auto room = reclaimableRoom(round.tables);
    for (auto& one : room) {
        one.room = remaining(one.room, round.tables.plan.planned[one.worker]);
        if (round.avoids(job, one.worker))
            one.room = {};
    }
    round.countSearch();
    return findPlace(round.tables, room, job.spec.shape, [&](const room_at& from, accelerator_set taken) { return evictionCost(round.tables, from.worker, taken, round.now); });
}

/// Plans all guarantees around the job; that may move cells out of its way.
std::optional<place> findByNewPlan(decision_round& round, const job_row& job)
{
    place found;
    auto room = reclaimableRoom(round.tables);
    for (auto& one : room) {
        if (round.avoids(job, one.worker))
            one.room = {};
    }
    auto plan = planGuarantees(round.tables, std::move(room), round.now, &job.spec.shape, &found);
    if (found.parts.empty() || plan.cells.size() < round.tables.plan.cells.size())
        return std::nullopt;
    round.tables.plan = std::move(plan);
    return found;
}

} // namespace

bool isUrgent(const scheduler_tables& tables, const job_row& job)
{
    if (job.spec.jobClass != job_class::Urgent)
        return false;
    const auto found = tables.organisations.find(job.spec.organisation);
    return found != tables.organisations.end() && found->second.policy.mayRunUrgent;
}

void startUrgent(decision_round& round)
{
    unsigned plans = 0;
    for (auto* job : urgentJobs(round)) {
        if (round.exhausted())
            return;
        if (!round.mayStart(*job))
            continue;
        auto found = findOutsidePlan(round, *job);
        if (!found && plans < plansPerTick && job->urgentMisfitVersion != round.tables.version) {
            ++plans;
            found = findByNewPlan(round, *job);
        }
        if (found)
            round.start(*job, *found, { .guaranteed = false, .urgent = true, .evictBorrowed = true, .rule = "urgent" });
        else if (job->failedWorkers.empty())
            job->urgentMisfitVersion = round.tables.version;
    }
}

} // namespace oriole
