#include <fleet/core/stragglers.hpp>

#include <algorithm>

namespace fleet {

namespace {

// A sound run shows progress well within this time, also when it is seven times slower than estimated.
constexpr milliseconds stallLimit { 1600 };
constexpr double stallPercents = 8;
constexpr unsigned stallReports = 2;
// A slow run is started elsewhere when that is this much faster.
constexpr double moveGain = 1.6;
constexpr double moveCostSeconds = 1;
// Tasks of one step differ by up to this factor on sound workers.
constexpr double unevenness = 2.5;
// Estimates are off by up to this factor; slow workers take four times as long and more.
constexpr double estimateError = 2.2;
// Runs on a slow worker take this much longer than the same work elsewhere.
constexpr double slowFactor = 2;
// Other runs on a worker show whether it is slow: three of four have to be.
constexpr double slowShare = 0.75;
// Without other runs to compare with only a factor that tasks do not differ by is believed.
constexpr double slowAloneFactor = 3.5;
// Without a sibling to compare with, an estimate is taken this much longer.
constexpr double estimateMargin = 1.5;
// A sibling says something only if it is not this run itself.
constexpr double siblingShare = 0.9;

bool isGangPresent(const tables& state, const live_run& run)
{
    for (auto entry = firstRunOf(state, run.id.task); entry != state.runs.end() && isSameStep(entry->first.task, run.id.task); ++entry) {
        if (entry->second.phase != run_phase::Active || !entry->second.seen)
            return false;
    }
    return true;
}

/// @brief How long the whole run takes at its present rate, as if near its data.
double wholeMs(const live_run& run)
{
    return 100 / run.ratePercent * 1000 / run.spread;
}

/// @brief How many times as long a run takes as its fastest sibling, or as estimated.
double slownessOf(const live_run& run, const job_row& job)
{
    const double own = wholeMs(run);
    const auto known = job.fastestMs.find(run.id.task.step);
    if (known != job.fastestMs.end() && known->second < own * siblingShare)
        return own / known->second;
    const auto estimate = static_cast<double>(std::max<std::int64_t>(job.job.spec.steps[run.id.task.step].runTimeMs, 1));
    return own / (estimate * estimateMargin);
}

/// @brief Whether the worker of a run is at fault for its slowness.
bool isWorkerSlow(const tables& state, const live_run& suspect, const job_row& job)
{
    unsigned rated = 0;
    unsigned slow = 0;
    for (const auto& id : state.workers.at(suspect.worker).runs) {
        const auto& run = state.runs.at(id);
        const auto owner = state.jobs.find(id.task.job);
        if (run.phase != run_phase::Active || run.ratePercent <= 0 || owner == state.jobs.end())
            continue;
        ++rated;
        if (slownessOf(run, owner->second) > slowFactor)
            ++slow;
    }
    if (rated > 1)
        return slow >= rated * slowShare;
    return slownessOf(suspect, job) > slowAloneFactor;
}

} // namespace

bool isStalled(const tables& state, const live_run& run, milliseconds gangTimeout, time_point now)
{
    const auto job = state.jobs.find(run.id.task.job);
    if (job == state.jobs.end())
        return false;
    auto patience = stallLimit + milliseconds(static_cast<std::int64_t>(run.expectedMs / 100 * stallPercents));
    // A gang begins when the last member has come; until then it does not stand still.
    if (job->second.job.spec.steps[run.id.task.step].gang && run.percent <= 0 && !isGangPresent(state, run))
        patience += gangTimeout;
    // Only what reports show counts: while none come, the run may well go on.
    return run.reportsSinceAdvance >= stallReports && run.reportedAt - run.advancedAt > patience
        && now - run.reportedAt < stallLimit;
}

bool isSlow(const tables& state, const live_run& run)
{
    const auto job = state.jobs.find(run.id.task.job);
    if (job == state.jobs.end() || run.ratePercent <= 0)
        return false;
    const double remaining = (100 - run.percent) / run.ratePercent;
    double elsewhere = run.expectedMs / 1000 * estimateError;
    // The fastest may be this run itself, which says nothing of others.
    const auto known = job->second.fastestMs.find(run.id.task.step);
    if (known != job->second.fastestMs.end() && known->second < wholeMs(run) / unevenness)
        elsewhere = known->second / 1000;
    return remaining > elsewhere * moveGain + moveCostSeconds && isWorkerSlow(state, run, job->second);
}

} // namespace fleet
