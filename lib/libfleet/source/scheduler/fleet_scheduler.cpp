#include <fleet/scheduler/fleet_scheduler.hpp>

#include <fleet/core/backlog_summary.hpp>
#include <fleet/model/unix_time.hpp>
#include <fleet/records/job_codec.hpp>
#include <fleet/scheduler/leadership.hpp>

#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// Decides again at this period, because the passing of time alone changes slack, stragglers and due times.
constexpr milliseconds tickPeriod { 200 };
constexpr milliseconds stopRetryDelay { 400 };
// A job's age is the difference of the clocks of two machines; a larger one means that a clock jumped.
constexpr milliseconds maxJobAge { 600'000 };

constexpr milliseconds loadLogPeriod { 1000 };
constexpr milliseconds sharesLogPeriod { 1000 }; // For each service and priority.
// After a decision this many times its own duration is left to reports, store writes and the renewal of the lease.
constexpr int decisionPauseFactor = 4;
constexpr milliseconds maxDecisionPause { 150 };

double millisecondsSince(std::chrono::steady_clock::time_point began)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count();
}

std::string idOf(const std::string& key, const std::string& prefix)
{
    return key.substr(prefix.size());
}

} // namespace

fleet_scheduler::fleet_scheduler(environment env, std::uint64_t epoch, scheduler_settings settings)
    : m_environment(std::move(env))
    , m_epoch(epoch)
    , m_maxUnansweredRun(settings.directory.agents.maxUnansweredRun() + settings.directory.lossMargin)
    , m_core(settings.core)
    , m_agents(m_environment.loop, epoch, settings.directory,
          { [this](const std::string& agent, const worker_report& report) { handleReport(agent, report); },
              [this](const std::string& agent) {
                  m_reportsBeforeLoad.erase(agent);
                  m_core.setUnreachable(agent);
                  scheduleDecision();
              },
              [this](const std::string& agent) {
                  const auto worker = m_core.state().workers.find(agent);
                  if (worker == m_core.state().workers.end() || worker->second.runs.empty())
                      return;
                  m_core.markWorkerLost(agent, m_environment.loop.timers().now());
                  logLosses();
                  scheduleDecision();
              },
              [this, limit = settings.directory.epochValidity] {
                  return m_environment.clock() - m_environment.leadershipConfirmedAt() < limit;
              },
              [this](const std::string& agent) { m_environment.leadershipLost("no connections to " + agent + " are left in this epoch"); } })
    , m_writer(m_environment.store, m_environment.loop.timers(), m_environment.clock, static_cast<revision_number>(epoch),
          { [this](const std::string& job) {
               // This write includes all starts decided so far.
               auto& starts = m_pendingStarts[job];
               std::for_each(starts.begin(), starts.end(), [](auto& start) { start.writeSent = true; });
               const auto* found = m_core.findJob(job);
               return found == nullptr ? progress_writer::source {}
                                       : progress_writer::source { &found->progress, found->job.queue };
           },
              [this](const std::string& job) { recorded(job); }, m_environment.leadershipLost,
              m_environment.leadershipConfirmed })
    , m_jobs(m_environment.store, m_environment.loop.timers(), record_keys::jobs)
    , m_progress(m_environment.store, m_environment.loop.timers(), record_keys::progress)
    , m_cancels(m_environment.store, m_environment.loop.timers(), record_keys::cancels)
    , m_backlog(m_environment.store, m_environment.metrics, static_cast<revision_number>(epoch))
{
}

fleet_scheduler::~fleet_scheduler()
{
    *m_alive = false;
    m_environment.loop.timers().cancel(m_tickSubscription);
}

void fleet_scheduler::start(configuration rules, std::set<std::string> domainsOut)
{
    m_core.configure(std::move(rules));
    m_core.setDomainsOut(std::move(domainsOut));
    m_jobs.start(
        [this](const record_change& change) {
            if (m_ready && !change.removed)
                loadJob(change.item);
        },
        [this] { startWhenLoaded(); });
    // Progress is read once, because only this scheduler writes it from here on.
    m_progress.loadOnce([this] { startWhenLoaded(); });
    m_cancels.start(
        [this](const record_change& change) {
            if (m_ready && !change.removed)
                applyCancel(change.item.key);
        },
        [this] { startWhenLoaded(); });
    m_tickSubscription = m_environment.loop.timers().subscribeEvery(tickPeriod, [this](time_point) { tick(); });
}

