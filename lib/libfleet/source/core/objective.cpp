#include <fleet/core/objective.hpp>

#include <algorithm>

namespace fleet {

namespace {

// Up to three times the objective counts as late; after that nothing is gained but that the job is done.
constexpr int lateFactor = 3;

time_point handedIn(const job_row& job, unsigned occurrence)
{
    if (job.job.spec.repeatCount == 0)
        return job.acceptedAt;
    const auto due = job.job.spec.firstDueUnixMs + static_cast<std::int64_t>(occurrence) * job.job.spec.intervalMs;
    return job.acceptedAt + milliseconds(due - job.job.acceptedUnixMs);
}

milliseconds slackWithin(milliseconds objective, const job_row& job, const unit_id& unit, time_point now)
{
    const auto end = handedIn(job, unit.occurrence) + objective;
    return std::chrono::duration_cast<milliseconds>(end - now) - chainFrom(job.job.spec, unit.step);
}

} // namespace

double workOf(const job_spec& spec)
{
    double sum = 0;
    for (const auto& step : spec.steps)
        sum += step.need.weight() * static_cast<double>(step.count) * static_cast<double>(step.runTimeMs) / 1000;
    return sum;
}

milliseconds chainFrom(const job_spec& spec, unsigned step)
{
    milliseconds longest { 0 };
    for (unsigned later = step + 1; later < spec.steps.size(); ++later) {
        const auto& after = spec.steps[later].after;
        if (std::find(after.begin(), after.end(), step) != after.end())
            longest = std::max(longest, chainFrom(spec, later));
    }
    return longest + milliseconds(spec.steps[step].runTimeMs);
}

milliseconds wholeChain(const job_spec& spec)
{
    milliseconds longest { 0 };
    for (unsigned step = 0; step < spec.steps.size(); ++step) {
        if (spec.steps[step].after.empty())
            longest = std::max(longest, chainFrom(spec, step));
    }
    return longest;
}

milliseconds objectiveOf(const job_spec& spec, const queue_rule& rule)
{
    const auto chain = static_cast<double>(wholeChain(spec).count()) * rule.slackFactor;
    return milliseconds(static_cast<std::int64_t>(chain) + rule.targetLatencyMs);
}

milliseconds slackOf(const tables& state, const job_row& job, const unit_id& unit, time_point now)
{
    return slackWithin(objectiveOf(job.job.spec, ruleOf(state, job)), job, unit, now);
}

pending_unit classify(const tables& state, const job_row& job, const unit_id& unit, time_point now)
{
    const auto rule = ruleOf(state, job);
    const auto objective = objectiveOf(job.job.spec, rule);
    const auto slack = slackWithin(objective, job, unit, now);
    pending_unit entry { rule.priority, prospect::InTime, static_cast<double>(slack.count()), unit };
    if (slack.count() >= 0)
        return entry;
    entry.chance = slack + objective * (lateFactor - 1) >= milliseconds(0) ? prospect::Late : prospect::Spent;
    entry.order = workOf(job.job.spec);
    return entry;
}

} // namespace fleet
