#include <oriole/agent/task_manager.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds tickPeriod { 20 };
constexpr milliseconds renewalPeriod { 250 };
constexpr milliseconds retryPeriod { 200 };
constexpr milliseconds startPatience { 2000 };
constexpr milliseconds releasePatience { 2000 };
constexpr milliseconds recoverRetry { 500 };

// The lead holds an answer back that long when it has nothing new to tell. Both are well below the task lease.
constexpr milliseconds holdBeforeStart { 200 };
constexpr milliseconds holdWhileRunning { 1000 };
// A member that has been silent for longer may be cut off, and would miss the start of its gang.
constexpr milliseconds startRecency { 500 };

// A task above this part of its declared memory is throttled, and above the second one evicted.
constexpr unsigned throttleAtPercent = 150;
constexpr unsigned evictAtPercent = 200;
constexpr unsigned throttleToPercent = 50;

enum class task_state {
    None, ///< Not started.
    Starting,
    Running,
    Stopping,
    Ended,
};

nlohmann::json logFields(const attempt& subject)
{
    return { { "attempt", toString(subject.id) }, { "organisation", subject.id.organisation },
        { "epoch", subject.epoch }, { "guaranteed", subject.guaranteed }, { "urgent", subject.urgent },
        { "workers", subject.allocations.size() } };
}

task_phase phaseOf(runtime_state state)
{
    switch (state) {
    case runtime_state::Running:
        return task_phase::Running;
    case runtime_state::Finished:
        return task_phase::Finished;
    case runtime_state::Failed:
        return task_phase::Failed;
    case runtime_state::Stopped:
        return task_phase::Evicted;
    case runtime_state::Expired:
    case runtime_state::Unknown:
        return task_phase::Lost;
    }
    return task_phase::Lost;
}

// A member stopped because another one failed has not failed itself.
task_phase endAsMember(task_phase gangEnd)
{
    return gangEnd == task_phase::Lost ? task_phase::Lost : task_phase::Evicted;
}

} // namespace

struct task_manager::run {
    struct held_answer {
        gang_handler done;
        time_point due;
        gang_answer known; ///< What the member was told or knew when it asked.
    };

    oriole::attempt attempt;
    allocation share;
    std::string taskId;
    std::optional<gang_lead> gang; ///< Set at the lead.
    std::vector<held_answer> held;
    gang_answer announced; ///< What the members were last told.

    bool heartbeatInFlight = false;
    time_point nextHeartbeat;
    time_point lastContact; ///< When the last heartbeat was sent that the lead answered.
    std::optional<task_phase> told; ///< Last phase that the lead has answered to.

    task_state state = task_state::None;
    bool callInFlight = false;
    time_point nextCall;
    time_point startDeadline;
    time_point lastRenewed; ///< Last time the runtime answered a renewal.
    time_point leaseEnds; ///< From then on the runtime has stopped an unrenewed task.
    task_phase endPhase = task_phase::Lost;
    std::string endReason;
    time_point endedAt;
    bool throttled = false;
    bool startUncertain = false; ///< A start call may have taken effect.
};

struct task_manager::pending_reserve {
    attempt_id id;
    reserve_handler done;
};

struct task_manager::pending_release {
    std::vector<attempt_id> ids;
    std::vector<task_report> unknown; ///< Reports of attempts that the ledger does not hold.
    reports_handler done;
    time_point deadline;
};

task_manager::task_manager(std::string worker, unsigned accelerators, timer_service& timers, runtime_client& runtime,
    peer_gateway& peers, const agent_view& view)
    : m_worker(std::move(worker))
    , m_timers(timers)
    , m_runtime(runtime)
    , m_peers(peers)
    , m_view(view)
    , m_ledger(m_worker, accelerators)
    , m_alive(std::make_shared<bool>(true))
    , m_evictionGrace(view.limits().evictionGrace)
{
    m_tick = m_timers.subscribeEvery(tickPeriod, [this](time_point) { tick(); });
}

task_manager::~task_manager()
{
    m_timers.cancel(m_tick);
}

