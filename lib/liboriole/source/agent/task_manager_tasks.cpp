#include <oriole/agent/task_manager.hpp>
#include <oriole/agent/task_run.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds renewalPeriod { 250 };
constexpr milliseconds retryPeriod { 200 };
// Memory use, relative to the declared memory, at which a task is throttled and at which it is evicted.
constexpr unsigned throttleAtPercent = 150;
constexpr unsigned evictAtPercent = 200;
constexpr unsigned throttleToPercent = 50;

} // namespace

// Checks the control view again before each start call: it may no longer permit a start that is being retried.
void task_manager::startOrAbort(const run_ptr& task)
{
    const auto refusal = m_view.refusalReason(now());
    if (!refusal) {
        startTask(task);
        return;
    }

    if (!task->startUncertain && task->attempt.allocations.size() == 1)
        m_ledger.revokeStart(task->attempt.id);
    evictRun(task, *refusal);
}

void task_manager::startTask(const run_ptr& task)
{
    ++m_counters.starts;
    task->runtimeCallInFlight = true;
    task->nextRuntimeCall = now() + retryPeriod;
    m_runtime.start(task->attempt, task->localAllocation, lease(),
        [this, task, alive = std::weak_ptr(m_alive)](const result<runtime_task>& answer) {
            if (!alive.expired())
                handleStartAnswer(task, answer);
        });
}

void task_manager::handleStartAnswer(const run_ptr& task, const result<runtime_task>& answer)
{
    task->runtimeCallInFlight = false;
    task->leaseExpiresAt = now() + lease();
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
            task->gang->recordPhase(m_worker, task_phase::Running, "", now());
        else
            task->nextHeartbeat = now();
        logEvent(log_level::Info, "task_started", attemptLogFields(task->attempt));
    } else if (answer) {
        handleTaskEnd(task, answer.value());
    } else if (now() >= task->startDeadline) {
        runtime_task refused { task->taskId, runtime_state::Failed, "start failed: " + answer.error().reason, 0 };
        const bool certain = answer.error().ran == verdict::NotRun && !task->startUncertain;
        if (certain && task->attempt.allocations.size() == 1)
            m_ledger.revokeStart(task->attempt.id);
        if (certain)
            handleTaskEnd(task, refused);
        else
            stopRun(task, task_phase::Lost, refused.reason, false);
    }
    advance(task);
    publish();
}

void task_manager::stopRun(const run_ptr& task, task_phase phase, const std::string& reason, bool checkpoint)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    if (entry == nullptr || isTerminal(entry->phase) || task->state == task_state::Stopping)
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
        task->nextRuntimeCall = now();
        return;
    }

    // The task is stopped once the checkpoint is saved, or when the grace period ends.
    task->nextRuntimeCall = now() + m_evictionGrace;
    m_runtime.checkpoint(task->taskId, m_evictionGrace,
        [this, task, alive = std::weak_ptr(m_alive)](const result<runtime_task>&) {
            if (alive.expired())
                return;
            task->nextRuntimeCall = now();
            advance(task);
        });
}

void task_manager::stopTask(const run_ptr& task)
{
    task->runtimeCallInFlight = true;
    task->nextRuntimeCall = now() + retryPeriod;
    m_runtime.stop(task->taskId, [this, task, alive = std::weak_ptr(m_alive)](const result<runtime_task>& answer) {
        if (!alive.expired())
            handleStopAnswer(task, answer);
    });
}

void task_manager::handleStopAnswer(const run_ptr& task, const result<runtime_task>& answer)
{
    task->runtimeCallInFlight = false;
    if (task->state != task_state::Stopping)
        return;

    if (answer) {
        // A task without a gang that ended by itself before the stop call keeps its own end.
        const auto state = answer.value().state;
        const bool endedByItself = state == runtime_state::Finished || state == runtime_state::Failed;
        const bool isSingleWorker = task->attempt.allocations.size() == 1;
        endRun(task, endedByItself && isSingleWorker ? phaseOf(state) : task->endPhase,
            endedByItself && isSingleWorker ? answer.value().reason : task->endReason);
    } else if (now() >= task->leaseExpiresAt) {
        endRun(task, task->endPhase, task->endReason + "; its lease has lapsed");
    }
    publish();
}

void task_manager::handleTaskEnd(const run_ptr& task, const runtime_task& last)
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
    // The lead's own ledger entry ends together with the gang.
    task->gang->recordPhase(m_worker, phase, last.reason, now());
    advanceLead(task);
}

void task_manager::endRun(const run_ptr& task, task_phase phase, const std::string& reason)
{
    const auto* entry = m_ledger.find(task->attempt.id);
    if (entry == nullptr || isTerminal(entry->phase))
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

void task_manager::evictRun(const run_ptr& task, const std::string& reason)
{
    if (task->gang.has_value())
        task->gang->end(task->gang->started() ? task_phase::Evicted : task_phase::Released, reason);
    else
        stopRun(task, task_phase::Evicted, reason, true);
    advance(task);
}

void task_manager::renewLeases()
{
    if (m_renewalInFlight || m_nextRenewal > now())
        return;

    std::vector<run_ptr> runs;
    std::vector<std::string> ids;
    for (const auto& [id, task] : m_runs) {
        if (task->state != task_state::Running)
            continue;
        runs.push_back(task);
        ids.push_back(task->taskId);
    }
    if (runs.empty())
        return;

    m_renewalInFlight = true;
    m_nextRenewal = now() + renewalPeriod;
    m_runtime.renew(ids, lease(),
        [this, runs, alive = std::weak_ptr(m_alive)](const result<std::vector<runtime_task>>& answer) {
            if (!alive.expired())
                handleRenewalAnswer(runs, answer);
        });
}

void task_manager::handleRenewalAnswer(const std::vector<run_ptr>& runs, const result<std::vector<runtime_task>>& answer)
{
    m_renewalInFlight = false;
    std::map<std::string, runtime_task> states;
    if (answer) {
        for (const auto& task : answer.value())
            states[task.id] = task;
    }

    for (const auto& task : runs) {
        task->leaseExpiresAt = now() + lease();
        const auto found = states.find(task->taskId);
        if (found == states.end()) {
            if (task->state == task_state::Running && now() - task->lastRenewed >= lease())
                stopRun(task, task_phase::Lost, "the runtime does not answer", false);
            continue;
        }
        task->lastRenewed = now();
        if (found->second.state != runtime_state::Running)
            handleTaskEnd(task, found->second);
        else
            enforceMemoryLimit(task, found->second.usedMemoryGb);
    }
    publish();
}

void task_manager::enforceMemoryLimit(const run_ptr& task, unsigned usedMemoryGb)
{
    constexpr unsigned percent = 100;
    m_ledger.setUsedMemory(task->attempt.id, usedMemoryGb);
    if (task->localAllocation.memoryGb == 0 || task->state != task_state::Running)
        return;

    const auto used = usedMemoryGb * percent;
    if (used >= task->localAllocation.memoryGb * evictAtPercent) {
        logEvent(log_level::Warning, "task_over_memory", { { "attempt", task->taskId }, { "used_gb", usedMemoryGb } });
        evictRun(task, "uses far more memory than declared");
    } else if (used >= task->localAllocation.memoryGb * throttleAtPercent && !task->throttled) {
        task->throttled = true;
        ++m_counters.throttled;
        logEvent(log_level::Warning, "task_throttled", { { "attempt", task->taskId }, { "used_gb", usedMemoryGb } });
        m_runtime.throttle(task->taskId, throttleToPercent, [](const result<runtime_task>&) {});
    }
}

} // namespace oriole
