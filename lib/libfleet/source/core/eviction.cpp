#include <fleet/core/eviction.hpp>

#include <algorithm>
#include <limits>

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

using victim_table = std::map<unit_id, victim>;

bool mayEvict(const tables& state, const job_row& job, unsigned priority, bool reclaims)
{
    const auto victimPriority = ruleOf(state, job).priority;
    if (victimPriority > priority)
        return true;
    return victimPriority == 0 && priority == 0 && reclaims && !isWithinGuarantee(state, job.job.organisation);
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
        if (times >= maxEvictions && !reclaims)
            continue;
        auto& entry = victims[unit];
        entry.cost += lossOf(state, run, now) * (1 + times);
        entry.freed[run.worker] += run.need;
    }
    return victims;
}

/// @brief Room that is being freed by runs whose stop is on its way.
std::map<std::string, room> leavingRoom(const tables& state)
{
    std::map<std::string, room> leaving;
    for (const auto& [id, run] : state.runs) {
        if (run.phase == run_phase::Stopping)
            leaving[run.worker] += run.need;
    }
    return leaving;
}

/// @brief Workers of one group with the room that the plan so far gives them.
struct plan_state {
    std::map<std::string, room> free;
    std::map<std::string, unsigned> taken;
    eviction_plan plan;
};

void evict(plan_state& state, const unit_id& unit, const victim& chosen)
{
    state.plan.victims.insert(unit);
    state.plan.cost += chosen.cost;
    for (const auto& [worker, freed] : chosen.freed) {
        if (const auto entry = state.free.find(worker); entry != state.free.end())
            entry->second += freed;
    }
}

/// @brief Evicts the cheapest units on @p worker until @p need fits.
/// @return No value when it never fits.
std::optional<plan_state> fitOne(
    plan_state state, const std::string& worker, const room& need, const victim_table& victims)
{
    std::vector<std::pair<double, unit_id>> here;
    for (const auto& [unit, entry] : victims) {
        if (entry.freed.contains(worker) && !state.plan.victims.contains(unit))
            here.emplace_back(entry.cost, unit);
    }
    std::sort(here.begin(), here.end());
    for (const auto& [cost, unit] : here) {
        if (need.fits(state.free[worker]))
            break;
        evict(state, unit, victims.at(unit));
    }
    if (!need.fits(state.free[worker]))
        return std::nullopt;
    state.free[worker] -= need;
    ++state.taken[worker];
    state.plan.workers.push_back(worker);
    return state;
}

std::optional<eviction_plan> planGroup(
    const plan_state& start, const placement_request& request, const victim_table& victims)
{
    auto current = start;
    for (unsigned task = 0; task < request.tasks; ++task) {
        std::optional<plan_state> best;
        for (const auto& [worker, free] : start.free) {
            const auto limit = request.step->antiAffinity;
            if (limit != 0 && current.taken[worker] >= limit)
                continue;
            auto next = fitOne(current, worker, request.step->need, victims);
            if (next && (!best || next->plan.cost < best->plan.cost))
                best = std::move(next);
        }
        if (!best)
            return std::nullopt;
        current = std::move(*best);
    }
    return current.plan;
}

} // namespace

std::optional<eviction_plan> planEviction(
    const tables& state, const placement_request& request, unsigned priority, bool reclaims, time_point now)
{
    const auto victims = collectVictims(state, priority, reclaims, now);
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
        auto plan = planGroup(group, request, victims);
        if (plan && (!best || plan->cost < best->cost))
            best = std::move(plan);
    }
    return best;
}

std::int64_t guaranteedDemand(const tables& state, const std::string& organisation)
{
    std::int64_t sum = 0;
    for (const auto& [id, job] : state.jobs) {
        if (job.job.organisation != organisation || isFinal(job.progress.state) || ruleOf(state, job).priority != 0)
            continue;
        for (const auto& step : job.job.spec.steps)
            sum += step.need.accelerators * static_cast<std::int64_t>(step.count);
    }
    return sum;
}

bool isWithinGuarantee(const tables& state, const std::string& organisation)
{
    for (const auto& rule : state.rules.organisations) {
        if (rule.name == organisation)
            return guaranteedDemand(state, organisation) <= rule.guaranteedAccelerators;
    }
    return false;
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
