#include <fleet/core/scheduler_core.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// Reports lag behind a start by one status poll of the worker, half a second. A stop is sent for a run missing for longer.
constexpr milliseconds missingRunTimeout { 2500 };
// One failure blamed on a worker makes it suspect; one success brings the score back below the threshold.
constexpr double faultScorePerFailure = 1;
constexpr double faultScoreFactorOnSuccess = 0.25;
// The progress rate is measured over windows of this length; reports arrive twice a second.
constexpr milliseconds rateWindow { 1800 };

double secondsBetween(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

scheduler_core::scheduler_core(core_settings settings)
{
    setBounds(settings.bounds);
}

void scheduler_core::setBounds(const platform_bounds& bounds)
{
    m_state.limits = deriveLimits(bounds);
}

void scheduler_core::configure(configuration rules)
{
    m_state.rules = std::move(rules);
    for (auto& [id, job] : m_state.jobs)
        job.rule = findRule(m_state.rules, job.job);
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
    auto& row = entry->second;
    row.job = std::move(job);
    row.progress = std::move(progress);
    row.rule = findRule(m_state.rules, row.job);
    row.acceptedAt = acceptedAt;
    // Reports can list runs of a job before the job itself is known.
    for (auto run = m_state.runs.lower_bound({ { id, 0, 0, 0 }, 0 }); run != m_state.runs.end() && run->first.task.job == id; ++run)
        run->second.job = &row;
    restoreRuns(row, now);
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
                run.expectedMs = static_cast<double>(estimatedRunTime(job, s).count());
                run.placedAt = run.advancedAt = run.windowStartedAt = run.checkpointAt = now;
                run.restored = restore_state::Unknown;
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

bool scheduler_core::canChangeDecision(const std::string& worker, const worker_report& report) const
{
    const auto known = m_state.workers.find(worker);
    return known == m_state.workers.end() || !report.ended.empty() || report.gone
        || known->second.reachable != report.responsive || known->second.description != report.worker
        || (!report.othersMayRun && !runsOfOtherIncarnations(known->second, report.worker.incarnation).empty());
}

void scheduler_core::applyReport(const std::string& worker, const worker_report& report, time_point now)
{
    auto& row = workerOf(m_state, worker);
    if (row.description.incarnation != report.worker.incarnation) {
        row.faultScore = 0;
        row.drainDeadline.reset();
        assignRoom(row, report.worker.incarnation);
    }
    row.drainDeadline = drainDeadlineOf(row, report.worker, now);
    row.description = report.worker;
    row.reachable = report.responsive;

    for (const auto& ended : report.ended) {
        const auto run = m_state.runs.find(ended.run);
        if (run == m_state.runs.end())
            applyEndAfterLoss(ended);
        else if (run->second.worker == worker)
            finishRun(ended.run, ended.outcome, ended.checkpoint, now);
    }
    if (report.gone)
        return loseAllRuns(worker, loss_reason::LeaseExpired, now);
    if (!report.responsive)
        return;
    applyActiveRuns(worker, report, now);
    endRunsOfOtherIncarnations(row, report, now);
    stopMissingRuns(worker, report, now);
}

/// Reports repeat a notice that may be seconds old, so only a change of it moves the deadline: to an earlier time, or to a later
/// one if the worker grants more time than before.
std::optional<time_point> scheduler_core::drainDeadlineOf(const worker_row& worker, const worker_description& notice, time_point now)
{
    if (!notice.draining)
        return std::nullopt;
    const auto announced = now + milliseconds(notice.drainRemainingMs);
    if (!worker.drainDeadline || notice.drainRemainingMs > worker.description.drainRemainingMs)
        return announced;
    return std::min(*worker.drainDeadline, announced);
}

/// What may still run on an earlier incarnation takes nothing from the present one, unless an order may reach the latter under
/// the same id.
void scheduler_core::assignRoom(const worker_row& worker, const worker_incarnation& present)
{
    for (const auto& id : worker.runs) {
        auto& run = m_state.runs.at(id);
        if (run.life.instance != present.instance)
            setNeed(run, {});
        else if (run.job != nullptr && id.task.step < run.job->job.spec.steps.size())
            setNeed(run, run.job->job.spec.steps[id.task.step].held());
    }
}

void scheduler_core::applyEndAfterLoss(const ended_run& ended)
{
    const auto job = m_state.jobs.find(ended.run.task.job);
    if (ended.outcome != run_outcome::Done || job == m_state.jobs.end())
        return;
    auto& row = job->second;
    if (applyEnd(row.progress, row.job.spec, ended.run, ended.outcome, ended.checkpoint, row.rule.maxAttempts))
        m_changed.insert(job->first);
}

void scheduler_core::applyActiveRuns(const std::string& worker, const worker_report& report, time_point now)
{
    for (const auto& active : report.active) {
        const auto run = m_state.runs.find(active.run);
        if (run == m_state.runs.end())
            stopUnrecordedRun(worker, report, active, now);
        else if (run->second.worker == worker) {
            run->second.life = report.worker.incarnation;
            updateProgress(run->second, active, now);
        }
    }
}

void scheduler_core::updateProgress(live_run& run, const active_run& active, time_point now)
{
    run.mayRunUnseenUntil.reset();
    run.unconfirmed = false;
    run.restored = restore_state::None;
    run.missingSince.reset();
    if (run.phase == run_phase::Placed)
        run.phase = run_phase::Active;
    if (!run.progressKnown && now - run.placedAt >= m_state.limits.startup) {
        // A resumed run jumps to its saved progress once the checkpoint is restored; that jump must not count as speed.
        run.progressKnown = true;
        run.windowStartPercent = active.percent;
        run.windowStartedAt = now;
    }
    run.reportedAt = now;
    ++run.reportsSinceAdvance;
    if (active.percent > run.percent) {
        run.percent = active.percent;
        run.advancedAt = now;
        run.reportsSinceAdvance = 0;
    }
    if (!active.checkpoint.empty() && active.checkpoint != run.checkpoint) {
        run.checkpoint = active.checkpoint;
        run.checkpointAt = now;
    }
    if (run.progressKnown && now - run.windowStartedAt >= rateWindow) {
        run.ratePercent = (run.percent - run.windowStartPercent) / secondsBetween(run.windowStartedAt, now);
        run.windowStartPercent = run.percent;
        run.windowStartedAt = now;
        updateShortestRunTime(run);
    }
}

/// Run times projected from progress replace estimates, which are off by half and more.
void scheduler_core::updateShortestRunTime(const live_run& run)
{
    if (run.job == nullptr || run.ratePercent <= 0 || run.percent >= 100)
        return;
    const double projectedRunTimeMs = 100 / run.ratePercent * 1000 / run.spread;
    const auto [known, added] = run.job->shortestRunTimeMs.try_emplace(run.id.task.step, projectedRunTimeMs);
    if (!added)
        known->second = std::min(known->second, projectedRunTimeMs);
}

/// A run without a record was started by a delayed command and has to be stopped.
void scheduler_core::stopUnrecordedRun(
    const std::string& worker, const worker_report& report, const active_run& active, time_point now)
{
    live_run run;
    run.id = active.run;
    run.worker = worker;
    run.life = report.worker.incarnation;
    if (const auto job = m_state.jobs.find(active.run.task.job); job != m_state.jobs.end()) {
        const auto& steps = job->second.job.spec.steps;
        if (active.run.task.step < steps.size())
            run.need = steps[active.run.task.step].held();
    }
    run.placedAt = now;
    auto& added = addRun(m_state, std::move(run));
    stop(added, "no record of it", now);
}

void scheduler_core::stopMissingRuns(const std::string& worker, const worker_report& report, time_point now)
{
    // A run that is not listed may have ended all the same.
    if (report.endsTruncated)
        return;
    const auto isListed = [&](const run_id& id) {
        return std::any_of(report.active.begin(), report.active.end(), [&](const auto& active) { return active.run == id; });
    };
    for (const auto& id : workerOf(m_state, worker).runs) {
        auto& run = m_state.runs.at(id);
        // The list says nothing of other incarnations.
        if (run.life != report.worker.incarnation || run.phase == run_phase::Stopping || isListed(id))
            continue;
        if (!run.missingSince && run.phase == run_phase::Active)
            run.missingSince = now;
        // The report was made under this scheduler's epoch, so no order of an earlier one can take effect on this incarnation any more.
        if (run.restored == restore_state::Unknown)
            run.restored = restore_state::Absent;
        if (run.unconfirmed || (run.phase == run_phase::Active && now - *run.missingSince > missingRunTimeout))
            stop(run, "not at its worker", now);
    }
}

void scheduler_core::setUnreachable(const std::string& worker)
{
    workerOf(m_state, worker).reachable = false;
}

void scheduler_core::finishRun(const run_id& id, run_outcome how, const std::string& checkpoint, time_point now)
{
    const auto found = m_state.runs.find(id);
    if (found == m_state.runs.end())
        return;
    const auto run = removeRun(m_state, found);
    if (run.job == nullptr)
        return;
    updateFaultScore(run, how, now);
    const auto& saved = checkpoint.empty() ? run.checkpoint : checkpoint;
    if (applyEnd(run.job->progress, run.job->job.spec, id, how, saved, run.job->rule.maxAttempts)) {
        if (findTask(run.job->progress, id.task)->status == task_status::Waiting)
            run.job->waits.beginAgain(unitOf(m_state, id.task), now);
        m_changed.insert(id.task.job);
    }
}

void scheduler_core::updateFaultScore(const live_run& run, run_outcome how, time_point now)
{
    auto& worker = *run.host;
    auto& job = *run.job;
    if (how == run_outcome::Done) {
        worker.faultScore = faultScoreOf(worker, now) * faultScoreFactorOnSuccess;
        worker.faultScoreAt = now;
    }
    if (how != run_outcome::Failed)
        return;
    // A job that fails on several workers is taken as the cause itself.
    const bool blamed = job.failedOn.size() < 2 || job.failedOn.contains(run.worker);
    job.failedOn.insert(run.worker);
    if (blamed) {
        worker.faultScore = faultScoreOf(worker, now) + faultScorePerFailure;
        worker.faultScoreAt = now;
    }
}

std::set<std::string> scheduler_core::takeChangedJobs()
{
    return std::exchange(m_changed, {});
}

} // namespace fleet
