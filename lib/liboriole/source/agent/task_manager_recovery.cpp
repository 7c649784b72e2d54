#include <oriole/agent/task_manager.hpp>
#include <oriole/agent/task_run.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds recoverRetry { 500 };

} // namespace

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

} // namespace oriole
