#include <fleet/core/eviction.hpp>
#include <fleet/core/objective.hpp>

#include <algorithm>
#include <limits>
#include <string_view>
#include <tuple>

namespace fleet {

namespace {

// A unit that was evicted this many times is evicted again only to reclaim a guarantee; this prevents its starvation.
constexpr unsigned maxEvictions = 2;

bool endsSoon(const tables& state, const live_run& run)
{
    return run.phase == run_phase::Active && run.ratePercent > 0 && releaseTimeOf(state, run) <= state.limits.nearEnd;
}

bool isAwaited(const tables& state, const live_run& run, reclaim_right right)
{
    return right != reclaim_right::Due && endsSoon(state, run);
}

/// @brief Whether the run's job is expected to be completed within its objective.
bool isInTime(const tables& state, const live_run& run, time_point now)
{
    const auto& job = *run.job;
    const auto slack = slackOf(job, unitOf(state, run.id.task), now);
    return slack + estimatedRunTime(job, run.id.task.step) >= releaseTimeOf(state, run);
}

/// Another job of priority 0 would lose as much as the guaranteed one gains, so it gives way only once the reclaim is due.
bool mayEvict(const tables& state, const live_run& run, unsigned priority, reclaim_right right, time_point now)
{
    const auto& job = *run.job;
    if (job.rule.priority > priority)
        return true;
    if (job.rule.priority != 0 || priority != 0 || right == reclaim_right::None || state.guaranteedJobs.contains(job.job.id))
        return false;
    return right == reclaim_right::Due || !isInTime(state, run, now);
}

/// @brief The plan so far for one group of workers, and the resources that remain free on these workers under the plan.
struct plan_state {
    std::vector<const std::string*> names; ///< The workers of the group, by name.
    std::vector<std::size_t> slots;
    std::vector<resources> free;
    std::vector<unsigned> taskCount;
    std::vector<bool> evicted; ///< By number of the victim.
    eviction_plan plan;
};

/// @brief Units to be evicted from a worker so that one more task fits on it.
struct worker_choice {
    std::size_t member = 0; ///< Position in the group.
    std::vector<std::size_t> victims;
    double cost = 0;
};

/// @return No value if the task doesn't fit even after all evictions, or only at a cost of @p limit or more.
std::optional<worker_choice> chooseVictims(const plan_state& state, std::size_t member, const resources& need,
    const eviction_candidates& candidates, double limit)
{
    worker_choice choice { member, {}, 0 };
    auto free = state.free[member];
    for (const auto& [number, freed] : candidates.byWorker[state.slots[member]]) {
        if (need.fits(free) || choice.cost >= limit)
            break;
        if (state.evicted[number])
            continue;
        free += freed;
        choice.victims.push_back(number);
        choice.cost += candidates.victims[number].cost;
    }
    if (!need.fits(free) || choice.cost >= limit)
        return std::nullopt;
    return choice;
}

void apply(plan_state& state, const worker_choice& choice, const resources& need, const eviction_candidates& candidates)
{
    for (const auto number : choice.victims) {
        state.evicted[number] = true;
        state.plan.victims.insert(candidates.victims[number].unit);
        for (const auto& [slot, freed] : candidates.victims[number].freed) {
            if (const auto place = std::find(state.slots.begin(), state.slots.end(), slot); place != state.slots.end())
                state.free[static_cast<std::size_t>(place - state.slots.begin())] += freed;
        }
    }
    state.plan.cost += choice.cost;
    state.plan.workers.push_back(*state.names[choice.member]);
    state.free[choice.member] -= need;
    ++state.taskCount[choice.member];
}

std::optional<eviction_plan> planGroup(
    plan_state& state, const placement_request& request, const eviction_candidates& candidates)
{
    const auto& need = request.step->need;
    const auto limit = request.step->antiAffinity;
    state.evicted.assign(candidates.victims.size(), false);
    for (unsigned task = 0; task < request.tasks; ++task) {
        std::optional<worker_choice> best;
        for (std::size_t member = 0; member < state.slots.size(); ++member) {
            if (limit != 0 && state.taskCount[member] >= limit)
                continue;
            const double costLimit = best ? best->cost : std::numeric_limits<double>::infinity();
            if (auto choice = chooseVictims(state, member, need, candidates, costLimit))
                best = std::move(choice);
        }
        if (!best)
            return std::nullopt;
        apply(state, *best, need, candidates);
    }
    return state.plan;
}

} // namespace

eviction_candidates collectEvictionCandidates(
    const tables& state, unsigned priority, reclaim_right right, time_point now)
{
    eviction_candidates found;
    found.byWorker.resize(state.workers.size());
    found.expectedFree.resize(state.workers.size());
    for (const auto& [id, run] : state.runs) {
        if (isStopExpected(state, run, now) || isAwaited(state, run, right))
            found.expectedFree[run.host->slot] += run.need;
        if (run.job == nullptr || run.phase == run_phase::Stopping || !mayEvict(state, run, priority, right, now))
            continue;
        const auto unit = unitOf(state, id.task);
        const auto previous = run.job->evictions.find(unit);
        const unsigned evictions = previous == run.job->evictions.end() ? 0 : previous->second;
        if ((evictions >= maxEvictions && right == reclaim_right::None) || isAwaited(state, run, right))
            continue;
        // The runs of a unit follow one another.
        if (found.victims.empty() || found.victims.back().unit != unit)
            found.victims.push_back({ unit, 0, {} });
        auto& entry = found.victims.back();
        entry.cost += lostWorkOf(state, run, now) * (1 + evictions);
        const auto slot = run.host->slot;
        const auto known = std::find_if(entry.freed.begin(), entry.freed.end(), [slot](const auto& part) { return part.first == slot; });
        if (known != entry.freed.end())
            known->second += run.need;
        else
            entry.freed.emplace_back(slot, run.need);
    }
    for (std::size_t number = 0; number < found.victims.size(); ++number) {
        for (const auto& [slot, freed] : found.victims[number].freed)
            found.byWorker[slot].emplace_back(number, freed);
    }
    for (auto& units : found.byWorker) {
        std::sort(units.begin(), units.end(), [&](const auto& left, const auto& right) {
            return std::pair(found.victims[left.first].cost, left.first) < std::pair(found.victims[right.first].cost, right.first);
        });
    }
    return found;
}

std::optional<eviction_plan> planEviction(
    const tables& state, const placement_request& request, const eviction_candidates& candidates, time_point now)
{
    const bool oneRack = request.step->gang && request.step->sameRack;
    std::map<std::string_view, plan_state> groups;
    for (const auto& [name, row] : state.workers) {
        if (!row.reachable || !isEligible(row, request, state) || faultScoreOf(row, now) >= 1)
            continue;
        if (!request.step->affinityRack.empty() && !request.remoteAllowed && row.description.rack() != request.step->affinityRack)
            continue;
        auto& group = groups[oneRack && !request.remoteAllowed ? row.description.rack() : std::string_view()];
        group.names.push_back(&name);
        group.slots.push_back(row.slot);
        group.free.push_back(row.free() + candidates.expectedFree[row.slot]);
        const auto live = request.liveTasksByWorker.find(name);
        group.taskCount.push_back(live == request.liveTasksByWorker.end() ? 0 : live->second);
    }
    std::optional<eviction_plan> best;
    for (auto& [rack, group] : groups) {
        auto plan = planGroup(group, request, candidates);
        if (plan && (!best || plan->cost < best->cost))
            best = std::move(plan);
    }
    return best;
}

std::set<std::string> findGuaranteedJobs(const tables& state)
{
    std::map<std::string, std::int64_t> left;
    for (const auto& rule : state.rules.organisations)
        left[rule.name] = rule.guaranteedAccelerators;

    std::vector<const job_row*> jobs;
    for (const auto& [id, job] : state.jobs) {
        if (!isFinal(job.progress.state) && left.contains(job.job.organisation) && job.rule.priority == 0)
            jobs.push_back(&job);
    }
    std::sort(jobs.begin(), jobs.end(), [](const auto* a, const auto* b) {
        return std::tie(a->acceptedAt, a->job.id) < std::tie(b->acceptedAt, b->job.id);
    });

    std::set<std::string> guaranteed;
    for (const auto* job : jobs) {
        std::int64_t demand = 0;
        for (const auto& step : job->job.spec.steps)
            demand += step.need.accelerators * static_cast<std::int64_t>(step.count);
        if (demand > left[job->job.organisation])
            continue;
        left[job->job.organisation] -= demand;
        guaranteed.insert(job->job.id);
    }
    return guaranteed;
}

bool isStopExpected(const tables& state, const live_run& run, time_point now)
{
    return run.phase == run_phase::Stopping && now - run.stoppedAt <= state.limits.stopTimeout;
}

milliseconds releaseTimeOf(const tables& state, const live_run& run)
{
    auto longest = remainingTimeOf(run);
    if (run.job == nullptr || !run.job->job.spec.steps[run.id.task.step].gang)
        return longest;
    for (auto entry = firstRunOf(state, run.id.task);
         entry != state.runs.end() && isSameStep(entry->first.task, run.id.task); ++entry)
        longest = std::max(longest, remainingTimeOf(entry->second));
    return longest;
}

std::vector<expected_release> collectReleases(const tables& state, time_point now)
{
    std::vector<expected_release> releases;
    const live_run* previous = nullptr;
    milliseconds time { 0 };
    for (const auto& [id, run] : state.runs) {
        // The members of a gang follow one another and free their resources together.
        const bool sharesTime = previous != nullptr && run.job != nullptr && run.job->job.spec.steps[id.task.step].gang
            && isSameStep(previous->id.task, id.task);
        if (!sharesTime)
            time = releaseTimeOf(state, run);
        previous = &run;
        if (isStopExpected(state, run, now))
            releases.push_back({ run.host->slot, run.need, true, time });
        else if (run.phase == run_phase::Active)
            releases.push_back({ run.host->slot, run.need, false, time });
    }
    return releases;
}

milliseconds remainingTimeOf(const live_run& run)
{
    const double left = std::max(0.0, 100 - run.percent) / 100;
    if (run.ratePercent > 0)
        return milliseconds(static_cast<std::int64_t>((100 - run.percent) / run.ratePercent * 1000));
    return milliseconds(static_cast<std::int64_t>(run.expectedMs * left));
}

double lostWorkOf(const tables& state, const live_run& run, time_point now)
{
    const bool savesCheckpoints = run.job != nullptr && run.job->job.spec.steps[run.id.task.step].checkpointing;
    const auto since = savesCheckpoints && !run.checkpoint.empty() ? std::max(run.checkpointAt, run.placedAt) : run.placedAt;
    const double seconds = std::chrono::duration<double>(now - since).count() + state.limits.restartCostSeconds;
    return seconds * run.need.weight();
}

} // namespace fleet
