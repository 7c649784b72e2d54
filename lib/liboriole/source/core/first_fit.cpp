#include <oriole/core/first_fit.hpp>

#include <oriole/core/fleet_room.hpp>
#include <oriole/core/lifecycle.hpp>
#include <oriole/core/migration.hpp>

#include <algorithm>

namespace oriole {

namespace {

std::vector<job_row*> waitingInOrder(const scheduler_tables& tables)
{
    std::vector<job_row*> waiting;
    for (const auto& [name, organisation] : tables.organisations) {
        for (const auto& [key, job] : organisation.waiting)
            waiting.push_back(job);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const job_row* left, const job_row* right) { return left->acceptedAt < right->acceptedAt; });
    return waiting;
}

void excludeFailedWorkers(const scheduler_tables& tables, fleet_resources& room, const job_row& job)
{
    for (const auto& name : job.failedWorkers) {
        if (const auto found = tables.workerNames.find(name); found != tables.workerNames.end())
            room[found->second].room = {};
    }
}

} // namespace

bool withinQuota(const organisation_row& organisation, const shape& wanted)
{
    const auto quota = organisation.policy.acceleratorQuota;
    return quota == 0 || organisation.acceleratorsUsed + wanted.accelerators <= quota;
}

void startFirstFit(scheduler_tables& tables, std::vector<command>& commands, time_point now)
{
    evacuateDomainsAtOnce(tables);
    auto room = freeResources(tables);
    for (auto* job : waitingInOrder(tables)) {
        if (job->notBefore > now || !withinQuota(tables.organisationFor(job->spec.organisation), job->spec.shape))
            continue;

        auto roomForJob = room;
        if (now < job->avoidUntil)
            excludeFailedWorkers(tables, roomForJob, *job);
        const auto found = findPlace(tables, roomForJob, job->spec.shape, [](const available_resources&, accelerator_set) { return 0.0; });
        if (!found)
            return;
        for (const auto& part : found->parts)
            takeFrom(room, part);
        commands.emplace_back(startJob(tables, *job, *found, { .rule = "first-fit" }, now));
    }
}

} // namespace oriole
