#include <oriole/core/urgent_starts.hpp>

#include <oriole/core/eviction_cost.hpp>
#include <oriole/core/placement.hpp>

#include <algorithm>

namespace oriole {

namespace {

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

/// Finds a place without using planned cells or resources of work that must not be evicted.
std::optional<place> findOutsidePlan(decision_round& round, const job_row& job)
{
    auto room = reclaimableResources(round.tables);
    for (auto& one : room) {
        one.room = remaining(one.room, round.tables.plan.planned[one.worker]);
        if (round.avoids(job, one.worker))
            one.room = {};
    }
    round.countSearch();
    return findPlace(round.tables, room, job.spec.shape, [&](const available_resources& from, accelerator_set taken) { return evictionCost(round.tables, from.worker, taken, round.now); });
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
    for (auto* job : urgentJobs(round)) {
        if (round.exhausted())
            return;
        if (!round.mayStart(*job))
            continue;
        if (const auto found = findOutsidePlan(round, *job))
            round.start(*job, *found, { .guaranteed = false, .urgent = true, .evictBorrowed = true, .rule = "urgent" });
    }
}

} // namespace oriole
