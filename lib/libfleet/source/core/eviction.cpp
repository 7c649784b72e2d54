#include <fleet/core/eviction.hpp>

#include <algorithm>
#include <tuple>

namespace fleet {

namespace {

// A stop and a restart cost about this much run time even if all work is saved in a checkpoint.
constexpr double restartCostSeconds = 0.8;

struct victim {
    double cost = 0;
    std::map<std::string, resources> freed; ///< Resources that the eviction frees, by worker.
};

// A unit that was evicted this many times is evicted again only to reclaim a guarantee; this prevents its starvation.
constexpr unsigned maxEvictions = 2;

bool endsSoon(const tables& state, const live_run& run)
{
    return run.phase == run_phase::Active && run.ratePercent > 0 && releaseTimeOf(state, run) <= nearEndLimit;
}

bool isAwaited(const tables& state, const live_run& run, reclaim_right right)
{
    return right != reclaim_right::Due && endsSoon(state, run);
}

using victim_table = std::map<unit_id, victim>;

bool mayEvict(const tables& state, const job_row& job, unsigned priority, reclaim_right right)
{
    const auto victimPriority = ruleOf(state, job).priority;
    if (victimPriority > priority)
        return true;
    return victimPriority == 0 && priority == 0 && right != reclaim_right::None
        && !state.guaranteedJobs.contains(job.job.id);
}

victim_table collectVictims(const tables& state, unsigned priority, reclaim_right right, time_point now)
{
    victim_table victims;
    for (const auto& [id, run] : state.runs) {
        const auto job = state.jobs.find(id.task.job);
        if (job == state.jobs.end() || run.phase == run_phase::Stopping
            || !mayEvict(state, job->second, priority, right))
            continue;
        const auto unit = unitOf(state, id.task);
        const auto previous = job->second.evictions.find(unit);
        const unsigned evictions = previous == job->second.evictions.end() ? 0 : previous->second;
        if ((evictions >= maxEvictions && right == reclaim_right::None) || isAwaited(state, run, right))
            continue;
        auto& entry = victims[unit];
        entry.cost += lostWorkOf(state, run, now) * (1 + evictions);
        entry.freed[run.worker] += run.need;
    }
    return victims;
}

/// @brief Resources of runs that are being stopped or are about to end, by worker.
std::map<std::string, resources> findExpectedFree(const tables& state, reclaim_right right, time_point now)
{
    std::map<std::string, resources> expectedFree;
    for (const auto& [id, run] : state.runs) {
        if (isStopExpected(run, now) || isAwaited(state, run, right))
            expectedFree[run.worker] += run.need;
    }
    return expectedFree;
}

using victims_by_worker = std::map<std::string, std::vector<std::pair<double, unit_id>>>;

/// @brief Lists the evictable units of each worker, sorted by ascending cost.
victims_by_worker indexVictims(const victim_table& victims)
{
    victims_by_worker index;
    for (const auto& [unit, entry] : victims) {
        for (const auto& [worker, freed] : entry.freed)
            index[worker].emplace_back(entry.cost, unit);
    }
    for (auto& [worker, units] : index)
        std::sort(units.begin(), units.end());
    return index;
}

/// @brief The plan so far for one group of workers, and the resources that remain free on these workers under the plan.
struct plan_state {
    std::map<std::string, resources> free;
    std::map<std::string, unsigned> taskCount;
    eviction_plan plan;
};

/// @brief Units to be evicted from a worker so that one more task fits on it.
struct worker_choice {
    std::string worker;
    std::vector<unit_id> victims;
    double cost = 0;
};

/// @return No value if the task doesn't fit even after all evictions.
std::optional<worker_choice> chooseVictims(const plan_state& state, const std::string& worker, const resources& need,
    const victim_table& victims, const victims_by_worker& index)
{
    worker_choice choice { worker, {}, 0 };
    auto free = state.free.at(worker);
    const auto evictable = index.find(worker);
    if (evictable != index.end()) {
        for (const auto& [cost, unit] : evictable->second) {
            if (need.fits(free))
                break;
            if (state.plan.victims.contains(unit))
                continue;
            free += victims.at(unit).freed.at(worker);
            choice.victims.push_back(unit);
            choice.cost += cost;
        }
    }
    if (!need.fits(free))
        return std::nullopt;
    return choice;
}

void apply(plan_state& state, const worker_choice& choice, const resources& need, const victim_table& victims)
{
    for (const auto& unit : choice.victims) {
        state.plan.victims.insert(unit);
        for (const auto& [worker, freed] : victims.at(unit).freed) {
            if (const auto entry = state.free.find(worker); entry != state.free.end())
                entry->second += freed;
        }
    }
    state.plan.cost += choice.cost;
    state.plan.workers.push_back(choice.worker);
    state.free[choice.worker] -= need;
    ++state.taskCount[choice.worker];
}

std::optional<eviction_plan> planGroup(plan_state state, const placement_request& request, const victim_table& victims,
    const victims_by_worker& index)
{
    const auto& need = request.step->need;
    const auto limit = request.step->antiAffinity;
    for (unsigned task = 0; task < request.tasks; ++task) {
        std::optional<worker_choice> best;
        for (const auto& [worker, free] : state.free) {
            if (limit != 0 && state.taskCount[worker] >= limit)
                continue;
            auto choice = chooseVictims(state, worker, need, victims, index);
            if (choice && (!best || choice->cost < best->cost))
                best = std::move(choice);
        }
        if (!best)
            return std::nullopt;
        apply(state, *best, need, victims);
    }
    return state.plan;
}

} // namespace

std::optional<eviction_plan> planEviction(
    const tables& state, const placement_request& request, unsigned priority, reclaim_right right, time_point now)
{
    const auto victims = collectVictims(state, priority, right, now);
    const auto index = indexVictims(victims);
    const auto expectedFree = findExpectedFree(state, right, now);
    const bool oneRack = request.step->gang && request.step->sameRack;
    std::map<std::string, plan_state> groups;
    for (const auto& [name, row] : state.workers) {
        if (!row.reachable || !isEligible(row, request, state) || faultScoreOf(row, now) >= 1)
            continue;
        if (!request.step->affinityRack.empty() && !request.remoteAllowed && row.description.rack() != request.step->affinityRack)
            continue;
        auto& group = groups[oneRack && !request.remoteAllowed ? row.description.rack() : std::string()];
        group.free[name] = row.free();
        if (const auto entry = expectedFree.find(name); entry != expectedFree.end())
            group.free[name] += entry->second;
        if (const auto live = request.liveTasksByWorker.find(name); live != request.liveTasksByWorker.end())
            group.taskCount[name] = live->second;
    }
    std::optional<eviction_plan> best;
    for (const auto& [rack, group] : groups) {
        auto plan = planGroup(group, request, victims, index);
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
        if (!isFinal(job.progress.state) && left.contains(job.job.organisation) && ruleOf(state, job).priority == 0)
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

bool isStopExpected(const live_run& run, time_point now)
{
    return run.phase == run_phase::Stopping && now - run.stoppedAt <= stopTimeout;
}

milliseconds releaseTimeOf(const tables& state, const live_run& run)
{
    auto longest = remainingTimeOf(run);
    const auto job = state.jobs.find(run.id.task.job);
    if (job == state.jobs.end() || !job->second.job.spec.steps[run.id.task.step].gang)
        return longest;
    for (auto entry = firstRunOf(state, run.id.task);
         entry != state.runs.end() && isSameStep(entry->first.task, run.id.task); ++entry)
        longest = std::max(longest, remainingTimeOf(entry->second));
    return longest;
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
    const auto job = state.jobs.find(run.id.task.job);
    const bool savesCheckpoints = job != state.jobs.end() && job->second.job.spec.steps[run.id.task.step].checkpointing;
    const auto since = savesCheckpoints && !run.checkpoint.empty() ? std::max(run.checkpointAt, run.placedAt) : run.placedAt;
    const double seconds = std::chrono::duration<double>(now - since).count() + restartCostSeconds;
    return seconds * run.need.weight();
}

} // namespace fleet