void task_manager::recover()
{
    m_runtime.list([this, alive = std::weak_ptr(m_alive)](const result<std::vector<labelled_task>>& found) {
        if (alive.expired())
            return;
        if (!found) {
            logEvent(log_level::Warning, "recovery_failed", { { "error", found.error().reason } });
            m_timers.subscribeOnce(recoverRetry, [this, alive](time_point) {
                if (!alive.expired())
                    recover();
            });
            return;
        }
        for (const auto& task : found.value())
            adopt(task);
        m_recovered = true;
        logEvent(log_level::Info, "recovered", { { "tasks", found.value().size() } });
        if (m_onRecovered)
            m_onRecovered();
        publish();
    });
}

void task_manager::reserve(const attempt& wanted, milliseconds ttl, bool evictBorrowed, reserve_handler done)
{
    ++m_counters.reservations;
    reservation_answer answer;
    const auto closed = m_recovered ? m_view.refusal(now()) : "tasks of an earlier process are not known yet";
    if (closed.has_value()) {
        answer.reason = *closed;
        answer.epoch = m_ledger.fence(wanted.id.organisation, 0);
        answer.mayHaveRun = m_ledger.mayHaveRun(wanted.id);
    } else {
        answer = m_ledger.reserve(wanted, ttl, evictBorrowed, now());
    }

    auto fields = logFields(wanted);
    fields["state"] = answer.state == reservation_state::Accepted ? "accepted"
        : answer.state == reservation_state::Waiting              ? "waiting"
                                                                  : "refused";
    fields["reason"] = answer.reason;
    fields["evicts"] = answer.evict.size();
    logEvent(log_level::Info, "reservation", fields);

    if (answer.state == reservation_state::Refused)
        ++m_counters.reservationsRefused;
    if (answer.state != reservation_state::Waiting) {
        done(answer);
        publish();
        return;
    }

    m_pendingReserves.push_back({ wanted.id, std::move(done) });
    for (const auto& id : answer.evict) {
        if (const auto task = findRun(id))
            evictRun(task, "evicted for " + toString(wanted.id));
    }
    publish();
}

commit_answer task_manager::commit(const attempt_id& id, std::uint64_t epoch)
{
    if (const auto closed = m_view.refusal(now()); closed && !m_ledger.mayHaveRun(id)) {
        logEvent(log_level::Info, "commit_refused", { { "attempt", toString(id) }, { "reason", *closed } });
        return { false, *closed, !m_recovered };
    }

    auto answer = m_ledger.commit(id, epoch, now());
    logEvent(log_level::Info, answer.accepted ? "committed" : "commit_refused",
        { { "attempt", toString(id) }, { "epoch", epoch }, { "reason", answer.reason } });

    const auto* entry = m_ledger.find(id);
    if (answer.accepted && entry != nullptr && entry->phase == task_phase::Committed && findRun(id) == nullptr)
        advance(addRun(entry->attempt, entry->share));
    publish();
    return answer;
}

void task_manager::release(
    const std::vector<attempt_id>& ids, std::uint64_t epoch, const std::string& reason, reports_handler done)
{
    pending_release pending { {}, {}, std::move(done), now() + releasePatience };
    for (const auto& id : ids) {
        const auto reports = m_ledger.release(id, epoch, reason, now());
        if (reports.empty())
            continue;
        logEvent(log_level::Info, "released",
            { { "attempt", toString(id) }, { "reason", reason }, { "phase", toString(reports.front().phase) },
                { "may_have_run", reports.front().mayHaveRun } });
        if (m_ledger.find(id) == nullptr) {
            pending.unknown.push_back(reports.front());
            pending.unknown.back().mayHaveRun |= !m_recovered;
            continue;
        }
        pending.ids.push_back(id);
        const auto task = findRun(id);
        if (task == nullptr)
            continue;
        if (task->gang.has_value())
            task->gang->end(reports.front().mayHaveRun ? task_phase::Evicted : task_phase::Released, reason);
        stopRun(task, task_phase::Evicted, reason, false);
        advance(task);
    }
    m_pendingReleases.push_back(std::move(pending));
    publish();
}

