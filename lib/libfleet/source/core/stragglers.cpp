#include <fleet/core/stragglers.hpp>

#include <fleet/core/objective.hpp>

#include <algorithm>

namespace fleet {

namespace {

// A healthy run shows progress well within this time, even at a seventh of the estimated speed.
constexpr milliseconds stallLimit { 1600 };
constexpr double stallRunTimePercent = 8;
constexpr unsigned minStallReports = 2;
// A slow run is restarted only if its remaining time exceeds the run time elsewhere by this factor, beside the cost of a move.
constexpr double minRestartSpeedup = 1.6;
// Run times of tasks of one step differ by up to this factor on healthy workers.
constexpr double taskTimeVariation = 2.5;
// Estimated run times are wrong by up to this factor; slow workers take at least four times as long.
constexpr double estimateErrorFactor = 2.2;
// A run that takes more than this factor longer than elsewhere indicates a slow worker.
constexpr double slowFactor = 2;
// A worker with several rated runs counts as slow if three of four of them are slow.
constexpr double slowRunShare = 0.75;
// Without other runs on the worker to compare with, the factor must exceed the differences between tasks.
constexpr double slowFactorWithoutPeers = 3.5;
// Without another task of the step to compare with, the estimated run time is extended by this factor.
constexpr double estimateMargin = 1.5;
// The step's shortest run time is used only if it is below this share of the run's own; else it may be that of the run itself.
constexpr double maxSiblingTimeShare = 0.9;

bool areAllMembersActive(const tables& state, const live_run& run)
{
    for (auto entry = firstRunOf(state, run.id.task);
         entry != state.runs.end() && isSameStep(entry->first.task, run.id.task); ++entry) {
        if (entry->second.phase != run_phase::Active || !entry->second.progressKnown)
            return false;
    }
    return true;
}

/// @brief Whether the sibling can be compared with the run: it has a rate, or started together with it.
bool isComparable(const live_run& run, const live_run& sibling)
{
    if (sibling.host == run.host || sibling.phase != run_phase::Active || sibling.percent <= 0)
        return false;
    return sibling.ratePercent > 0 || sibling.placedAt == run.placedAt;
}

/// @brief Whether at least half of the other tasks of the step, on other workers, progress about as slowly as the run. Then the
/// estimate is wrong, not the worker.
bool progressesLikeSiblings(const tables& state, const live_run& run)
{
    unsigned compared = 0;
    unsigned alike = 0;
    for (auto entry = firstRunOf(state, run.id.task);
         entry != state.runs.end() && isSameStep(entry->first.task, run.id.task); ++entry) {
        const auto& sibling = entry->second;
        if (!isComparable(run, sibling))
            continue;
        ++compared;
        const bool isFaster = sibling.ratePercent > 0 ? sibling.ratePercent * sibling.spread > run.ratePercent * run.spread * taskTimeVariation
                                                      : sibling.percent > run.percent * taskTimeVariation;
        if (!isFaster)
            ++alike;
    }
    return compared > 0 && alike * 2 >= compared;
}

/// @brief Total run time at the present rate, with the slow-down away from the data taken out.
double projectedRunTimeMs(const live_run& run)
{
    return 100 / run.ratePercent * 1000 / run.spread;
}

/// @brief Ratio of a run's time to that of the fastest task of its step, or else to the estimate.
double slownessOf(const live_run& run, const job_row& job)
{
    const double ownMs = projectedRunTimeMs(run);
    const auto known = job.shortestRunTimeMs.find(run.id.task.step);
    if (known != job.shortestRunTimeMs.end() && known->second < ownMs * maxSiblingTimeShare)
        return ownMs / known->second;
    const auto estimate = static_cast<double>(std::max<std::int64_t>(estimatedRunTime(job, run.id.task.step).count(), 1));
    return ownMs / (estimate * estimateMargin);
}

/// @brief Whether a run is slow because of its worker.
bool isWorkerSlow(const tables& state, const live_run& suspect, const job_row& job)
{
    unsigned rated = 0;
    unsigned slow = 0;
    for (const auto& id : suspect.host->runs) {
        const auto& run = state.runs.at(id);
        if (run.phase != run_phase::Active || run.ratePercent <= 0 || run.job == nullptr)
            continue;
        ++rated;
        if (slownessOf(run, *run.job) > slowFactor)
            ++slow;
    }
    if (rated > 1)
        return slow >= rated * slowRunShare;
    return slownessOf(suspect, job) > slowFactorWithoutPeers;
}

} // namespace

bool isStalled(const tables& state, const live_run& run, milliseconds gangTimeout, time_point now)
{
    if (run.job == nullptr)
        return false;
    auto timeout = stallLimit + milliseconds(static_cast<std::int64_t>(run.expectedMs / 100 * stallRunTimePercent));
    // A gang starts to work once its last member is active; until then missing progress is no stall.
    if (run.job->job.spec.steps[run.id.task.step].gang && run.percent <= 0 && !areAllMembersActive(state, run))
        timeout += gangTimeout;
    // Only reported progress counts: without recent reports the run may be progressing unobserved.
    return run.reportsSinceAdvance >= minStallReports && run.reportedAt - run.advancedAt > timeout
        && now - run.reportedAt < stallLimit;
}

bool isSlow(const tables& state, const live_run& run)
{
    if (run.job == nullptr || run.ratePercent <= 0)
        return false;
    const double remainingSeconds = (100 - run.percent) / run.ratePercent;
    double elsewhereSeconds = run.expectedMs / 1000 * estimateErrorFactor;
    // The shortest run time may be that of this run, which gives no comparison.
    const auto known = run.job->shortestRunTimeMs.find(run.id.task.step);
    if (known != run.job->shortestRunTimeMs.end() && known->second < projectedRunTimeMs(run) / taskTimeVariation)
        elsewhereSeconds = known->second / 1000;
    return remainingSeconds > elsewhereSeconds * minRestartSpeedup + state.limits.moveCostSeconds && !progressesLikeSiblings(state, run)
        && isWorkerSlow(state, run, *run.job);
}

} // namespace fleet
