#include <fleet/core/job_progress.hpp>

#include <algorithm>

namespace fleet {

namespace {

using step_progress = std::vector<task_progress>;

bool allDone(const step_progress& step)
{
    return std::all_of(step.begin(), step.end(), [](const auto& task) { return task.status == task_status::Done; });
}

void finishTask(task_progress& task)
{
    task.status = task_status::Done;
    task.worker.clear();
    task.checkpoint.clear();
}

void requeueTask(task_progress& task)
{
    task.status = task_status::Waiting;
    task.worker.clear();
}

void finishGang(step_progress& step)
{
    for (auto& member : step)
        finishTask(member);
}

} // namespace

void beginOccurrence(job_progress& progress, const job_spec& spec)
{
    occurrence_progress occurrence;
    for (const auto& step : spec.steps)
        occurrence.steps.emplace_back(step.count);
    progress.occurrences.push_back(std::move(occurrence));
}

bool fitsJob(const job_progress& progress, const job_spec& spec)
{
    if (progress.occurrences.size() > spec.occurrences())
        return false;
    const auto hasPlace = [](const task_progress& task) { return task.status != task_status::Live || !task.worker.empty(); };
    return std::all_of(progress.occurrences.begin(), progress.occurrences.end(), [&](const occurrence_progress& occurrence) {
        return std::equal(occurrence.steps.begin(), occurrence.steps.end(), spec.steps.begin(), spec.steps.end(),
            [&](const step_progress& tasks, const step_spec& step) {
                return tasks.size() == step.count && std::all_of(tasks.begin(), tasks.end(), hasPlace);
            });
    });
}

task_progress* findTask(job_progress& progress, const task_id& task)
{
    if (task.occurrence >= progress.occurrences.size())
        return nullptr;
    auto& steps = progress.occurrences[task.occurrence].steps;
    if (task.step >= steps.size() || task.index >= steps[task.step].size())
        return nullptr;
    return &steps[task.step][task.index];
}

bool isReady(const occurrence_progress& occurrence, const job_spec& spec, unsigned step)
{
    const auto& after = spec.steps[step].after;
    return std::all_of(after.begin(), after.end(),
        [&](unsigned earlier) { return earlier < occurrence.steps.size() && allDone(occurrence.steps[earlier]); });
}

bool applyEnd(job_progress& progress, const job_spec& spec, const run_id& run, run_outcome how, const std::string& checkpoint,
    unsigned maxAttempts)
{
    auto* task = findTask(progress, run.task);
    if (task == nullptr || task->attempt != run.attempt)
        return false;

    auto& step = progress.occurrences[run.task.occurrence].steps[run.task.step];
    const auto& rule = spec.steps[run.task.step];
    // The end of a run that counted as lost is as good as one that was listed in time, unless the task was started again.
    const bool endedAfterLoss = task->status == task_status::Waiting && how == run_outcome::Done && !rule.lasting;
    if (task->status != task_status::Live && !endedAfterLoss)
        return false;

    auto& recordingTask = rule.gang ? step.front() : *task;
    if (!checkpoint.empty())
        recordingTask.checkpoint = checkpoint;
    // Tasks that last are started again however they end.
    if (how != run_outcome::Done || rule.lasting)
        requeueTask(*task);
    else if (rule.gang)
        finishGang(step);
    else
        finishTask(*task);

    if (how == run_outcome::Failed && recordingTask.failedAttempt != run.attempt) {
        ++recordingTask.failures;
        recordingTask.failedAttempt = run.attempt;
        if (!rule.lasting && recordingTask.failures >= maxAttempts && !isFinal(progress.state))
            progress.state = job_state::Failed;
    }
    updateState(progress, spec);
    return true;
}

void updateState(job_progress& progress, const job_spec& spec)
{
    if (isFinal(progress.state))
        return;
    bool complete = progress.occurrences.size() == spec.occurrences();
    for (const auto& occurrence : progress.occurrences) {
        for (const auto& step : occurrence.steps) {
            complete = complete && allDone(step);
            const auto hasStarted = [](const auto& task) { return task.attempt > 0; };
            if (std::any_of(step.begin(), step.end(), hasStarted))
                progress.state = job_state::Running;
        }
    }
    if (complete)
        progress.state = job_state::Completed;
}

} // namespace fleet