std::vector<task_report> task_manager::fence(const std::string& organisation, std::uint64_t& epoch)
{
    epoch = m_ledger.fence(organisation, epoch);
    std::vector<task_report> held;
    for (const auto& report : m_ledger.reports(now())) {
        if (report.attempt.id.organisation == organisation)
            held.push_back(report);
    }
    logEvent(log_level::Info, "fenced",
        { { "organisation", organisation }, { "epoch", epoch }, { "attempts", held.size() } });
    return held;
}

void task_manager::evict(const std::vector<attempt_id>& ids, milliseconds grace, const std::string& reason)
{
    if (grace > milliseconds::zero())
        m_evictionGrace = grace;
    for (const auto& id : ids) {
        const auto* entry = m_ledger.find(id);
        if (entry == nullptr || isEnd(entry->phase))
            continue;
        if (entry->attempt.guaranteed && !m_view.isOut()) {
            logEvent(log_level::Warning, "eviction_refused", { { "attempt", toString(id) }, { "reason", reason } });
            continue;
        }
        if (!entry->mayHaveRun)
            m_ledger.end(id, task_phase::Released, reason);
        if (const auto task = findRun(id))
            evictRun(task, reason);
    }
    publish();
}

void task_manager::gangHeartbeat(
    const attempt_id& id, const std::string& worker, task_phase phase, gang_handler done)
{
    if (!m_recovered) {
        done(notRun(failure_kind::Unavailable, "tasks of an earlier process are not known yet"));
        return;
    }

    const auto task = findRun(id);
    const auto* entry = m_ledger.find(id);
    if (task == nullptr || !task->gang.has_value()) {
        if (entry == nullptr)
            done(gang_answer { task_phase::Lost, "the lead does not know the attempt" });
        else
            done(gang_answer { isEnd(entry->phase) ? entry->phase : task_phase::Committed, entry->reason });
        return;
    }

    const auto before = task->gang->answer();
    task->gang->heard(worker, phase, "", now());
    advance(task);
    const auto after = task->gang->answer();
    const bool knows = after == before && !task->gang->ended()
        && (phase == after.phase || (phase == task_phase::Finished && after.phase == task_phase::Running));
    if (knows) {
        const auto hold = task->gang->started() ? holdWhileRunning : holdBeforeStart;
        task->held.push_back({ std::move(done), now() + hold, after });
    } else {
        done(after);
    }
    publish();
}

void task_manager::evictAll(milliseconds grace, const std::string& reason)
{
    m_evictionGrace = grace;
    std::vector<attempt_id> active;
    for (const auto& [id, entry] : m_ledger.entries()) {
        if (!isEnd(entry.phase))
            active.push_back(id);
    }
    for (const auto& id : active) {
        if (!m_ledger.find(id)->mayHaveRun)
            m_ledger.end(id, task_phase::Released, reason);
        if (const auto task = findRun(id))
            evictRun(task, reason);
    }
    publish();
}

void task_manager::acknowledge(const std::vector<attempt_id>& ids)
{
    for (const auto& id : ids) {
        const auto* entry = m_ledger.find(id);
        if (entry != nullptr && isEnd(entry->phase) && entry->mayHaveRun)
            m_recordsToForget.push_back(toString(id));
    }
    m_ledger.forget(ids);
    forgetRecords();
    publish();
}

void task_manager::viewChanged()
{
    m_evictionGrace = m_view.limits().evictionGrace;
    m_ledger.setOut(m_view.isOut());
    tick();
}

std::vector<task_report> task_manager::reports() const
{
    return m_ledger.reports(now());
}

bool task_manager::idle() const
{
    const auto& held = m_ledger.entries();
    return std::all_of(held.begin(), held.end(), [](const auto& item) { return isEnd(item.second.phase); });
}

task_manager::run_ref task_manager::findRun(const attempt_id& id) const
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? nullptr : found->second;
}

