#include <oriole/core/migration.hpp>

#include <algorithm>
#include <tuple>

namespace oriole {

namespace {

constexpr unsigned movesAtOnce = 8;
constexpr milliseconds rampTime { 2000 };

bool mustLeave(const scheduler_tables& tables, const job_row& job)
{
    if (job.state != job_state::Running || !job.spec.repeatable)
        return false;
    return std::any_of(job.active->workers.begin(), job.active->workers.end(), [&](worker_index where) { return tables.domains[tables.workers[where].domain].out; });
}

struct leaver {
    bool fits = false;
    job_row* job = nullptr;

    [[nodiscard]] auto order() const { return std::tuple(!fits, -static_cast<int>(job->spec.shape.accelerators), job->acceptedAt, job_key(job->spec.organisation, job->spec.id)); }
};

std::vector<leaver> leaversOf(decision_round& round, unsigned& moving)
{
    std::vector<leaver> leavers;
    for (auto* job : round.tables.activeJobs) {
        moving += job->moving ? 1 : 0;
        if (mustLeave(round.tables, *job))
            leavers.push_back({ round.findFree(*job).has_value(), job });
    }
    std::sort(leavers.begin(), leavers.end(), [](const leaver& left, const leaver& right) { return left.order() < right.order(); });
    return leavers;
}

bool anyOut(const scheduler_tables& tables)
{
    return std::any_of(tables.domains.begin(), tables.domains.end(), [](const group_row& domain) { return domain.out; });
}

} // namespace

void leaveDomains(decision_round& round)
{
    if (!anyOut(round.tables))
        return;

    unsigned moving = 0;
    for (const auto& [fits, job] : leaversOf(round, moving)) {
        if (moving >= movesAtOnce)
            return;
        endAttempt(round.tables, *job, true, "its failure domain is out");
        ++moving;
    }
}

void leaveDomainsAtOnce(scheduler_tables& tables)
{
    if (!anyOut(tables))
        return;
    for (auto* job : tables.activeJobs) {
        if (mustLeave(tables, *job))
            endAttempt(tables, *job, true, "its failure domain is out");
    }
}

void rampDomains(decision_round& round)
{
    for (auto& domain : round.tables.domains) {
        if (!domain.ramping)
            continue;
        const auto since = round.now - domain.returnedAt;
        if (since >= rampTime) {
            domain.ramping = false;
            ++round.tables.version;
            continue;
        }
        const auto part = static_cast<double>(since.count()) / static_cast<double>(std::chrono::nanoseconds(rampTime).count());
        const auto open = 1 + static_cast<std::size_t>(part * static_cast<double>(domain.workers.size()));
        for (auto position = open; position < domain.workers.size(); ++position)
            round.free[domain.workers[position]].room = {};
        ++round.tables.version;
    }
}

} // namespace oriole