void fleet_scheduler::startWhenLoaded()
{
    if (m_ready || !m_jobs.loaded() || !m_progress.loaded() || !m_cancels.loaded())
        return;
    m_ready = true;
    restoreJobs();
    for (const auto& [name, worker] : m_core.state().workers)
        m_agents.track(name);
    const auto earlyReports = std::exchange(m_reportsBeforeLoad, {});
    for (const auto& [agent, report] : earlyReports)
        handleReport(agent, report);
    oriole::logEvent(oriole::log_level::Info, "records_loaded",
        { { "epoch", m_epoch }, { "jobs", m_core.state().jobs.size() }, { "live_runs", m_core.state().runs.size() },
            { "agents_connected", m_agents.connected() } });
    scheduleDecision();
}

void fleet_scheduler::restoreJobs()
{
    for (const auto& [key, item] : m_progress.records()) {
        const auto progress = decodeProgress(item.value);
        // Without a state the status record is written again, which repairs one that the previous scheduler left outdated.
        m_writer.restore(idOf(key, record_keys::progress), item.revision,
            progress && isFinal(progress->state) ? std::optional(progress->state) : std::nullopt);
    }
    for (const auto& [key, item] : m_jobs.records())
        loadJob(item);
    for (const auto& [key, item] : m_cancels.records())
        applyCancel(key);
}

void fleet_scheduler::loadJob(const record& item)
{
    auto job = decodeJob(item.value);
    if (!job) {
        oriole::logEvent(oriole::log_level::Error, "job_record_unreadable", { { "key", item.key } });
        return;
    }
    const auto id = job->id;
    job_progress progress;
    if (const auto recorded = m_progress.records().find(record_keys::progress + id); recorded != m_progress.records().end()) {
        auto decoded = decodeProgress(recorded->second.value);
        // What ran of the job is not known, so starting it could run it twice. An operator has to repair the record.
        if (!decoded || !fitsJob(*decoded, job->spec)) {
            oriole::logEvent(oriole::log_level::Error, "progress_record_unreadable", { { "job", id } });
            return;
        }
        progress = std::move(*decoded);
    }
    const auto now = m_environment.loop.timers().now();
    const auto age = std::clamp(milliseconds(unixMilliseconds() - job->acceptedUnixMs), milliseconds(0), maxJobAge);
    oriole::logEvent(oriole::log_level::Info, "job_loaded",
        { { "job", id }, { "queue", job->queue }, { "age_ms", age.count() }, { "steps", job->spec.steps.size() },
            { "state", toString(progress.state) } });
    m_core.addJob(std::move(*job), std::move(progress), now - age, now);
    // The scheduler that recorded a run may have ordered it until this one took over.
    const auto& runs = m_core.state().runs;
    for (auto run = runs.lower_bound({ { id, 0, 0, 0 }, 0 }); run != runs.end() && run->first.task.job == id; ++run) {
        if (run->second.restored == restore_state::Unknown)
            m_core.startOrdered(run->first, now + m_maxUnansweredRun);
    }
    // Jobs and cancellations are watched independently, so a cancellation may have arrived before its job.
    if (m_cancels.records().contains(record_keys::cancels + id))
        m_core.cancelJob(id);
    scheduleDecision();
}

void fleet_scheduler::applyCancel(const std::string& key)
{
    const auto id = idOf(key, record_keys::cancels);
    oriole::logEvent(oriole::log_level::Info, "job_cancel_received", { { "job", id } });
    m_core.cancelJob(id);
    scheduleDecision();
}

void fleet_scheduler::configure(configuration rules)
{
    m_core.configure(std::move(rules));
    scheduleDecision();
}

void fleet_scheduler::setBounds(const platform_bounds& bounds)
{
    m_core.setBounds(bounds);
    scheduleDecision();
}