task_manager::run_ref task_manager::addRun(const attempt& attempt, const allocation& share)
{
    auto task = std::make_shared<run>();
    task->attempt = attempt;
    task->share = share;
    task->taskId = toString(attempt.id);
    task->lastContact = now();
    task->nextHeartbeat = now();
    task->lastRenewed = now();
    task->leaseEnds = now() + lease();
    if (attempt.allocations.front().worker == m_worker) {
        task->gang.emplace(attempt, m_worker, now());
        task->gang->heard(m_worker, task_phase::Committed, "", now());
    }
    m_runs[attempt.id] = task;
    return task;
}

void task_manager::tick()
{
    if (m_runs.empty() && m_ledger.entries().empty() && m_pendingReleases.empty())
        return;

    m_ledger.expire(now());
    const auto runs = m_runs;
    for (const auto& [id, task] : runs)
        advance(task);
    renewLeases();
    dropRuns();
    publish();
}

void task_manager::publish()
{
    answerPending();
    if (m_published == m_ledger.version())
        return;
    m_published = m_ledger.version();
    if (m_changed)
        m_changed();
}

void task_manager::advance(const run_ref& task)
{
    noteEnd(task);
    if (task->gang.has_value())
        advanceLead(task);
    else
        advanceMember(task);

    if (task->callInFlight || task->nextCall > now())
        return;
    if (task->state == task_state::Starting)
        startOrGiveUp(task);
    else if (task->state == task_state::Stopping)
        stopTask(task);
}

// The ledger ends what has not started by itself: on expiry, eviction, release, or when the failure domain goes out.
void task_manager::noteEnd(const run_ref& task)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    if (entry == nullptr || !isEnd(entry->phase) || task->state == task_state::Ended)
        return;
    task->state = task_state::Ended;
    task->endPhase = entry->phase;
    task->endedAt = now();
    task->nextHeartbeat = now();
}

void task_manager::advanceLead(const run_ref& task)
{
    auto& gang = *task->gang;
    const auto* entry = m_ledger.find(task->attempt.id);
    if (!gang.ended().has_value() && entry != nullptr && isEnd(entry->phase))
        gang.end(entry->phase, entry->reason);

    gang.checkSilence(now(), lease());
    if (gang.readyToStart(now(), startRecency)) {
        if (const auto closed = m_view.refusal(now())) {
            gang.end(task_phase::Released, *closed);
        } else if (!m_ledger.allowStart(task->attempt.id)) {
            gang.end(task_phase::Released, "the lead may not start it");
        } else {
            gang.start();
            logEvent(log_level::Info, "gang_start", logFields(task->attempt));
            task->state = task_state::Starting;
            task->startDeadline = now() + startPatience;
        }
    }

    if (const auto ended = gang.ended()) {
        if (ended->phase == task_phase::Finished)
            endRun(task, task_phase::Finished, "");
        else
            stopRun(task, ended->phase, ended->reason, ended->phase == task_phase::Evicted);
    }
    const bool changed = gang.answer() != task->announced;
    task->announced = gang.answer();
    answerMembers(task, changed);
}

void task_manager::answerMembers(const run_ref& task, bool changed)
{
    std::vector<run::held_answer> ready;
    const auto notYet = [&](const run::held_answer& answer) { return !changed && answer.due > now(); };
    const auto split = std::stable_partition(task->held.begin(), task->held.end(), notYet);
    ready.assign(std::make_move_iterator(split), std::make_move_iterator(task->held.end()));
    task->held.erase(split, task->held.end());
    for (const auto& answer : ready)
        answer.done(task->gang->answer());
}

void task_manager::advanceMember(const run_ref& task)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    const bool over = entry == nullptr || isEnd(entry->phase);
    if (!over && now() - task->lastContact >= lease())
        stopRun(task, task_phase::Lost, "the lead of the gang is silent", false);
    if (!task->heartbeatInFlight && task->nextHeartbeat <= now())
        sendHeartbeat(task);
}

