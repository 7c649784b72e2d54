#include <oriole/core/borrowed_starts.hpp>

#include <oriole/core/job_order.hpp>

#include <algorithm>
#include <queue>
#include <tuple>

namespace oriole {

namespace {

/// An organisation and the jobs that it may start, the next one last.
struct organisation_jobs {
    double share = 0;
    const organisation_row* organisation = nullptr;
    std::vector<job_row*> jobs;
};

struct higher_share {
    bool operator()(const organisation_jobs& left, const organisation_jobs& right) const
    {
        return std::tie(left.share, left.organisation->policy.name) > std::tie(right.share, right.organisation->policy.name);
    }
};

using share_queue = std::priority_queue<organisation_jobs, std::vector<organisation_jobs>, higher_share>;

share_queue queueByShare(const decision_round& round, const fleet_totals& totals)
{
    share_queue queue;
    for (const auto& [name, organisation] : round.tables.organisations) {
        if (organisation.waiting.empty())
            continue;
        auto jobs = waitingByRank(round, organisation, true);
        if (jobs.empty())
            continue;
        std::reverse(jobs.begin(), jobs.end());
        queue.push({ borrowedShare(organisation, totals), &organisation, std::move(jobs) });
    }
    return queue;
}

void tryStart(decision_round& round, job_row& job)
{
    if (!round.mayStart(job))
        return;
    if (const auto found = round.findFree(job))
        round.start(job, *found, { .guaranteed = false, .urgent = false, .evictBorrowed = false, .rule = "best-fit" });
    else if (job.failedWorkers.empty()) // Otherwise a place may become usable by the passage of time alone.
        job.unplaceableVersion = round.tables.version;
}

} // namespace

void startBorrowed(decision_round& round)
{
    const auto totals = totalsOf(round.tables);
    auto queue = queueByShare(round, totals);
    while (!queue.empty() && !round.exhausted()) {
        auto next = queue.top();
        queue.pop();
        auto* job = next.jobs.back();
        next.jobs.pop_back();
        tryStart(round, *job);
        if (next.jobs.empty())
            continue;
        next.share = borrowedShare(*next.organisation, totals);
        queue.push(std::move(next));
    }
}

} // namespace oriole
