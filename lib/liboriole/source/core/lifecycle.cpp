#include <oriole/core/lifecycle.hpp>

#include <algorithm>
#include <bit>

namespace oriole {

namespace {

constexpr unsigned maxFailedWorkers = 3;
constexpr unsigned maxFailures = 8;
constexpr milliseconds maxReportDelay { 10000 };
constexpr milliseconds avoidanceTime { 10000 };
constexpr milliseconds minBackOff { 20 };
constexpr milliseconds maxBackOff { 2000 };
constexpr unsigned maxBackOffDoublings = 7;

milliseconds backOff(scheduler_tables& tables, unsigned step)
{
    const auto doubled = minBackOff.count() << std::min(step, maxBackOffDoublings);
    const auto bounded = std::min<milliseconds::rep>(doubled, maxBackOff.count());
    std::uniform_int_distribution<milliseconds::rep> jitter(bounded / 2, bounded + bounded / 2);
    return milliseconds(jitter(tables.random));
}

void requeue(scheduler_tables& tables, job_row& job, time_point notBefore)
{
    job.notBefore = notBefore;
    job.evictionRequested = false;
    tables.enqueue(job);
}

void handleRefusal(scheduler_tables& tables, job_row& job, const std::string& worker, time_point now)
{
    if (const auto found = tables.workerNames.find(worker); found != tables.workerNames.end())
        tables.workers[found->second].refused = true;
    requeue(tables, job, now + backOff(tables, job.refusals));
    ++job.refusals;
}

/// Tasks fail on a worker on probation regardless of the job, so its failures do not count against the job.
bool countsAgainstJob(const scheduler_tables& tables, const std::string& worker)
{
    const auto found = tables.workerNames.find(worker);
    return found == tables.workerNames.end() || !tables.workers[found->second].probation;
}

void handleFailure(scheduler_tables& tables, job_row& job, const attempt_ended& what, time_point now)
{
    const auto worker = what.worker.empty() ? "unknown in attempt " + std::to_string(what.id.number) : what.worker;
    if (countsAgainstJob(tables, worker))
        job.failedWorkers.insert(worker);
    ++job.failures;
    job.avoidUntil = now + avoidanceTime;

    const bool final = job.failedWorkers.size() >= maxFailedWorkers || job.failures >= maxFailures;
    if (final || (!job.spec.repeatable && what.mayHaveRun)) {
        finishJob(tables, job, job_outcome::Failed, "a task failed on " + worker);
        return;
    }
    requeue(tables, job, now + backOff(tables, job.failures));
}

void handleInterruption(scheduler_tables& tables, job_row& job, const attempt_ended& what, time_point now)
{
    if (!job.spec.repeatable && what.mayHaveRun) {
        finishJob(tables, job, job_outcome::MayHaveRun, "not repeatable and its attempt was interrupted");
        return;
    }
    requeue(tables, job, now);
}

job_outcome outcomeOfCancelled(const job_row& job, const attempt_ended& what)
{
    if (what.outcome == attempt_outcome::Finished)
        return job_outcome::Finished;
    if (!job.spec.repeatable && what.mayHaveRun && what.outcome == attempt_outcome::Lost)
        return job_outcome::MayHaveRun;
    return job_outcome::Cancelled;
}

} // namespace

void copyAttemptDetails(attempt_row& row, const attempt& what)
{
    row.guaranteed = what.guaranteed;
    row.urgent = what.urgent;
    row.repeatable = what.repeatable;
    row.declaredRun = what.declaredRun;
    row.spansWorkers = what.allocations.size() > 1;
    row.totalShape = {};
    for (const auto& part : what.allocations) {
        row.totalShape.accelerators += static_cast<unsigned>(std::popcount(part.accelerators));
        row.totalShape.processors += part.processors;
        row.totalShape.memoryGb += part.memoryGb;
    }
}

void pruneEndedAttempts(scheduler_tables& tables, time_point now)
{
    std::erase_if(tables.endedAttempts, [now](const auto& ended) { return ended.second <= now; });
}

start_attempt startJob(scheduler_tables& tables, job_row& job, const place& where, const start_options& options, time_point now)
{
    tables.dequeue(job);
    ++job.attempts;
    job.state = job_state::Starting;
    tables.activeJobs.insert(&job);

    start_attempt started;
    started.evictBorrowed = options.evictBorrowed;
    started.reason = { options.rule, where.candidates, where.score };
    started.attempt = { .id = { job.spec.organisation, job.spec.id, job.attempts },
        .epoch = 0,
        .guaranteed = options.guaranteed,
        .urgent = options.urgent,
        .repeatable = job.spec.repeatable,
        .allocations = {},
        .declaredRun = job.spec.declaredRun,
        .payload = job.spec.payload };

    auto& row = tables.attemptFor(started.attempt.id);
    for (const auto& [worker, taken] : where.parts) {
        const auto& info = tables.workers[worker].info;
        started.attempt.allocations.push_back({ info.name, info.rpc, taken.accelerators, taken.processors, taken.memoryGb });
    }
    copyAttemptDetails(row, started.attempt);
    row.ownedHere = true;
    row.since = now;
    job.active = &row;
    for (const auto& [worker, taken] : where.parts)
        tables.addHolding(worker, row, { &row, taken.accelerators, taken.processors, taken.memoryGb, 0, false });
    return started;
}

void finishJob(scheduler_tables& tables, job_row& job, job_outcome outcome, std::string reason)
{
    if (job.state == job_state::Waiting)
        tables.dequeue(job);
    tables.activeJobs.erase(&job);
    const job_key key(job.spec.organisation, job.spec.id);
    tables.pending.emplace_back(finish_job { key.first, key.second, outcome, std::move(reason) });
    tables.jobs.erase(key);
}

void endAttempt(scheduler_tables& tables, job_row& job, bool evict, const std::string& reason)
{
    const bool alreadyRequested = job.state == job_state::Ending && (evict || !job.evictionRequested);
    if (job.state == job_state::Waiting || alreadyRequested)
        return;

    job.state = job_state::Ending;
    job.evictionRequested = evict;
    job.active->endRequested = true;
    if (evict)
        tables.pending.emplace_back(evict_attempt { job.active->id, reason });
    else
        tables.pending.emplace_back(stop_attempt { job.active->id, reason });
}

void handleAttemptEnd(scheduler_tables& tables, const attempt_ended& what, time_point now)
{
    const auto found = tables.findJob(what.id.organisation, what.id.job);
    if (!found || found->state == job_state::Waiting || found->active->id != what.id)
        return;

    auto& job = *found;
    const bool mayStillHold = what.outcome == attempt_outcome::Lost;
    const bool guaranteed = job.active->guaranteed;
    job.active->ownedHere = false;
    tables.removeAttempt(*job.active, mayStillHold);
    if (!mayStillHold)
        tables.endedAttempts[what.id] = now + maxReportDelay;
    job.active = nullptr;
    if (what.outcome != attempt_outcome::Refused) {
        job.refusals = 0;
        job.guaranteedRefusals = 0;
    } else if (guaranteed) {
        ++job.guaranteedRefusals;
    }

    if (what.outcome == attempt_outcome::Finished) {
        tables.organisationFor(job.spec.organisation).estimate.addRun(job.spec.declaredRun, what.ran);
        finishJob(tables, job, job_outcome::Finished, "finished");
        return;
    }
    if (job.cancelled) {
        finishJob(tables, job, outcomeOfCancelled(job, what), "cancelled by the caller");
        return;
    }
    switch (what.outcome) {
    case attempt_outcome::Failed:
        handleFailure(tables, job, what, now);
        return;
    case attempt_outcome::Refused:
        handleRefusal(tables, job, what.worker, now);
        return;
    default:
        handleInterruption(tables, job, what, now);
    }
}

} // namespace oriole