void task_manager::sendHeartbeat(const run_ref& task)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    const auto phase = entry == nullptr ? task->endPhase : entry->phase;
    // A finished member goes on telling while its end is not acknowledged, for a lead that restarts.
    const bool goesOn = phase == task_phase::Finished && entry != nullptr;
    if (task->told == phase && isEnd(phase) && !goesOn)
        return;

    task->heartbeatInFlight = true;
    const auto sentAt = now();
    m_peers.heartbeat(task->attempt.allocations.front().rpc, task->attempt.id, m_worker, phase,
        [this, task, sentAt, phase, alive = std::weak_ptr(m_alive)](const result<gang_answer>& answer) {
            if (!alive.expired())
                heartbeatAnswered(task, sentAt, phase, answer);
        });
}

void task_manager::heartbeatAnswered(
    const run_ref& task, time_point sentAt, task_phase told, const result<gang_answer>& answer)
{
    task->heartbeatInFlight = false;
    if (!answer) {
        task->nextHeartbeat = now() + retryPeriod;
        return;
    }

    task->told = told;
    task->lastContact = sentAt;
    followLead(task, sentAt, answer.value());

    const auto* entry = m_ledger.find(task->attempt.id);
    const bool newPhase = entry != nullptr && entry->phase != told;
    const auto period = told >= task_phase::Running ? holdWhileRunning : holdBeforeStart;
    task->nextHeartbeat = newPhase ? now() : sentAt + period;
    advance(task);
    publish();
}

void task_manager::followLead(const run_ref& task, time_point sentAt, const gang_answer& answer)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    if (entry == nullptr || isEnd(entry->phase))
        return;

    if (isEnd(answer.phase)) {
        const auto reason = "the gang has ended: " + std::string(toString(answer.phase))
            + (answer.reason.empty() ? "" : ", " + answer.reason);
        stopRun(task, endAsMember(answer.phase), reason, answer.phase == task_phase::Evicted);
        return;
    }
    if (answer.phase != task_phase::Running || task->state != task_state::None)
        return;

    // An answer that was on its way for a whole lease no longer tells what the lead wants.
    auto closed = m_view.refusal(now());
    if (now() - sentAt >= lease())
        closed = "the permission to start came too late";
    if (!closed && !m_ledger.allowStart(task->attempt.id))
        closed = "not committed";
    if (closed) {
        endRun(task, task_phase::Released, *closed);
        return;
    }
    task->state = task_state::Starting;
    task->startDeadline = now() + startPatience;
}

// The permission to start may be some time old when a start is tried again.
void task_manager::startOrGiveUp(const run_ref& task)
{
    const auto closed = m_view.refusal(now());
    if (!closed) {
        startTask(task);
        return;
    }

    if (!task->startUncertain && task->attempt.allocations.size() == 1)
        m_ledger.retractStart(task->attempt.id);
    evictRun(task, *closed);
}

void task_manager::startTask(const run_ref& task)
{
    ++m_counters.starts;
    task->callInFlight = true;
    task->nextCall = now() + retryPeriod;
    m_runtime.start(task->attempt, task->share, lease(),
        [this, task, alive = std::weak_ptr(m_alive)](const result<runtime_task>& answer) {
            if (!alive.expired())
                startAnswered(task, answer);
        });
}

void task_manager::startAnswered(const run_ref& task, const result<runtime_task>& answer)
{
    task->callInFlight = false;
    task->leaseEnds = now() + lease();
    if (task->state != task_state::Starting) {
        advance(task);
        return;
    }

    task->startUncertain |= !answer && answer.error().ran != verdict::NotRun;
    if (answer && answer.value().state == runtime_state::Running) {
        task->state = task_state::Running;
        task->lastRenewed = now();
        m_ledger.markRunning(task->attempt.id, now());
        if (task->gang.has_value())
            task->gang->heard(m_worker, task_phase::Running, "", now());
        else
            task->nextHeartbeat = now();
        logEvent(log_level::Info, "task_started", logFields(task->attempt));
    } else if (answer) {
        taskEnded(task, answer.value());
    } else if (now() >= task->startDeadline) {
        runtime_task refused { task->taskId, runtime_state::Failed, "start failed: " + answer.error().reason, 0 };
        const bool certain = answer.error().ran == verdict::NotRun && !task->startUncertain;
        if (certain && task->attempt.allocations.size() == 1)
            m_ledger.retractStart(task->attempt.id);
        if (certain)
            taskEnded(task, refused);
        else
            stopRun(task, task_phase::Lost, refused.reason, false);
    }
    advance(task);
    publish();
}