void fleet_scheduler::setDomainsOut(std::set<std::string> domains)
{
    m_core.setDomainsOut(std::move(domains));
    scheduleDecision();
}

void fleet_scheduler::announce(const std::string& agent, const std::string& address)
{
    m_agents.announce(agent, address);
}

void fleet_scheduler::forget(const std::string& agent)
{
    m_agents.forget(agent);
}

void fleet_scheduler::handleReport(const std::string& agent, const worker_report& report)
{
    // Before the records are loaded, all runs of a report would look unrecorded. It is kept for then, since the next
    // report may come only a second later.
    if (!m_ready) {
        m_reportsBeforeLoad[agent] = report;
        return;
    }
    const auto began = std::chrono::steady_clock::now();
    for (const auto& ended : report.ended) {
        if (!m_ends[agent].jobs.contains(ended.number) || m_ends[agent].life != report.worker.incarnation) {
            oriole::logEvent(oriole::log_level::Info, "run_ended",
                { { "task", toString(ended.run.task) }, { "attempt", ended.run.attempt }, { "how", toString(ended.outcome) },
                    { "agent", agent } });
            m_environment.metrics.counter("oriole_run_ends_total", { { "how", std::string(toString(ended.outcome)) } }).add();
        }
    }
    const bool news = m_core.canChangeDecision(agent, report);
    m_core.applyReport(agent, report, m_environment.loop.timers().now());
    logLosses();
    trackEnds(agent, report);
    for (const auto& job : m_core.takeChangedJobs())
        m_writer.markDirty(job);
    acknowledgeEnds(agent);
    // The agent is reachable, so stop orders that were not answered are sent again.
    const auto& state = m_core.state();
    for (const auto& id : state.workers.at(agent).runs) {
        if (state.runs.at(id).phase == run_phase::Stopping && !m_pendingStops.contains(id))
            sendStop(id);
    }
    ++m_load.reports;
    m_load.reportMs += millisecondsSince(began);
    // A report that changes nothing but progress is considered at the next tick.
    if (news)
        scheduleDecision();
}

void fleet_scheduler::trackEnds(const std::string& agent, const worker_report& report)
{
    auto& ends = m_ends[agent];
    if (ends.life != report.worker.incarnation)
        ends = { report.worker.incarnation, {}, 0 };
    bool acknowledgementLost = false;
    for (const auto& ended : report.ended) {
        if (ended.number > ends.acknowledged)
            ends.jobs.try_emplace(ended.number, ended.run.task.job);
        else
            acknowledgementLost = true;
    }
    if (acknowledgementLost)
        m_agents.acknowledge(agent, ends.life, ends.acknowledged);
}

void fleet_scheduler::acknowledgeEnds(const std::string& agent)
{
    auto& ends = m_ends[agent];
    std::uint64_t upTo = ends.acknowledged;
    while (!ends.jobs.empty()) {
        const auto first = ends.jobs.begin();
        if (!m_writer.isClean(first->second))
            break;
        upTo = first->first;
        ends.jobs.erase(first);
    }
    if (upTo == ends.acknowledged)
        return;
    ends.acknowledged = upTo;
    m_agents.acknowledge(agent, ends.life, upTo);
}

void fleet_scheduler::scheduleDecision()
{
    if (m_decisionDue)
        return;
    m_decisionDue = true;
    const auto pause = std::chrono::ceil<milliseconds>(m_nextDecisionAt - m_environment.loop.timers().now());
    if (pause.count() > 0) {
        m_environment.loop.timers().subscribeOnce(pause, [this, alive = m_alive](time_point) {
            if (*alive)
                decide();
        });
        return;
    }
    m_environment.loop.detach("decide", kj::evalLater([this, alive = m_alive] {
        if (*alive)
            decide();
    }));
}

