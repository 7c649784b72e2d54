#include <oriole/core/guarantee_plan.hpp>

#include <oriole/core/eviction_cost.hpp>
#include <oriole/core/fleet_room.hpp>
#include <oriole/core/guarantee_use.hpp>
#include <oriole/core/placement.hpp>
#include <oriole/core/shape_planner.hpp>
#include <oriole/core/tables.hpp>

#include <algorithm>
#include <bit>
#include <map>
#include <utility>

namespace oriole {

namespace {

struct guarantee_ref {
    const std::string* organisation = nullptr;
    std::size_t guarantee = 0;
};

/// A guarantee used by an attempt that is smaller than the guaranteed shape and does not run in a home.
struct partly_used {
    shape granted;
    const attempt_row* attempt = nullptr;
};

/// Guarantees, or parts of them, that have no available home.
struct guarantee_demand {
    std::map<shape, std::vector<guarantee_ref>, larger_first> unused;
    std::vector<partly_used> partlyUsed;
};

part_scorer evictionScore(const scheduler_tables& tables, time_point now)
{
    return [&tables, now](const available_resources& from, accelerator_set taken) { return evictionCost(tables, from.worker, taken, now); };
}

void addPlanned(guarantee_plan& plan, const place& where)
{
    for (const auto& [worker, taken] : where.parts) {
        auto& planned = plan.planned[worker];
        planned.accelerators |= taken.accelerators;
        planned.processors += taken.processors;
        planned.memoryGb += taken.memoryGb;
    }
}

void addUncovered(guarantee_plan& plan, const guarantee_ref& which, const shape& wanted)
{
    for (auto& existing : plan.uncovered) {
        if (existing.organisation == *which.organisation && existing.shape == wanted) {
            ++existing.missing;
            return;
        }
    }
    plan.uncovered.push_back({ *which.organisation, wanted, 1 });
}

unsigned saturatingSubtract(unsigned from, unsigned amount)
{
    return from > amount ? from - amount : 0;
}

resources resourcesHeld(const scheduler_tables& tables, worker_index where, const attempt_row& attempt)
{
    for (const auto& what : tables.workers[where].holdings) {
        if (what.attempt == &attempt)
            return { what.accelerators, what.processors, what.memoryGb };
    }
    return {};
}

/// The aligned cell of the guaranteed size around the accelerators that the attempt holds, without these accelerators.
accelerator_set remainderOfCell(accelerator_set held, unsigned granted)
{
    if (held == 0)
        return 0;
    const auto size = std::bit_ceil(granted);
    const auto offset = static_cast<unsigned>(std::countr_zero(held)) / size * size;
    const auto exact = firstAccelerators(granted) << offset;
    const auto cell = (held & ~exact) == 0 ? exact : firstAccelerators(size) << offset;
    return cell & ~held;
}

std::optional<place> remainderOnWorker(const scheduler_tables& tables, const fleet_resources& room, const partly_used& which)
{
    const auto where = which.attempt->workers.front();
    const auto& left = room[where].room;
    const resources remainder {
        remainderOfCell(resourcesHeld(tables, where, *which.attempt).accelerators, which.granted.accelerators) & left.accelerators,
        std::min(left.processors, saturatingSubtract(which.granted.processors, which.attempt->totalShape.processors)),
        std::min(left.memoryGb, saturatingSubtract(which.granted.memoryGb, which.attempt->totalShape.memoryGb)),
    };
    return place { { { where, remainder } }, 0, 0 };
}

std::optional<place> remainderInGroup(const scheduler_tables& tables, const fleet_resources& room, const partly_used& which, time_point now)
{
    const auto& worker = tables.workers[which.attempt->workers.front()];
    const auto& group = which.granted.adjacency == adjacency::Rack ? tables.racks[worker.rack] : tables.domains[worker.domain];
    const shape remainder {
        saturatingSubtract(which.granted.accelerators, which.attempt->totalShape.accelerators),
        which.granted.adjacency,
        saturatingSubtract(which.granted.processors, which.attempt->totalShape.processors),
        saturatingSubtract(which.granted.memoryGb, which.attempt->totalShape.memoryGb),
    };
    return placeInGroup(roomOfGroup(room, group), remainder, fragmentationScore(evictionScore(tables, now)));
}

/// Computes one plan.
class planner {
public:
    planner(const scheduler_tables& tables, const fleet_resources& room, time_point now)
        : m_tables(tables)
        , m_room(room)
        , m_now(now)
    {
        m_plan.planned.resize(tables.workers.size());
    }

    guarantee_plan run(const guarantee_homes& homes)
    {
        for (const auto& [name, organisation] : m_tables.organisations) {
            if (organisation.policy.guarantees.empty())
                continue;
            const auto found = homes.places.find(name);
            planOrganisation(organisation, found == homes.places.end() ? home_map() : found->second);
        }
        planRemainders();
        placeWithoutHomes();
        return std::move(m_plan);
    }

private:
    using home_map = std::map<shape, std::vector<place>>;

