#include <oriole/agent/task_manager.hpp>
#include <oriole/agent/task_run.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds recoveryRetryDelay { 500 };

} // namespace

void task_manager::recover()
{
    m_runtime.list([this, alive = std::weak_ptr(m_alive)](const result<std::vector<labelled_task>>& found) {
        if (alive.expired())
            return;
        if (!found) {
            logEvent(log_level::Warning, "recovery_failed", { { "error", found.error().reason } });
            m_timers.subscribeOnce(recoveryRetryDelay, [this, alive](time_point) {
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
    logEvent(log_level::Info, "task_adopted", attemptLogFields(found.attempt));
    const auto task = addRun(found.attempt, m_ledger.find(found.attempt.id)->localAllocation);
    task->state = task_state::Running;
    if (task->gang.has_value()) {
        task->gang->start();
        task->gang->recordPhase(m_worker, task_phase::Running, "", now());
    }
}

void task_manager::adoptEnded(const labelled_task& found)
{
    const auto phase = phaseOf(found.task.state);
    const auto& allocations = found.attempt.allocations;
    const bool leadsOthers = allocations.size() > 1 && allocations.front().worker == m_worker;
    if (!leadsOthers || phase != task_phase::Finished) {
        m_ledger.adopt(found.attempt, phase, false, found.task.reason, now());
        return;
    }

    // The lead's own task has finished; the gang finishes only when the tasks of all members have.
    if (!m_ledger.adopt(found.attempt, task_phase::Running, false, "", now()))
        return;
    const auto task = addRun(found.attempt, m_ledger.find(found.attempt.id)->localAllocation);
    task->state = task_state::Ended;
    task->gang->start();
    task->gang->recordPhase(m_worker, task_phase::Finished, "", now());
}

void task_manager::deleteRuntimeRecords()
{
    if (m_deletionInFlight || m_recordsToDelete.empty())
        return;

    m_deletionInFlight = true;
    const auto id = m_recordsToDelete.back();
    m_runtime.forget(id, [this, id, alive = std::weak_ptr(m_alive)](const result<runtime_task>& answer) {
        if (alive.expired())
            return;
        m_deletionInFlight = false;
        // A record that could not be deleted is tried again at the next acknowledgement, or found by recover() after a
        // restart of the agent.
        if (!answer)
            return;
        std::erase(m_recordsToDelete, id);
        deleteRuntimeRecords();
    });
}

} // namespace oriole
