#include <fleet/core/objective.hpp>

#include <algorithm>

namespace fleet {

namespace {

std::vector<milliseconds> declaredRunTimes(const job_spec& spec)
{
    std::vector<milliseconds> times;
    for (const auto& step : spec.steps)
        times.emplace_back(step.runTimeMs);
    return times;
}

std::vector<milliseconds> expectedRunTimes(const job_row& job)
{
    std::vector<milliseconds> times;
    for (unsigned step = 0; step < job.job.spec.steps.size(); ++step)
        times.push_back(estimatedRunTime(job, step));
    return times;
}

/// @brief By step: critical path from its start to the end of the job. Steps depend on earlier ones only, so each dependency is
/// followed once.
std::vector<milliseconds> pathsToEnd(const job_spec& spec, const std::vector<milliseconds>& runTimes)
{
    std::vector<milliseconds> paths(spec.steps.size());
    for (std::size_t step = spec.steps.size(); step-- > 0;) {
        paths[step] += runTimes[step];
        for (const auto earlier : spec.steps[step].after) {
            if (earlier < step)
                paths[earlier] = std::max(paths[earlier], paths[step]);
        }
    }
    return paths;
}

milliseconds longestOf(const std::vector<milliseconds>& paths)
{
    milliseconds longest { 0 };
    for (const auto path : paths)
        longest = std::max(longest, path);
    return longest;
}

milliseconds objectiveOver(milliseconds path, const queue_rule& rule)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(path.count()) * rule.slackFactor) + rule.targetLatencyMs);
}

double workOver(const job_spec& spec, const std::vector<milliseconds>& runTimes)
{
    double sum = 0;
    for (std::size_t step = 0; step < spec.steps.size(); ++step)
        sum += spec.steps[step].need.weight() * static_cast<double>(spec.steps[step].count) * std::chrono::duration<double>(runTimes[step]).count();
    return sum;
}

time_point submissionTime(const job_row& job, unsigned occurrence)
{
    if (job.job.spec.repeatCount == 0)
        return job.acceptedAt;
    const auto due = job.job.spec.firstDueUnixMs + static_cast<std::int64_t>(occurrence) * job.job.spec.intervalMs;
    return job.acceptedAt + milliseconds(due - job.job.acceptedUnixMs);
}

milliseconds slackWithin(milliseconds objective, const job_row& job, const unit_id& unit, time_point now)
{
    const auto end = submissionTime(job, unit.occurrence) + objective;
    return std::chrono::duration_cast<milliseconds>(end - now) - criticalPathFrom(job, unit.step);
}

} // namespace

milliseconds estimatedRunTime(const job_row& job, unsigned step)
{
    return milliseconds(job.job.spec.steps[step].runTimeMs);
}

double workOf(const job_spec& spec)
{
    return workOver(spec, declaredRunTimes(spec));
}

double workOf(const job_row& job)
{
    return workOver(job.job.spec, expectedRunTimes(job));
}

milliseconds criticalPathFrom(const job_spec& spec, unsigned step)
{
    return pathsToEnd(spec, declaredRunTimes(spec)).at(step);
}

milliseconds criticalPathFrom(const job_row& job, unsigned step)
{
    return pathsToEnd(job.job.spec, expectedRunTimes(job)).at(step);
}

milliseconds criticalPath(const job_spec& spec)
{
    return longestOf(pathsToEnd(spec, declaredRunTimes(spec)));
}

milliseconds objectiveOf(const job_spec& spec, const queue_rule& rule)
{
    return objectiveOver(criticalPath(spec), rule);
}

milliseconds objectiveOf(const job_row& job)
{
    return objectiveOver(longestOf(pathsToEnd(job.job.spec, expectedRunTimes(job))), job.rule);
}

milliseconds slackOf(const job_row& job, const unit_id& unit, time_point now)
{
    return slackWithin(objectiveOf(job), job, unit, now);
}

pending_unit classify(const job_row& job, const unit_id& unit, time_point now)
{
    const auto& rule = job.rule;
    const auto objective = objectiveOf(job);
    const auto slack = slackWithin(objective, job, unit, now);
    pending_unit pending { rule.priority, deadline_status::InTime, 0, static_cast<double>(slack.count()), unit };
    if (slack.count() >= 0)
        return pending;
    pending.deadlineStatus
        = slack + objective * (lateFactor - 1) >= milliseconds(0) ? deadline_status::Late : deadline_status::Expired;
    pending.sortKey = workOf(job);
    return pending;
}

} // namespace fleet