/// After the lease may have ended another entry may decide. Until the store confirms the epoch again nothing new is decided:
/// it could not be recorded, and evictions would be for work that can't start.
bool fleet_scheduler::isEpochConfirmed()
{
    const auto age = std::chrono::duration_cast<milliseconds>(m_environment.clock() - m_environment.leadershipConfirmedAt());
    const bool suspended = age > leaseTtl;
    if (suspended != m_decisionsSuspended) {
        m_decisionsSuspended = suspended;
        oriole::logEvent(oriole::log_level::Warning, suspended ? "decisions_suspended" : "decisions_resumed",
            { { "epoch", m_epoch }, { "confirmed_ms_ago", age.count() }, { "loop_delay_ms", m_load.longestDelay.count() },
                { "decision_ms", m_load.decisionMs }, { "longest_decision_ms", m_load.longestDecisionMs },
                { "report_ms", m_load.reportMs }, { "perform_ms", m_load.performMs } });
    }
    return !suspended;
}

void fleet_scheduler::decide()
{
    m_decisionDue = false;
    if (!m_ready || !isEpochConfirmed())
        return;
    const auto began = std::chrono::steady_clock::now();
    const auto effects = m_core.decide(m_environment.loop.timers().now(), unixMilliseconds());
    const auto tookMs = millisecondsSince(began);
    ++m_load.decisions;
    m_load.decisionMs += tookMs;
    m_load.longestDecisionMs = std::max(m_load.longestDecisionMs, tookMs);
    m_environment.metrics.summary("oriole_decision_milliseconds").observe(tookMs);
    for (const auto& job : m_core.takeChangedJobs())
        m_writer.markDirty(job);
    for (const auto& deferral : m_core.takeDeferrals())
        report(deferral);
    for (const auto& order : m_core.fairOrders())
        report(order);
    for (const auto& departure : m_core.takeDepartures())
        report(departure);
    for (const auto& entry : effects)
        std::visit([this](const auto& order) { perform(order); }, entry);
    const auto wholeMs = millisecondsSince(began);
    m_load.performMs += wholeMs - tookMs;
    const auto pause = std::min(maxDecisionPause, milliseconds(static_cast<std::int64_t>(wholeMs * decisionPauseFactor)));
    m_nextDecisionAt = m_environment.loop.timers().now() + pause;
}

void fleet_scheduler::perform(const start_effect& order)
{
    oriole::logEvent(oriole::log_level::Info, "run_placed",
        { { "task", toString(order.run.task) }, { "attempt", order.run.attempt }, { "agent", order.worker },
            { "spread", order.slowdown }, { "slack_ms", order.slack.count() }, { "resumes", !order.checkpoint.empty() },
            { "waited_ms", order.waited.count() }, { "within_guarantee", order.withinGuarantee },
            { "recorded", order.isRecorded } });
    m_environment.metrics.counter("oriole_starts_total").add();
    if (order.isRecorded)
        return sendStart(order);
    if (order.run.attempt == 1)
        m_environment.metrics.summary("oriole_placement_wait_milliseconds",
                                 { { "within_guarantee", order.withinGuarantee ? "true" : "false" } })
            .observe(static_cast<double>(order.waited.count()));
    m_pendingStarts[order.run.task.job].push_back({ order, false });
}

void fleet_scheduler::perform(const stop_effect& order)
{
    oriole::logEvent(oriole::log_level::Info, "stopping",
        { { "task", toString(order.run.task) }, { "attempt", order.run.attempt }, { "agent", order.worker },
            { "reason", order.reason }, { "percent", order.percent }, { "rate", order.ratePercent },
            { "loss_core_seconds", order.lossCoreSeconds } });
    m_environment.metrics.counter("oriole_stops_total", { { "reason", order.reason } }).add();
    // A start order that was not sent yet is dropped, and no stop order is needed.
    auto& starts = m_pendingStarts[order.run.task.job];
    const auto unsent = std::find_if(starts.begin(), starts.end(), [&](const auto& start) { return start.order.run == order.run; });
    if (unsent != starts.end()) {
        starts.erase(unsent);
        m_core.confirmRunAbsent(order.run, m_environment.loop.timers().now(), loss_reason::NotOrdered);
        logLosses();
        scheduleDecision();
        return;
    }
    sendStop(order.run);
}