void task_manager::stopRun(const run_ref& task, task_phase phase, const std::string& reason, bool checkpoint)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    if (entry == nullptr || isEnd(entry->phase) || task->state == task_state::Stopping)
        return;

    if (task->state == task_state::None || task->state == task_state::Ended) {
        endRun(task, entry->mayHaveRun && phase == task_phase::Released ? task_phase::Evicted : entry->mayHaveRun ? phase
                                                                                                                  : task_phase::Released,
            reason);
        return;
    }

    m_ledger.markEvicting(task->attempt.id, reason);
    task->endPhase = phase == task_phase::Released ? task_phase::Evicted : phase;
    task->endReason = reason;
    const bool mayCheckpoint = checkpoint && task->state == task_state::Running;
    task->state = task_state::Stopping;
    task->nextHeartbeat = now();
    logEvent(log_level::Info, "task_stopping",
        { { "attempt", task->taskId }, { "reason", reason }, { "checkpoint", mayCheckpoint } });
    if (!mayCheckpoint) {
        task->nextCall = now();
        return;
    }

    // The stop follows when the checkpoint is saved, or the grace is over.
    task->nextCall = now() + m_evictionGrace;
    m_runtime.checkpoint(task->taskId, m_evictionGrace,
        [this, task, alive = std::weak_ptr(m_alive)](const result<runtime_task>&) {
            if (alive.expired())
                return;
            task->nextCall = now();
            advance(task);
        });
}

void task_manager::stopTask(const run_ref& task)
{
    task->callInFlight = true;
    task->nextCall = now() + retryPeriod;
    m_runtime.stop(task->taskId, [this, task, alive = std::weak_ptr(m_alive)](const result<runtime_task>& answer) {
        if (!alive.expired())
            stopAnswered(task, answer);
    });
}

void task_manager::stopAnswered(const run_ref& task, const result<runtime_task>& answer)
{
    task->callInFlight = false;
    if (task->state != task_state::Stopping)
        return;

    if (answer) {
        // A single task that ended by itself first has ended that way.
        const auto state = answer.value().state;
        const bool byItself = state == runtime_state::Finished || state == runtime_state::Failed;
        const bool alone = task->attempt.allocations.size() == 1;
        endRun(task, byItself && alone ? phaseOf(state) : task->endPhase,
            byItself && alone ? answer.value().reason : task->endReason);
    } else if (now() >= task->leaseEnds) {
        endRun(task, task->endPhase, task->endReason + "; its lease has lapsed");
    }
    publish();
}

void task_manager::taskEnded(const run_ref& task, const runtime_task& last)
{
    if (task->state == task_state::Stopping || task->state == task_state::Ended)
        return;

    task->state = task_state::Ended;
    const auto phase = last.state == runtime_state::Stopped ? task_phase::Lost : phaseOf(last.state);
    if (phase == task_phase::Failed)
        ++m_failuresInRow;
    if (phase == task_phase::Finished)
        m_failuresInRow = 0;
    logEvent(log_level::Info, "task_ended",
        { { "attempt", task->taskId }, { "state", toString(last.state) }, { "reason", last.reason } });

    if (!task->gang.has_value()) {
        endRun(task, phase, last.reason);
        return;
    }
    // The end of the gang, once known, ends the lead's own entry.
    task->gang->heard(m_worker, phase, last.reason, now());
    advanceLead(task);
}

