#include <fleet/core/objective.hpp>

#include <algorithm>

namespace fleet {

namespace {

// A job counts as late for up to three times its objective; after that its value no longer depends on when it completes.
constexpr int lateFactor = 3;

/// @brief By step: critical path from its start to the end of the job. Steps depend on earlier ones only, so each dependency is
/// followed once.
std::vector<milliseconds> pathsToEnd(const job_spec& spec)
{
    std::vector<milliseconds> paths(spec.steps.size());
    for (std::size_t step = spec.steps.size(); step-- > 0;) {
        paths[step] += milliseconds(spec.steps[step].runTimeMs);
        for (const auto earlier : spec.steps[step].after) {
            if (earlier < step)
                paths[earlier] = std::max(paths[earlier], paths[step]);
        }
    }
    return paths;
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
    return std::chrono::duration_cast<milliseconds>(end - now) - criticalPathFrom(job.job.spec, unit.step);
}

} // namespace

double workOf(const job_spec& spec)
{
    double sum = 0;
    for (const auto& step : spec.steps)
        sum += step.need.weight() * static_cast<double>(step.count) * static_cast<double>(step.runTimeMs) / 1000;
    return sum;
}

milliseconds criticalPathFrom(const job_spec& spec, unsigned step)
{
    return pathsToEnd(spec).at(step);
}

milliseconds criticalPath(const job_spec& spec)
{
    milliseconds longest { 0 };
    for (const auto path : pathsToEnd(spec))
        longest = std::max(longest, path);
    return longest;
}

milliseconds objectiveOf(const job_spec& spec, const queue_rule& rule)
{
    const auto scaledPath = static_cast<double>(criticalPath(spec).count()) * rule.slackFactor;
    return milliseconds(static_cast<std::int64_t>(scaledPath) + rule.targetLatencyMs);
}

milliseconds slackOf(const job_row& job, const unit_id& unit, time_point now)
{
    return slackWithin(objectiveOf(job.job.spec, job.rule), job, unit, now);
}

pending_unit classify(const job_row& job, const unit_id& unit, time_point now)
{
    const auto& rule = job.rule;
    const auto objective = objectiveOf(job.job.spec, rule);
    const auto slack = slackWithin(objective, job, unit, now);
    pending_unit pending { rule.priority, deadline_status::InTime, static_cast<double>(slack.count()), unit };
    if (slack.count() >= 0)
        return pending;
    pending.deadlineStatus
        = slack + objective * (lateFactor - 1) >= milliseconds(0) ? deadline_status::Late : deadline_status::Expired;
    pending.sortKey = workOf(job.job.spec);
    return pending;
}

} // namespace fleet