    /// Homes are passed by value because those in use are removed.
    void planOrganisation(const organisation_row& organisation, home_map homes)
    {
        const auto& granted = organisation.policy.guarantees;
        const auto usage = matchGuarantees(organisation);
        for (const auto& [index, attempt] : usage.used) {
            if (!planRestOfHome(homes[granted[index].shape], *attempt) && attempt->totalShape.accelerators < granted[index].shape.accelerators)
                m_demand.partlyUsed.push_back({ granted[index].shape, attempt });
        }
        for (auto& [wanted, places] : homes)
            dropUnavailable(places);
        for (std::size_t index = 0; index < granted.size(); ++index)
            assignHomes(homes[granted[index].shape], { &organisation.policy.name, index }, usage.unused[index]);
    }

    /// Plans the remainder of the home in which the attempt runs, so that the whole home is available once it has ended.
    bool planRestOfHome(std::vector<place>& homes, const attempt_row& attempt)
    {
        const auto home = std::find_if(homes.begin(), homes.end(), [&](const place& one) { return liesInHome(m_tables, one, attempt); });
        if (home == homes.end())
            return false;
        for (auto part : home->parts) {
            const auto remainder = remaining(part.taken, resourcesHeld(m_tables, part.worker, attempt));
            const auto& left = m_room[part.worker].room;
            part.taken = { remainder.accelerators & left.accelerators, std::min(remainder.processors, left.processors), std::min(remainder.memoryGb, left.memoryGb) };
            take({ { part }, 0, 0 });
        }
        homes.erase(home);
        return true;
    }

    void dropUnavailable(std::vector<place>& homes) const
    {
        std::erase_if(homes, [&](const place& home) {
            return !std::all_of(home.parts.begin(), home.parts.end(), [&](const place_part& part) { return contains(m_room[part.worker].room, part.taken); });
        });
        std::stable_sort(homes.begin(), homes.end(), [&](const place& left, const place& right) { return costOf(left) < costOf(right); });
    }

    [[nodiscard]] unsigned costOf(const place& home) const
    {
        double cost = 0;
        for (const auto& part : home.parts)
            cost += evictionCost(m_tables, part.worker, part.taken.accelerators, m_now);
        return costBucket(cost);
    }

    void assignHomes(std::vector<place>& homes, const guarantee_ref& which, unsigned unused)
    {
        const auto assigned = std::min<std::size_t>(unused, homes.size());
        for (std::size_t index = 0; index < assigned; ++index)
            addCell(which, homes[index]);
        homes.erase(homes.begin(), homes.begin() + static_cast<std::ptrdiff_t>(assigned));
        m_plan.unused += static_cast<unsigned>(assigned);
        if (assigned < unused) {
            auto& members = m_demand.unused[m_tables.organisations.at(*which.organisation).policy.guarantees[which.guarantee].shape];
            members.insert(members.end(), unused - assigned, which);
        }
    }

    void addCell(const guarantee_ref& which, const place& where)
    {
        take(where);
        m_plan.cells.push_back({ *which.organisation, which.guarantee, where });
    }

    void take(const place& where)
    {
        addPlanned(m_plan, where);
        for (const auto& part : where.parts)
            takeFrom(m_room, part);
    }

    void planRemainders()
    {
        // On one worker the remainder of a cell has a fixed place. The remainder of a larger gang can be placed in several
        // ways, so it comes second.
        std::stable_sort(m_demand.partlyUsed.begin(), m_demand.partlyUsed.end(), [](const partly_used& left, const partly_used& right) {
            const bool leftOnOneWorker = requiresOneWorker(left.granted);
            return leftOnOneWorker != requiresOneWorker(right.granted) ? leftOnOneWorker : larger_first()(left.granted, right.granted);
        });
        for (const auto& which : m_demand.partlyUsed) {
            if (const auto remainder = requiresOneWorker(which.granted) ? remainderOnWorker(m_tables, m_room, which) : remainderInGroup(m_tables, m_room, which, m_now))
                take(*remainder);
        }
    }

    void placeWithoutHomes()
    {
        for (const auto& [wanted, members] : m_demand.unused) {
            const auto cost = evictionScore(m_tables, m_now);
            shape_planner places(m_tables, m_room, wanted, requiresOneWorker(wanted) ? cost : fragmentationScore(cost));
            for (const auto& which : members) {
                ++m_plan.unused;
                place found;
                if (!places.next(found)) {
                    addUncovered(m_plan, which, wanted);
                    continue;
                }
                addPlanned(m_plan, found);
                m_plan.cells.push_back({ *which.organisation, which.guarantee, std::move(found) });
            }
        }
    }

    const scheduler_tables& m_tables;
    fleet_resources m_room;
    time_point m_now;
    guarantee_plan m_plan;
    guarantee_demand m_demand;
};

} // namespace

guarantee_plan planGuarantees(const scheduler_tables& tables, const fleet_resources& room, time_point now)
{
    const bool current = tables.homes.version == tables.homesVersion;
    auto plan = planner(tables, room, now).run(current ? tables.homes : computeHomes(tables));
    if (plan.uncovered.empty())
        return plan;
    // If workers are missing, homes may block a large shape whose own home is lost. Plan without homes and keep the
    // better plan.
    auto withoutHomes = planner(tables, room, now).run({});
    return withoutHomes.cells.size() > plan.cells.size() ? withoutHomes : plan;
}

void consumeCell(guarantee_plan& plan, std::size_t cell, const place& taken)
{
    for (const auto& [worker, amount] : taken.parts)
        plan.planned[worker] = remaining(plan.planned[worker], amount);
    plan.cells.erase(plan.cells.begin() + static_cast<std::ptrdiff_t>(cell));
}

} // namespace oriole
