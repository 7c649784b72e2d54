#include <oriole/core/guaranteed_starts.hpp>

#include <oriole/core/eviction_cost.hpp>
#include <oriole/core/guarantee_use.hpp>
#include <oriole/core/job_order.hpp>
#include <oriole/core/placement.hpp>

#include <algorithm>

namespace oriole {

namespace {

constexpr std::chrono::seconds maxPlanAge { 1 };
constexpr unsigned refusalsBeforeSwap = 3; // Refusals in a row.

bool cellUsable(const decision_round& round, const planned_cell& cell, const job_row& job)
{
    return std::none_of(cell.where.parts.begin(), cell.where.parts.end(), [&](const place_part& part) { return round.avoids(job, part.worker); });
}

const shape& shapeOf(const scheduler_tables& tables, const planned_cell& cell)
{
    return tables.organisations.at(cell.organisation).policy.guarantees[cell.guarantee].shape;
}

/// Chooses a planned cell of the guarantee. If none is usable and the job has failed before or was refused too often, a
/// cell is swapped with a usable one of the same shape, which may be the home of another organisation.
std::optional<std::size_t> chooseCell(decision_round& round, const job_row& job, std::size_t guarantee)
{
    auto& cells = round.tables.plan.cells;
    const auto isOwn = [&](const planned_cell& cell) { return cell.guarantee == guarantee && cell.organisation == job.spec.organisation; };
    const auto usable = [&](const planned_cell& cell) { return cellUsable(round, cell, job); };
    const auto own = std::find_if(cells.begin(), cells.end(), isOwn);
    if (own == cells.end())
        return std::nullopt;
    const auto best = std::find_if(own, cells.end(), [&](const planned_cell& cell) { return isOwn(cell) && usable(cell); });
    if (best != cells.end())
        return static_cast<std::size_t>(best - cells.begin());
    if (job.failedWorkers.empty() && job.guaranteedRefusals < refusalsBeforeSwap)
        return static_cast<std::size_t>(own - cells.begin());

    const auto other = std::find_if(cells.begin(), cells.end(), [&](const planned_cell& cell) { return shapeOf(round.tables, cell) == shapeOf(round.tables, *own) && usable(cell); });
    if (other == cells.end())
        return std::nullopt;
    std::swap(own->where, other->where);
    return static_cast<std::size_t>(own - cells.begin());
}

/// Resources available to the cell: its accelerators, and the processors and memory that neither other cells nor work
/// that must not be evicted need.
std::vector<available_resources> roomOfCell(const scheduler_tables& tables, const planned_cell& cell)
{
    std::vector<available_resources> rooms;
    for (const auto& [where, taken] : cell.where.parts) {
        const auto& worker = tables.workers[where];
        const resources whole { taken.accelerators, worker.info.processors, worker.info.memoryGb };
        const auto others = remaining(tables.plan.planned[where], taken);
        const auto left = remaining(remaining(whole, worker.nonEvictable), { 0, others.processors, others.memoryGb });
        rooms.push_back({ where, { taken.accelerators & left.accelerators, left.processors, left.memoryGb } });
    }
    return rooms;
}

std::optional<place> placeInCell(const decision_round& round, const planned_cell& cell, const shape& wanted)
{
    const auto rooms = roomOfCell(round.tables, cell);
    const auto score = [&](const available_resources& from, accelerator_set taken) { return evictionCost(round.tables, from.worker, taken, round.now); };
    return requiresOneWorker(wanted) ? placeOnWorker(rooms, wanted, score) : placeInGroup(rooms, wanted, score);
}

void startInGuarantee(decision_round& round, job_row& job, std::size_t guarantee)
{
    const auto cell = chooseCell(round, job, guarantee);
    if (!cell)
        return;

    const bool urgent = job.spec.jobClass == job_class::Urgent && round.tables.organisationFor(job.spec.organisation).policy.mayRunUrgent;
    const auto planned = placeInCell(round, round.tables.plan.cells[*cell], job.spec.shape);
    if (!planned)
        return;
    const bool evicts = needsEviction(round.tables, *planned);
    round.countSearch();
    consumeCell(round.tables.plan, *cell, *planned);
    round.start(job, *planned, { .guaranteed = true, .urgent = urgent, .evictBorrowed = true, .rule = evicts ? "reclaim" : "guarantee" });
}

std::vector<job_row*> candidates(const decision_round& round, const organisation_row& organisation)
{
    auto jobs = waitingByRank(round, organisation, false);
    const auto before = [](const job_row* left, const job_row* right) {
        if (left->spec.jobClass != right->spec.jobClass)
            return left->spec.jobClass == job_class::Urgent;
        return left->spec.shape.accelerators > right->spec.shape.accelerators;
    };
    std::stable_sort(jobs.begin(), jobs.end(), before);
    return jobs;
}

} // namespace

void updatePlan(decision_round& round)
{
    auto& tables = round.tables;
    updateHomes(tables, round.now);
    const bool fresh = tables.plannedVersion == tables.planVersion && round.now - tables.plannedAt < maxPlanAge;
    if (fresh && tables.plan.planned.size() == tables.workers.size())
        return;
    tables.plan = planGuarantees(tables, reclaimableResources(tables), round.now);
    tables.plannedVersion = tables.planVersion;
    tables.plannedAt = round.now;
}

void startGuaranteed(decision_round& round)
{
    for (const auto& [name, organisation] : round.tables.organisations) {
        if (organisation.policy.guarantees.empty() || organisation.waiting.empty())
            continue;
        for (auto* job : candidates(round, organisation)) {
            if (round.exhausted())
                return;
            if (!round.mayStart(*job))
                continue;
            if (const auto guarantee = guaranteeFor(organisation, job->spec.shape))
                startInGuarantee(round, *job, *guarantee);
        }
    }
}

} // namespace oriole
