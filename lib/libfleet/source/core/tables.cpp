#include <fleet/core/tables.hpp>

#include <utility>

namespace fleet {

namespace {

// Jobs of a removed queue are still completed, after all others.
constexpr unsigned lastPriority = 99;
constexpr unsigned maxAttemptsWithoutQueue = 3;

} // namespace

queue_rule ruleOf(const tables& state, const job_row& job)
{
    if (const auto* rule = state.rules.findQueueByName(job.job.queue))
        return *rule;
    queue_rule removed;
    removed.name = job.job.queue;
    removed.service = job.job.service;
    removed.priority = lastPriority;
    removed.maxAttempts = maxAttemptsWithoutQueue;
    return removed;
}

live_run& addRun(tables& state, live_run run)
{
    auto& worker = state.workers[run.worker];
    worker.used += run.need;
    worker.runs.insert(run.id);
    const auto id = run.id;
    return state.runs.emplace(id, std::move(run)).first->second;
}

live_run removeRun(tables& state, std::map<run_id, live_run>::iterator run)
{
    auto removed = std::move(run->second);
    state.runs.erase(run);
    auto& worker = state.workers[removed.worker];
    worker.used -= removed.need;
    worker.runs.erase(removed.id);
    return removed;
}

std::map<run_id, live_run>::const_iterator firstRunOf(const tables& state, const task_id& task)
{
    return state.runs.lower_bound({ { task.job, task.occurrence, task.step, 0 }, 0 });
}

bool isSameStep(const task_id& left, const task_id& right)
{
    return left.job == right.job && left.occurrence == right.occurrence && left.step == right.step;
}

unit_id unitOf(const tables& state, const task_id& task)
{
    unit_id unit { task.job, task.occurrence, task.step, task.index };
    if (const auto job = state.jobs.find(task.job); job != state.jobs.end()) {
        const auto& steps = job->second.job.spec.steps;
        if (task.step < steps.size() && steps[task.step].gang)
            unit.index = 0;
    }
    return unit;
}

} // namespace fleet
