#include <fleet/core/tables.hpp>

#include <limits>

namespace fleet {

namespace {

// Work whose queue was removed is finished, after all other work.
constexpr unsigned lastPriority = 99;
constexpr unsigned attemptsWithoutQueue = 3;

} // namespace

queue_rule ruleOf(const tables& state, const job_row& job)
{
    if (const auto* rule = state.rules.findQueueByName(job.job.queue))
        return *rule;
    queue_rule removed;
    removed.name = job.job.queue;
    removed.service = job.job.service;
    removed.priority = lastPriority;
    removed.maxAttempts = attemptsWithoutQueue;
    return removed;
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