void task_manager::endRun(const run_ref& task, task_phase phase, const std::string& reason)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    if (entry == nullptr || isEnd(entry->phase))
        return;

    task->state = task_state::Ended;
    task->endPhase = phase;
    task->endedAt = now();
    task->nextHeartbeat = now();
    m_ledger.end(task->attempt.id, phase, reason);
    m_counters.finished += phase == task_phase::Finished ? 1 : 0;
    m_counters.failed += phase == task_phase::Failed ? 1 : 0;
    m_counters.evicted += phase == task_phase::Evicted ? 1 : 0;
    m_counters.lost += phase == task_phase::Lost ? 1 : 0;
    logEvent(log_level::Info, "attempt_ended",
        { { "attempt", task->taskId }, { "phase", toString(phase) }, { "reason", reason },
            { "may_have_run", m_ledger.find(task->attempt.id)->mayHaveRun } });
}

void task_manager::evictRun(const run_ref& task, const std::string& reason)
{
    if (task->gang.has_value())
        task->gang->end(task->gang->started() ? task_phase::Evicted : task_phase::Released, reason);
    else
        stopRun(task, task_phase::Evicted, reason, true);
    advance(task);
}

void task_manager::renewLeases()
{
    if (m_renewing || m_nextRenewal > now())
        return;

    std::vector<run_ref> asked;
    std::vector<std::string> ids;
    for (const auto& [id, task] : m_runs) {
        if (task->state != task_state::Running)
            continue;
        asked.push_back(task);
        ids.push_back(task->taskId);
    }
    if (asked.empty())
        return;

    m_renewing = true;
    m_nextRenewal = now() + renewalPeriod;
    m_runtime.renew(ids, lease(),
        [this, asked, alive = std::weak_ptr(m_alive)](const result<std::vector<runtime_task>>& answer) {
            if (!alive.expired())
                leasesRenewed(asked, answer);
        });
}

void task_manager::leasesRenewed(const std::vector<run_ref>& asked, const result<std::vector<runtime_task>>& answer)
{
    m_renewing = false;
    std::map<std::string, runtime_task> states;
    if (answer) {
        for (const auto& task : answer.value())
            states[task.id] = task;
    }

    for (const auto& task : asked) {
        task->leaseEnds = now() + lease();
        const auto found = states.find(task->taskId);
        if (found == states.end()) {
            if (task->state == task_state::Running && now() - task->lastRenewed >= lease())
                stopRun(task, task_phase::Lost, "the runtime does not answer", false);
            continue;
        }
        task->lastRenewed = now();
        if (found->second.state != runtime_state::Running)
            taskEnded(task, found->second);
        else
            watchMemory(task, found->second.usedMemoryGb);
    }
    publish();
}

void task_manager::watchMemory(const run_ref& task, unsigned usedMemoryGb)
{
    constexpr unsigned percent = 100;
    m_ledger.markMemory(task->attempt.id, usedMemoryGb);
    if (task->share.memoryGb == 0 || task->state != task_state::Running)
        return;

    const auto used = usedMemoryGb * percent;
    if (used >= task->share.memoryGb * evictAtPercent) {
        logEvent(log_level::Warning, "task_over_memory", { { "attempt", task->taskId }, { "used_gb", usedMemoryGb } });
        evictRun(task, "uses far more memory than declared");
    } else if (used >= task->share.memoryGb * throttleAtPercent && !task->throttled) {
        task->throttled = true;
        ++m_counters.throttled;
        logEvent(log_level::Warning, "task_throttled", { { "attempt", task->taskId }, { "used_gb", usedMemoryGb } });
        m_runtime.throttle(task->taskId, throttleToPercent, [](const result<runtime_task>&) {});
    }
}

void task_manager::adopt(const labelled_task& found)
{
    if (found.task.state != runtime_state::Running) {
        adoptEnded(found);
        return;
    }
    if (!m_ledger.adopt(found.attempt, task_phase::Running, true, "", now())) {
        m_runtime.stop(found.task.id, [](const result<runtime_task>&) {});
        return;
    }

    ++m_counters.adopted;
    logEvent(log_level::Info, "task_adopted", logFields(found.attempt));
    const auto task = addRun(found.attempt, m_ledger.find(found.attempt.id)->share);
    task->state = task_state::Running;
    if (task->gang.has_value()) {
        task->gang->start();
        task->gang->heard(m_worker, task_phase::Running, "", now());
    }
}

