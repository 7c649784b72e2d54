#include <fleet/core/eviction.hpp>

#include <algorithm>

namespace fleet {

namespace {

// A stop and a new start cost about this much run time even when all work is saved.
constexpr double restartSeconds = 0.8;

struct victim {
    double cost = 0;
    std::map<std::string, room> freed; ///< By worker.
};

// A unit gives way so often; then only a guarantee takes its place, so that it ends some day.
constexpr unsigned maxEvictions = 2;

// What ends by itself within this time is waited for: a stop and the end it lists take half of it.
constexpr milliseconds soonDone { 700 };

bool endsSoon(const live_run& run)
{
    return run.phase == run_phase::Active && run.ratePercent > 0 && remainingOf(run) <= soonDone;
}

using victim_table = std::map<unit_id, victim>;

bool mayEvict(const tables& state, const job_row& job, unsigned priority, bool reclaims)
{
    const auto victimPriority = ruleOf(state, job).priority;
    if (victimPriority > priority)
        return true;
    return victimPriority == 0 && priority == 0 && reclaims && !state.withinGuarantee.contains(job.job.organisation);
}

victim_table collectVictims(const tables& state, unsigned priority, bool reclaims, time_point now)
{
    victim_table victims;
    for (const auto& [id, run] : state.runs) {
        const auto job = state.jobs.find(id.task.job);
        if (job == state.jobs.end() || run.phase == run_phase::Stopping || !mayEvict(state, job->second, priority, reclaims))
            continue;
        const auto unit = unitOf(state, id.task);
        const auto past = job->second.evictions.find(unit);
        const unsigned times = past == job->second.evictions.end() ? 0 : past->second;
        if ((times >= maxEvictions && !reclaims) || endsSoon(run))
            continue;
        auto& entry = victims[unit];
        entry.cost += lossOf(state, run, now) * (1 + times);
        entry.freed[run.worker] += run.need;
    }
    return victims;
}

/// @brief Room that is being freed by runs whose stop is on its way, or that end by themselves soon.
std::map<std::string, room> leavingRoom(const tables& state)
{
    std::map<std::string, room> leaving;
    for (const auto& [id, run] : state.runs) {
        if (run.phase == run_phase::Stopping || endsSoon(run))
            leaving[run.worker] += run.need;
    }
    return leaving;
}

using victims_by_worker = std::map<std::string, std::vector<std::pair<double, unit_id>>>;

/// @brief Units on each worker, the cheapest first.
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

/// @brief Workers of one group with the room that the plan so far gives them.
struct plan_state {
    std::map<std::string, room> free;
    std::map<std::string, unsigned> taken;
    eviction_plan plan;
};

/// @brief What has to go so that one more task fits on a worker.
struct worker_choice {
    std::string worker;
    std::vector<unit_id> victims;
    double cost = 0;
};

/// @return No value when the task never fits there.
std::optional<worker_choice> chooseVictims(const plan_state& state, const std::string& worker, const room& need,
    const victim_table& victims, const victims_by_worker& index)
{
    worker_choice choice { worker, {}, 0 };
    auto free = state.free.at(worker);
    const auto here = index.find(worker);
    if (here != index.end()) {
        for (const auto& [cost, unit] : here->second) {
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

void apply(plan_state& state, const worker_choice& choice, const room& need, const victim_table& victims)
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
    ++state.taken[choice.worker];
}

std::optional<eviction_plan> planGroup(plan_state state, const placement_request& request, const victim_table& victims,
    const victims_by_worker& index)
{
    const auto& need = request.step->need;
    const auto limit = request.step->antiAffinity;
    for (unsigned task = 0; task < request.tasks; ++task) {
        std::optional<worker_choice> best;
        for (const auto& [worker, free] : state.free) {
            if (limit != 0 && state.taken[worker] >= limit)
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
    const tables& state, const placement_request& request, unsigned priority, bool reclaims, time_point now)
{
    const auto victims = collectVictims(state, priority, reclaims, now);
    const auto index = indexVictims(victims);
    const auto leaving = leavingRoom(state);
    const bool oneRack = request.step->gang && request.step->sameRack;
    std::map<std::string, plan_state> groups;
    for (const auto& [name, row] : state.workers) {
        if (!row.reachable || !isEligible(row, request, state) || badnessOf(row, now) >= 1)
            continue;
        if (!request.step->affinityRack.empty() && !request.farAllowed && row.about.rack() != request.step->affinityRack)
            continue;
        auto& group = groups[oneRack && !request.farAllowed ? row.about.rack() : std::string()];
        group.free[name] = row.free();
        if (const auto entry = leaving.find(name); entry != leaving.end())
            group.free[name] += entry->second;
        if (const auto live = request.onWorker.find(name); live != request.onWorker.end())
            group.taken[name] = live->second;
    }
    std::optional<eviction_plan> best;
    for (const auto& [rack, group] : groups) {
        auto plan = planGroup(group, request, victims, index);
        if (plan && (!best || plan->cost < best->cost))
            best = std::move(plan);
    }
    return best;
}

std::set<std::string> findWithinGuarantee(const tables& state)
{
    std::map<std::string, std::int64_t> demand;
    for (const auto& [id, job] : state.jobs) {
        if (isFinal(job.progress.state) || ruleOf(state, job).priority != 0)
            continue;
        for (const auto& step : job.job.spec.steps)
            demand[job.job.organisation] += step.need.accelerators * static_cast<std::int64_t>(step.count);
    }
    std::set<std::string> within;
    for (const auto& rule : state.rules.organisations) {
        if (demand[rule.name] <= rule.guaranteedAccelerators)
            within.insert(rule.name);
    }
    return within;
}

milliseconds remainingOf(const live_run& run)
{
    const double left = std::max(0.0, 100 - run.percent) / 100;
    if (run.ratePercent > 0)
        return milliseconds(static_cast<std::int64_t>((100 - run.percent) / run.ratePercent * 1000));
    return milliseconds(static_cast<std::int64_t>(run.expectedMs * left));
}

double lossOf(const tables& state, const live_run& run, time_point now)
{
    const auto job = state.jobs.find(run.id.task.job);
    const bool saves = job != state.jobs.end() && job->second.job.spec.steps[run.id.task.step].checkpointing;
    const auto since = saves && !run.checkpoint.empty() ? std::max(run.checkpointAt, run.placedAt) : run.placedAt;
    const double seconds = std::chrono::duration<double>(now - since).count() + restartSeconds;
    return seconds * run.need.weight();
}

} // namespace fleet
