#include <oriole/core/job_order.hpp>

#include <algorithm>

namespace oriole {

namespace {

constexpr double ageingFactor = 1;

double ratio(unsigned part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

} // namespace

double rankOf(const decision_round& round, const job_row& job)
{
    const auto expected = static_cast<double>(round.estimateOf(job).count());
    const auto waited = std::chrono::duration<double, std::milli>(round.now - job.acceptedAt).count();
    return expected / (1 + ageingFactor * waited / expected);
}

std::vector<job_row*> waitingByRank(const decision_round& round, const organisation_row& organisation, bool onlyNew)
{
    std::vector<std::pair<double, job_row*>> ranked;
    for (const auto& [key, job] : organisation.waiting) {
        const bool knownUnplaceable = onlyNew && job->unplaceableVersion == round.tables.version;
        if (!knownUnplaceable && round.mayStart(*job))
            ranked.emplace_back(rankOf(round, *job), job);
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.first < right.first; });

    std::vector<job_row*> jobs;
    jobs.reserve(ranked.size());
    for (const auto& [rank, job] : ranked)
        jobs.push_back(job);
    return jobs;
}

fleet_totals totalsOf(const scheduler_tables& tables)
{
    fleet_totals totals;
    for (const auto& worker : tables.workers) {
        if (!worker.present)
            continue;
        totals.accelerators += worker.info.accelerators;
        totals.processors += worker.info.processors;
        totals.memoryGb += worker.info.memoryGb;
    }
    return totals;
}

double borrowedShare(const organisation_row& organisation, const fleet_totals& totals)
{
    const auto accelerators = ratio(organisation.borrowedAccelerators, totals.accelerators);
    const auto processors = ratio(organisation.borrowedProcessors, totals.processors);
    const auto memory = ratio(organisation.borrowedMemoryGb, totals.memoryGb);
    return std::max({ accelerators, processors, memory }) / std::max(1U, organisation.policy.weight);
}

} // namespace oriole
