#include <oriole/core/intake.hpp>

#include <oriole/core/lifecycle.hpp>
#include <oriole/core/probation.hpp>

#include <algorithm>
#include <bit>

namespace oriole {

namespace {

void clearReported(scheduler_tables& tables, worker_index where)
{
    for (auto position = tables.workers[where].holdings.size(); position-- > 0;) {
        auto& what = tables.workers[where].holdings[position];
        what.reported = false;
        if (!what.attempt->ownedHere)
            tables.removeHolding(where, position);
    }
}

holding* findHolding(worker_row& worker, const attempt_id& id)
{
    const auto found = std::find_if(worker.holdings.begin(), worker.holdings.end(), [&](const holding& what) { return what.attempt->id == id; });
    return found == worker.holdings.end() ? nullptr : &*found;
}

/// True if the report does not change the holding, so that no total has to be updated.
bool sameHolding(const holding& known, const allocation& allocated, const attempt& reported)
{
    return known.accelerators == allocated.accelerators && known.processors == allocated.processors && known.memoryGb == allocated.memoryGb
        && known.attempt->guaranteed == reported.guaranteed && known.attempt->urgent == reported.urgent;
}

const allocation* allocationOn(const attempt& reported, const std::string& worker)
{
    for (const auto& part : reported.allocations) {
        if (part.worker == worker)
            return &part;
    }
    return nullptr;
}

void applyTaskReport(scheduler_tables& tables, worker_index where, const task_report& task, time_point now)
{
    const auto* part = allocationOn(task.attempt, tables.workers[where].info.name);
    // A report sent before the end of the attempt may arrive after it.
    if (!part || tables.endedAttempts.contains(task.attempt.id))
        return;

    if (auto* known = findHolding(tables.workers[where], task.attempt.id)) {
        known->reported = true;
        known->attempt->since = std::min(known->attempt->since, now - task.age);
        known->attempt->evicting = task.phase == task_phase::Evicting;
        if (known->usedMemoryGb != task.usedMemoryGb) {
            known->usedMemoryGb = task.usedMemoryGb;
            tables.recomputeUsage(where);
        }
        return;
    }
    auto& row = tables.attemptFor(task.attempt.id);
    if (row.holdingCount == 0) {
        copyAttemptDetails(row, task.attempt);
        row.since = now - task.age;
    }
    row.evicting = task.phase == task_phase::Evicting;
    tables.addHolding(where, row, { &row, part->accelerators, part->processors, part->memoryGb, task.usedMemoryGb, true });
}

/// Removes holdings of attempts of other entries that the report omits or shows with other resources.
void dropUnreported(scheduler_tables& tables, worker_index where, const std::vector<task_report>& tasks)
{
    const auto shown = [&](const holding& what) {
        return std::any_of(tasks.begin(), tasks.end(), [&](const task_report& task) {
            if (isTerminal(task.phase) || task.attempt.id != what.attempt->id)
                return false;
            const auto* part = allocationOn(task.attempt, tables.workers[where].info.name);
            return part && sameHolding(what, *part, task.attempt);
        });
    };
    for (auto position = tables.workers[where].holdings.size(); position-- > 0;) {
        const auto& what = tables.workers[where].holdings[position];
        if (!what.attempt->ownedHere && !shown(what))
            tables.removeHolding(where, position);
    }
}

void setFlag(scheduler_tables& tables, bool& flag, bool value)
{
    if (flag == value)
        return;
    flag = value;
    ++tables.version;
    ++tables.planVersion;
}

void apply(scheduler_tables& tables, const worker_joined& what, time_point)
{
    const auto where = tables.workerFor(what.worker.name);
    auto& worker = tables.workers[where];
    const auto before = worker.info;
    worker.info = what.worker;
    if (before.failureDomain != what.worker.failureDomain || before.rack != what.worker.rack)
        tables.assignToGroups(where);
    if (before != what.worker || !worker.hostsHomes) {
        worker.hostsHomes = true;
        ++tables.homesVersion;
        ++tables.version;
        ++tables.planVersion;
    }
    if (before.incarnation != what.worker.incarnation)
        setFlag(tables, worker.leaving, false);
    setFlag(tables, worker.present, true);
}

void updateFailures(worker_row& worker, unsigned failuresInRow, time_point now)
{
    if (failuresInRow > worker.failuresInRow)
        worker.probationUntil = now + probationFor(failuresInRow);
    worker.failuresInRow = failuresInRow;
}

void apply(scheduler_tables& tables, const worker_reported& what, time_point now)
{
    const auto found = tables.workerNames.find(what.worker);
    if (found == tables.workerNames.end())
        return;

    const auto where = found->second;
    setFlag(tables, tables.workers[where].leaving, what.leaving);
    setFlag(tables, tables.workers[where].refused, false);
    updateFailures(tables.workers[where], what.failuresInRow, now);
    dropUnreported(tables, where, what.tasks);
    for (const auto& task : what.tasks) {
        if (!isTerminal(task.phase))
            applyTaskReport(tables, where, task, now);
    }
}

void apply(scheduler_tables& tables, const worker_left& what, time_point now)
{
    const auto found = tables.workerNames.find(what.worker);
    if (found == tables.workerNames.end())
        return;

    setFlag(tables, tables.workers[found->second].present, false);
    tables.workers[found->second].absentSince = now;
    clearReported(tables, found->second);
}

void apply(scheduler_tables& tables, const failure_domain_changed& what, time_point now)
{
    auto& domain = tables.domains[tables.domainFor(what.failureDomain)];
    if (domain.out && !what.out) {
        domain.returnedAt = now;
        domain.ramping = true;
    }
    setFlag(tables, domain.out, what.out);
}

void apply(scheduler_tables& tables, const organisations_changed& what, time_point)
{
    for (auto& [name, organisation] : tables.organisations) {
        organisation.configured = false;
        organisation.policy = { .name = name, .guarantees = {} };
    }
    for (const auto& policy : what.organisations) {
        auto& organisation = tables.organisationFor(policy.name);
        organisation.policy = policy;
        organisation.configured = true;
    }
    ++tables.homesVersion;
    ++tables.version;
    ++tables.planVersion;
}

void apply(scheduler_tables& tables, const job_added& what, time_point now)
{
    const auto [found, added] = tables.jobs.try_emplace(job_key(what.job.organisation, what.job.id));
    if (!added)
        return;

    auto& job = found->second;
    job.spec = what.job;
    job.attempts = what.attempts;
    job.acceptedAt = now - what.waited;
    tables.enqueue(job);
}

void apply(scheduler_tables& tables, const job_adopted& what, time_point now)
{
    const auto [found, added] = tables.jobs.try_emplace(job_key(what.job.organisation, what.job.id));
    if (!added)
        return;

    auto& job = found->second;
    job.spec = what.job;
    job.attempts = what.attempt.id.number;
    job.acceptedAt = now;
    job.state = job_state::Running;
    tables.activeJobs.insert(&job);

    auto& row = tables.attemptFor(what.attempt.id);
    if (row.holdingCount == 0) {
        copyAttemptDetails(row, what.attempt);
        row.since = now;
    }
    row.ownedHere = true;
    job.active = &row;
    for (const auto& part : what.attempt.allocations) {
        const auto where = tables.workerFor(part.worker);
        if (!findHolding(tables.workers[where], what.attempt.id))
            tables.addHolding(where, row, { &row, part.accelerators, part.processors, part.memoryGb, 0, false });
    }
}

void apply(scheduler_tables& tables, const job_cancelled& what, time_point)
{
    auto* job = tables.findJob(what.organisation, what.job);
    if (!job || job->cancelled)
        return;

    job->cancelled = true;
    if (job->state == job_state::Waiting) {
        finishJob(tables, *job, job_outcome::Cancelled, "cancelled by the caller");
        return;
    }
    endAttempt(tables, *job, false, "cancelled by the caller");
}

void apply(scheduler_tables& tables, const organisation_released& what, time_point)
{
    const auto first = tables.jobs.lower_bound({ what.organisation, "" });
    auto next = first;
    while (next != tables.jobs.end() && next->first.first == what.organisation) {
        auto& job = next->second;
        tables.activeJobs.erase(&job);
        if (job.active) {
            job.active->ownedHere = false;
            tables.removeAttempt(*job.active, true);
        }
        next = tables.jobs.erase(next);
    }
    tables.organisationFor(what.organisation).waiting.clear();
}

void apply(scheduler_tables& tables, const attempt_ended& what, time_point now)
{
    handleAttemptEnd(tables, what, now);
}

void apply(scheduler_tables& tables, const attempt_running& what, time_point now)
{
    auto* job = tables.findJob(what.id.organisation, what.id.job);
    if (!job || job->state != job_state::Starting || job->active->id != what.id)
        return;

    job->state = job_state::Running;
    job->active->since = now;
    job->refusals = 0;
}

} // namespace

void applyEvent(scheduler_tables& tables, const event& what, time_point now)
{
    std::visit([&](const auto& one) { apply(tables, one, now); }, what);
}

} // namespace oriole
