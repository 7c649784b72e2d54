#include <oriole/agent/task_manager.hpp>
#include <oriole/agent/task_run.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds renewalPeriod { 250 };
constexpr milliseconds retryPeriod { 200 };
// A task above this part of its declared memory is throttled, and above the second one evicted.
constexpr unsigned throttleAtPercent = 150;
constexpr unsigned evictAtPercent = 200;
constexpr unsigned throttleToPercent = 50;

} // namespace

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

} // namespace oriole