void fleet_scheduler::report(const placement_deferral& deferral)
{
    const auto& unit = deferral.unit;
    oriole::logEvent(oriole::log_level::Info, "placement_deferred",
        { { "task", toString(task_id { unit.job, unit.occurrence, unit.step, unit.index }) },
            { "reason", toString(deferral.reason) }, { "within_guarantee", deferral.withinGuarantee },
            { "remote_allowed", deferral.remoteAllowed }, { "waited_ms", deferral.waited.count() },
            { "max_wait_ms", deferral.maxWait.count() }, { "victims", deferral.victims },
            { "loss_core_seconds", deferral.cost }, { "awaited_runs", deferral.awaitedRuns },
            { "last_awaited", deferral.lastAwaited ? toString(deferral.lastAwaited->task) : std::string() },
            { "last_awaited_percent", deferral.lastAwaitedPercent }, { "last_awaited_rate", deferral.lastAwaitedRate } });
    m_environment.metrics.counter("oriole_deferrals_total", { { "reason", std::string(toString(deferral.reason)) } }).add();
}

/// While organisations compete every decision follows their shares, so the line is written once a second at most.
void fleet_scheduler::report(const fair_order& order)
{
    const auto priority = std::to_string(order.priority);
    m_environment.metrics.counter("oriole_fair_orders_total", { { "service", order.service }, { "priority", priority } }).add();
    const auto now = m_environment.loop.timers().now();
    const auto [logged, added] = m_sharesLoggedAt.try_emplace({ order.service, order.priority }, now);
    if (!added && now - logged->second < sharesLogPeriod)
        return;
    logged->second = now;
    oriole::logEvent(oriole::log_level::Info, "shares_applied",
        { { "service", order.service }, { "priority", order.priority }, { "organisations", order.organisations },
            { "units", order.units }, { "smallest", order.smallest }, { "smallest_share", order.smallestShare },
            { "largest", order.largest }, { "largest_share", order.largestShare } });
}

void fleet_scheduler::report(const departure_decision& decision)
{
    const auto& [unit, choice, searched, reserved] = decision;
    const auto& id = unit.order.unit;
    oriole::logEvent(oriole::log_level::Info, "departure_decided",
        { { "task", toString(task_id { id.job, id.occurrence, id.step, id.index }) }, { "choice", toString(choice) },
            { "agent", unit.worker }, { "time_left_ms", unit.timeLeft.count() }, { "remaining_ms", unit.remaining.count() },
            { "restart_ms", unit.restartTime.count() }, { "saves_progress", unit.savesProgress }, { "searched", searched },
            { "place_reserved", reserved } });
    m_environment.metrics.counter("oriole_departures_total", { { "choice", std::string(toString(choice)) } }).add();
}

void fleet_scheduler::logLosses()
{
    for (const auto& loss : m_core.takeLosses()) {
        oriole::logEvent(oriole::log_level::Warning, "run_lost",
            { { "task", toString(loss.run.task) }, { "attempt", loss.run.attempt }, { "agent", loss.worker },
                { "instance", loss.life.instance }, { "born_unix_ms", loss.life.startedUnixMs }, { "reason", toString(loss.reason) },
                { "active", loss.wasActive }, { "placed_ms_ago", loss.sincePlaced.count() },
                { "reported_ms_ago", loss.sinceReported.count() } });
        m_environment.metrics.counter("oriole_run_losses_total", { { "reason", std::string(toString(loss.reason)) } }).add();
    }
}

void fleet_scheduler::recorded(const std::string& job)
{
    logFinished(job);
    auto waiting = std::exchange(m_pendingStarts[job], {});
    for (const auto& start : waiting) {
        if (start.writeSent)
            sendStart(start.order);
        else
            m_pendingStarts[job].push_back(start);
    }
    if (m_pendingStarts[job].empty())
        m_pendingStarts.erase(job);
    for (auto& [agent, ends] : m_ends)
        acknowledgeEnds(agent);
}

