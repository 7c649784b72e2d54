#include <fleet/core/tables.hpp>

#include <utility>

namespace fleet {

namespace {

// Of a removed queue, for jobs whose record does not hold the terms of their acceptance.
constexpr acceptance_terms unknownTerms { 99, 3, 1, 0 };

} // namespace

queue_rule findRule(const configuration& rules, const accepted_job& job)
{
    if (const auto* rule = rules.findQueueByName(job.queue))
        return *rule;
    queue_rule removed;
    removed.name = job.queue;
    removed.service = job.service;
    const auto terms = job.terms.value_or(unknownTerms);
    removed.priority = terms.priority;
    removed.maxAttempts = terms.maxAttempts;
    removed.slackFactor = terms.slackFactor;
    removed.targetLatencyMs = terms.targetLatencyMs;
    return removed;
}

worker_row& workerOf(tables& state, const std::string& name)
{
    const auto [entry, added] = state.workers.try_emplace(name);
    if (added)
        entry->second.slot = state.workers.size() - 1;
    return entry->second;
}

live_run& addRun(tables& state, live_run run)
{
    auto& worker = workerOf(state, run.worker);
    worker.used += run.need;
    worker.runs.insert(run.id);
    run.host = &worker;
    if (const auto job = state.jobs.find(run.id.task.job); job != state.jobs.end())
        run.job = &job->second;
    const auto id = run.id;
    return state.runs.emplace(id, std::move(run)).first->second;
}

void setNeed(live_run& run, const resources& need)
{
    run.host->used += need - run.need;
    run.need = need;
}

live_run removeRun(tables& state, std::map<run_id, live_run>::iterator run)
{
    auto removed = std::move(run->second);
    state.runs.erase(run);
    removed.host->used -= removed.need;
    removed.host->runs.erase(removed.id);
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
