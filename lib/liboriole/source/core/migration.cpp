#include <oriole/core/migration.hpp>

#include <algorithm>
#include <tuple>

namespace oriole {

namespace {

constexpr unsigned maxConcurrentEvictions = 8;
constexpr milliseconds rampDuration { 2000 };

bool mustEvacuate(const scheduler_tables& tables, const job_row& job)
{
    if (job.state != job_state::Running || !job.spec.repeatable)
        return false;
    return std::any_of(job.active->workers.begin(), job.active->workers.end(), [&](worker_index where) { return tables.domains[tables.workers[where].domain].out; });
}

struct evacuation_candidate {
    bool fits = false;
    job_row* job = nullptr;

    [[nodiscard]] auto order() const { return std::tuple(!fits, -static_cast<int>(job->spec.shape.accelerators), job->acceptedAt, job_key(job->spec.organisation, job->spec.id)); }
};

std::vector<evacuation_candidate> evacuationCandidates(decision_round& round, unsigned& moving)
{
    std::vector<evacuation_candidate> candidates;
    for (auto* job : round.tables.activeJobs) {
        moving += job->evictionRequested ? 1 : 0;
        if (mustEvacuate(round.tables, *job))
            candidates.push_back({ round.findFree(*job).has_value(), job });
    }
    std::sort(candidates.begin(), candidates.end(), [](const evacuation_candidate& left, const evacuation_candidate& right) { return left.order() < right.order(); });
    return candidates;
}

bool anyDomainOut(const scheduler_tables& tables)
{
    return std::any_of(tables.domains.begin(), tables.domains.end(), [](const group_row& domain) { return domain.out; });
}

} // namespace

void evacuateDomains(decision_round& round)
{
    if (!anyDomainOut(round.tables))
        return;

    unsigned moving = 0;
    for (const auto& [fits, job] : evacuationCandidates(round, moving)) {
        if (moving >= maxConcurrentEvictions)
            return;
        endAttempt(round.tables, *job, true, "its failure domain is out");
        ++moving;
    }
}

void evacuateDomainsAtOnce(scheduler_tables& tables)
{
    if (!anyDomainOut(tables))
        return;
    for (auto* job : tables.activeJobs) {
        if (mustEvacuate(tables, *job))
            endAttempt(tables, *job, true, "its failure domain is out");
    }
}

void rampDomains(decision_round& round)
{
    for (auto& domain : round.tables.domains) {
        if (!domain.ramping)
            continue;
        const auto since = round.now - domain.returnedAt;
        if (since >= rampDuration) {
            domain.ramping = false;
            ++round.tables.version;
            continue;
        }
        const auto fraction = static_cast<double>(since.count()) / static_cast<double>(std::chrono::nanoseconds(rampDuration).count());
        const auto admitted = 1 + static_cast<std::size_t>(fraction * static_cast<double>(domain.workers.size()));
        for (auto position = admitted; position < domain.workers.size(); ++position)
            round.free[domain.workers[position]].room = {};
        ++round.tables.version;
    }
}

} // namespace oriole