void fleet_scheduler::logFinished(const std::string& id)
{
    const auto* job = m_core.findJob(id);
    if (job == nullptr || !isFinal(job->progress.state) || !m_loggedFinished.insert(id).second)
        return;
    m_environment.metrics.counter("oriole_jobs_finished_total", { { "state", std::string(toString(job->progress.state)) } })
        .add();
    const auto& rule = job->rule;
    const auto age = std::chrono::duration_cast<milliseconds>(m_environment.loop.timers().now() - job->acceptedAt);
    oriole::logEvent(oriole::log_level::Info, "job_finished",
        { { "job", id }, { "queue", job->job.queue }, { "priority", rule.priority }, { "state", toString(job->progress.state) },
            { "age_ms", age.count() }, { "objective_ms", objectiveOf(*job).count() } });
}

void fleet_scheduler::logLoad(time_point now)
{
    if (m_tickedAt != time_point {})
        m_load.longestDelay = std::max(m_load.longestDelay, std::chrono::duration_cast<milliseconds>(now - m_tickedAt) - tickPeriod);
    m_tickedAt = now;
    if (m_load.since != time_point {} && now - m_load.since < loadLogPeriod)
        return;
    const auto& state = m_core.state();
    oriole::logEvent(oriole::log_level::Info, "scheduler_load",
        { { "epoch", m_epoch }, { "jobs", state.jobs.size() }, { "live_runs", state.runs.size() },
            { "agents_connected", m_agents.connected() }, { "decisions", m_load.decisions }, { "decision_ms", m_load.decisionMs },
            { "longest_decision_ms", m_load.longestDecisionMs }, { "perform_ms", m_load.performMs }, { "reports", m_load.reports },
            { "report_ms", m_load.reportMs }, { "loop_delay_ms", m_load.longestDelay.count() } });
    m_load = { now };
}

void fleet_scheduler::sendStart(const start_effect& order)
{
    const auto& runs = m_core.state().runs;
    const auto run = runs.find(order.run);
    if (run == runs.end() || run->second.phase != run_phase::Placed)
        return;
    const auto* job = m_core.findJob(order.run.task.job);
    m_core.startOrdered(order.run, m_environment.loop.timers().now() + m_maxUnansweredRun);
    start_order message { order.run, job->job.spec.text, order.checkpoint };
    m_agents.start(order.worker, order.life, message,
        [this, id = order.run, alive = m_alive](start_outcome outcome, const std::string& reason) {
            if (!*alive)
                return;
            const auto now = m_environment.loop.timers().now();
            if (outcome == start_outcome::Accepted)
                return m_core.startAccepted(id, now);
            oriole::logEvent(oriole::log_level::Info, "start_not_accepted",
                { { "task", toString(id.task) }, { "attempt", id.attempt }, { "reason", reason },
                    { "outcome", toString(outcome) } });
            if (outcome == start_outcome::Refused)
                m_core.startRefused(id, reason == "room", now);
            else
                m_core.markStartUnconfirmed(id);
            logLosses();
            scheduleDecision();
        });
}

void fleet_scheduler::sendStop(const run_id& id)
{
    const auto& runs = m_core.state().runs;
    const auto run = runs.find(id);
    if (run == runs.end())
        return;
    m_pendingStops.insert(id);
    m_agents.stop(run->second.worker, run->second.life, id, [this, id, alive = m_alive](stop_outcome outcome) {
        if (!*alive)
            return;
        if (outcome == stop_outcome::Absent) {
            m_pendingStops.erase(id);
            m_core.confirmRunAbsent(id, m_environment.loop.timers().now());
            logLosses();
            return scheduleDecision();
        }
        const bool ending = outcome == stop_outcome::Ending;
        m_environment.loop.timers().subscribeOnce(ending ? m_core.state().limits.endReportTimeout : stopRetryDelay, [this, id, alive](time_point) {
            if (!*alive)
                return;
            m_pendingStops.erase(id);
            sendStop(id);
        });
    });
}

void fleet_scheduler::tick()
{
    const auto now = m_environment.loop.timers().now();
    logLoad(now);
    if (m_ready)
        m_backlog.update(now, [this, now] { return summarizeBacklog(m_core.state(), now); });
    m_agents.check(now);
    std::erase_if(m_pendingStops, [this](const run_id& id) { return !m_core.state().runs.contains(id); });
    scheduleDecision();
}

} // namespace fleet
