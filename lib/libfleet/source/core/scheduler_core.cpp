#include <fleet/core/scheduler_core.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// A worker that refused for want of room sees what we don't: runs that are being stopped, for 200 ms at most.
constexpr milliseconds roomRefusalPause { 400 };
// A report lags a start by one look at the worker, half a second; a run that is missing longer is asked for.
constexpr milliseconds missingLimit { 2500 };
// One unexplained failure makes a worker suspect; a success all but clears it.
constexpr double failureBadness = 1;
constexpr double successFactor = 0.25;
// The rate of a run is read over windows of this length; reports come twice a second.
constexpr milliseconds rateWindow { 1800 };
// Progress is rated from here on: the start and the restoring of a checkpoint take up to 800 ms.
constexpr milliseconds settleTime { 1000 };

double secondsBetween(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

scheduler_core::scheduler_core(core_settings settings)
    : m_settings(settings)
{
}

void scheduler_core::configure(configuration rules)
{
    m_state.rules = std::move(rules);
}

void scheduler_core::setDomainsOut(std::set<std::string> domains)
{
    m_state.domainsOut = std::move(domains);
}

void scheduler_core::addJob(accepted_job job, job_progress progress, time_point acceptedAt, time_point now)
{
    const auto id = job.id;
    const auto [entry, added] = m_state.jobs.try_emplace(id);
    if (!added)
        return;
    entry->second.job = std::move(job);
    entry->second.progress = std::move(progress);
    entry->second.acceptedAt = acceptedAt;
    entry->second.readySince = now;
    restoreRuns(entry->second, now);
}

void scheduler_core::restoreRuns(const job_row& job, time_point now)
{
    const auto& occurrences = job.progress.occurrences;
    for (unsigned k = 0; k < occurrences.size(); ++k) {
        for (unsigned s = 0; s < occurrences[k].steps.size(); ++s) {
            const auto& tasks = occurrences[k].steps[s];
            for (unsigned i = 0; i < tasks.size(); ++i) {
                if (tasks[i].status != task_status::Live)
                    continue;
                live_run run;
                run.id = { { job.job.id, k, s, i }, tasks[i].attempt };
                run.worker = tasks[i].worker;
                run.life = tasks[i].life;
                run.need = job.job.spec.steps[s].held();
                run.expectedMs = static_cast<double>(job.job.spec.steps[s].runTimeMs);
                run.placedAt = run.advancedAt = run.windowAt = run.checkpointAt = now;
                run.unconfirmed = true;
                addRun(m_state, std::move(run));
            }
        }
    }
}

void scheduler_core::cancelJob(const std::string& id)
{
    const auto job = m_state.jobs.find(id);
    if (job == m_state.jobs.end() || isFinal(job->second.progress.state))
        return;
    job->second.progress.state = job_state::Cancelled;
    m_changed.insert(id);
}

const job_row* scheduler_core::findJob(const std::string& id) const
{
    const auto job = m_state.jobs.find(id);
    return job == m_state.jobs.end() ? nullptr : &job->second;
}

bool scheduler_core::isNews(const std::string& worker, const worker_report& report) const
{
    const auto known = m_state.workers.find(worker);
    return known == m_state.workers.end() || !report.ended.empty() || report.gone
        || known->second.reachable != report.responsive || known->second.about != report.worker;
}

void scheduler_core::takeReport(const std::string& worker, const worker_report& report, time_point now)
{
    auto& row = m_state.workers[worker];
    loseOtherLives(worker, report.worker.life, now);
    if (row.about.life != report.worker.life) {
        row.badness = 0;
        row.leavesAt.reset();
    }
    row.about = report.worker;
    row.reachable = report.responsive;
    if (report.worker.draining && !row.leavesAt)
        row.leavesAt = now + milliseconds(report.worker.drainRemainingMs);

    for (const auto& ended : report.ended) {
        const auto run = m_state.runs.find(ended.run);
        if (run != m_state.runs.end() && run->second.worker == worker)
            settle(ended.run, ended.how, ended.checkpoint, now);
    }
    if (report.gone)
        return loseWorker(worker, now);
    if (!report.responsive)
        return;
    noteActive(worker, report, now);
    noteMissing(worker, report, now);
}

void scheduler_core::noteActive(const std::string& worker, const worker_report& report, time_point now)
{
    for (const auto& seen : report.active) {
        const auto run = m_state.runs.find(seen.run);
        if (run == m_state.runs.end())
            adoptUnknown(worker, report, seen, now);
        else if (run->second.worker == worker)
            takeActive(run->second, seen, now);
    }
}

void scheduler_core::takeActive(live_run& run, const active_run& seen, time_point now)
{
    run.unconfirmed = false;
    run.missingSince.reset();
    if (run.phase == run_phase::Placed)
        run.phase = run_phase::Active;
    if (!run.seen && now - run.placedAt >= settleTime) {
        // A run that resumes begins with the progress that was saved, once it is restored.
        run.seen = true;
        run.windowPercent = seen.percent;
        run.windowAt = now;
    }
    run.reportedAt = now;
    ++run.reportsSinceAdvance;
    if (seen.percent > run.percent) {
        run.percent = seen.percent;
        run.advancedAt = now;
        run.reportsSinceAdvance = 0;
    }
    if (!seen.checkpoint.empty() && seen.checkpoint != run.checkpoint) {
        run.checkpoint = seen.checkpoint;
        run.checkpointAt = now;
    }
    if (run.seen && now - run.windowAt >= rateWindow) {
        run.ratePercent = (run.percent - run.windowPercent) / secondsBetween(run.windowAt, now);
        run.windowPercent = run.percent;
        run.windowAt = now;
        learnRunTime(run);
    }
}

/// How long a step takes shows in its tasks' progress; estimates are off by half and more.
void scheduler_core::learnRunTime(const live_run& run)
{
    const auto job = m_state.jobs.find(run.id.task.job);
    if (job == m_state.jobs.end() || run.ratePercent <= 0 || run.percent >= 100)
        return;
    const double wholeMs = 100 / run.ratePercent * 1000 / run.spread;
    const auto [known, added] = job->second.fastestMs.try_emplace(run.id.task.step, wholeMs);
    if (!added)
        known->second = std::min(known->second, wholeMs);
}

/// What runs without a record of ours was started by an order that came late: it has to end.
void scheduler_core::adoptUnknown(
    const std::string& worker, const worker_report& report, const active_run& seen, time_point now)
{
    live_run run;
    run.id = seen.run;
    run.worker = worker;
    run.life = report.worker.life;
    if (const auto job = m_state.jobs.find(seen.run.task.job); job != m_state.jobs.end()) {
        const auto& steps = job->second.job.spec.steps;
        if (seen.run.task.step < steps.size())
            run.need = steps[seen.run.task.step].held();
    }
    run.placedAt = now;
    auto& added = addRun(m_state, std::move(run));
    stop(added, "no record of it", now);
}

void scheduler_core::noteMissing(const std::string& worker, const worker_report& report, time_point now)
{
    const auto isListed = [&](const run_id& id) {
        return std::any_of(report.active.begin(), report.active.end(), [&](const auto& seen) { return seen.run == id; });
    };
    for (const auto& id : m_state.workers[worker].runs) {
        auto& run = m_state.runs.at(id);
        if (run.phase == run_phase::Stopping || isListed(id))
            continue;
        if (!run.missingSince && run.phase == run_phase::Active)
            run.missingSince = now;
        if (run.unconfirmed || (run.phase == run_phase::Active && now - *run.missingSince > missingLimit))
            stop(run, "not at its worker", now);
    }
}

void scheduler_core::setUnreachable(const std::string& worker)
{
    m_state.workers[worker].reachable = false;
}

/// A record may name a worker that this scheduler has not heard of yet: the life that counts is that of the run.
void scheduler_core::loseOtherLives(const std::string& worker, const worker_life& life, time_point now)
{
    std::vector<run_id> lost;
    for (const auto& id : m_state.workers[worker].runs) {
        if (m_state.runs.at(id).life != life)
            lost.push_back(id);
    }
    for (const auto& id : lost)
        settle(id, run_end::Lost, {}, now);
}

void scheduler_core::loseWorker(const std::string& worker, time_point now)
{
    const auto lost = m_state.workers[worker].runs;
    for (const auto& id : lost)
        settle(id, run_end::Lost, {}, now);
}

void scheduler_core::startAccepted(const run_id& run, time_point now)
{
    const auto found = m_state.runs.find(run);
    if (found == m_state.runs.end() || found->second.phase != run_phase::Placed)
        return;
    auto& started = found->second;
    started.phase = run_phase::Active;
    started.unconfirmed = false;
    started.missingSince.reset();
    started.advancedAt = started.windowAt = started.checkpointAt = now;
}

void scheduler_core::startRefused(const run_id& run, bool wantOfRoom, time_point now)
{
    const auto found = m_state.runs.find(run);
    if (found == m_state.runs.end())
        return;
    if (wantOfRoom)
        m_state.workers[found->second.worker].blockedUntil = now + roomRefusalPause;
    settle(run, run_end::Lost, {}, now);
}

void scheduler_core::startUnknown(const run_id& run)
{
    if (const auto found = m_state.runs.find(run); found != m_state.runs.end())
        found->second.unconfirmed = true;
}

void scheduler_core::runAbsent(const run_id& run, time_point now)
{
    settle(run, run_end::Lost, {}, now);
}

void scheduler_core::settle(const run_id& id, run_end how, const std::string& checkpoint, time_point now)
{
    const auto found = m_state.runs.find(id);
    if (found == m_state.runs.end())
        return;
    const auto run = removeRun(m_state, found);
    const auto job = m_state.jobs.find(id.task.job);
    if (job == m_state.jobs.end())
        return;
    judgeWorker(run, how, now);
    const auto attempts = ruleOf(m_state, job->second).maxAttempts;
    const auto& saved = checkpoint.empty() ? run.checkpoint : checkpoint;
    if (applyEnd(job->second.progress, job->second.job.spec, id, how, saved, attempts)) {
        job->second.readySince = now;
        m_changed.insert(id.task.job);
    }
}

void scheduler_core::judgeWorker(const live_run& run, run_end how, time_point now)
{
    auto& worker = m_state.workers[run.worker];
    auto& job = m_state.jobs.at(run.id.task.job);
    if (how == run_end::Done) {
        worker.badness = badnessOf(worker, now) * successFactor;
        worker.badnessAt = now;
    }
    if (how != run_end::Failed)
        return;
    // A job that fails on several workers is at fault itself.
    const bool blamed = job.failedOn.size() < 2 || job.failedOn.contains(run.worker);
    job.failedOn.insert(run.worker);
    if (blamed) {
        worker.badness = badnessOf(worker, now) + failureBadness;
        worker.badnessAt = now;
    }
}

std::set<std::string> scheduler_core::takeChanged()
{
    return std::exchange(m_changed, {});
}

} // namespace fleet