void task_manager::adoptEnded(const labelled_task& found)
{
    const auto phase = phaseOf(found.task.state);
    const auto& shares = found.attempt.allocations;
    const bool leadsOthers = shares.size() > 1 && shares.front().worker == m_worker;
    if (!leadsOthers || phase != task_phase::Finished) {
        m_ledger.adopt(found.attempt, phase, false, found.task.reason, now());
        return;
    }

    // The lead's own task has finished, but the gang has only when every member's has.
    if (!m_ledger.adopt(found.attempt, task_phase::Running, false, "", now()))
        return;
    const auto task = addRun(found.attempt, m_ledger.find(found.attempt.id)->share);
    task->state = task_state::Ended;
    task->gang->start();
    task->gang->heard(m_worker, task_phase::Finished, "", now());
}

void task_manager::forgetRecords()
{
    if (m_forgetting || m_recordsToForget.empty())
        return;

    m_forgetting = true;
    const auto id = m_recordsToForget.back();
    m_runtime.forget(id, [this, id, alive = std::weak_ptr(m_alive)](const result<runtime_task>& answer) {
        if (alive.expired())
            return;
        m_forgetting = false;
        // A record that stays is found again by the next acknowledgement, or at the next start of the agent.
        if (!answer)
            return;
        std::erase(m_recordsToForget, id);
        forgetRecords();
    });
}

void task_manager::answerPending()
{
    if (m_publishing)
        return;
    m_publishing = true;

    std::vector<pending_reserve> reserves;
    reserves.swap(m_pendingReserves);
    for (auto& pending : reserves) {
        const auto* entry = m_ledger.find(pending.id);
        reservation_answer answer;
        answer.epoch = m_ledger.fence(pending.id.organisation, 0);
        if (entry != nullptr && !isEnd(entry->phase)) {
            if (entry->waiting) {
                m_pendingReserves.push_back(std::move(pending));
                continue;
            }
            answer.state = reservation_state::Accepted;
            answer.mayHaveRun = entry->mayHaveRun;
        } else {
            answer.reason = entry == nullptr ? "the attempt has ended" : entry->reason;
            answer.mayHaveRun = entry != nullptr && entry->mayHaveRun;
        }
        logEvent(log_level::Info, "reservation",
            { { "attempt", toString(pending.id) }, { "reason", answer.reason },
                { "state", answer.state == reservation_state::Accepted ? "accepted" : "refused" } });
        pending.done(answer);
    }

    std::vector<pending_release> releases;
    releases.swap(m_pendingReleases);
    for (auto& pending : releases) {
        const auto over = [&](const attempt_id& id) {
            const auto* entry = m_ledger.find(id);
            return entry == nullptr || isEnd(entry->phase);
        };
        if (now() < pending.deadline && !std::all_of(pending.ids.begin(), pending.ids.end(), over)) {
            m_pendingReleases.push_back(std::move(pending));
            continue;
        }
        auto reports = std::move(pending.unknown);
        for (const auto& id : pending.ids)
            reports.push_back(m_ledger.report(id, now()));
        pending.done(reports);
    }
    m_publishing = false;
}

void task_manager::dropRuns()
{
    std::erase_if(m_runs, [&](const auto& item) {
        const auto& task = item.second;
        const auto* entry = m_ledger.find(item.first);
        if (entry != nullptr && !isEnd(entry->phase))
            return false;
        if (!task->held.empty() || task->callInFlight)
            return false;
        if (entry != nullptr && entry->phase == task_phase::Finished && !task->gang.has_value())
            return false;
        // Kept for a while, so that the other members hear how it ended.
        return now() - task->endedAt > 2 * lease();
    });
}

} // namespace oriole
