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

/// A guarantee in use by an attempt that is smaller than the guaranteed shape and not at home.
struct partly_used {
    shape granted;
    const attempt_row* attempt = nullptr;
};

/// What has no home that could be had.
struct guarantee_demand {
    std::map<shape, std::vector<guarantee_ref>, larger_first> unused;
    std::vector<partly_used> partlyUsed;
};

part_scorer costScore(const scheduler_tables& tables, time_point now)
{
    return [&tables, now](const room_at& from, accelerator_set taken) { return evictionCost(tables, from.worker, taken, now); };
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
    for (auto& known : plan.uncovered) {
        if (known.organisation == *which.organisation && known.shape == wanted) {
            ++known.missing;
            return;
        }
    }
    plan.uncovered.push_back({ *which.organisation, wanted, 1 });
}

unsigned without(unsigned from, unsigned amount)
{
    return from > amount ? from - amount : 0;
}

amounts heldOn(const scheduler_tables& tables, worker_index where, const attempt_row& attempt)
{
    for (const auto& what : tables.workers[where].holdings) {
        if (what.attempt == &attempt)
            return { what.accelerators, what.processors, what.memoryGb };
    }
    return {};
}

/// The cell of the guaranteed size around what the attempt holds on its worker, without that.
accelerator_set restOfCell(accelerator_set held, unsigned granted)
{
    if (held == 0)
        return 0;
    const auto size = std::bit_ceil(granted);
    const auto offset = static_cast<unsigned>(std::countr_zero(held)) / size * size;
    const auto exact = firstAccelerators(granted) << offset;
    const auto cell = (held & ~exact) == 0 ? exact : firstAccelerators(size) << offset;
    return cell & ~held;
}

std::optional<place> restOnWorker(const scheduler_tables& tables, const fleet_room& room, const partly_used& which)
{
    const auto where = which.attempt->workers.front();
    const auto& left = room[where].room;
    const amounts rest {
        restOfCell(heldOn(tables, where, *which.attempt).accelerators, which.granted.accelerators) & left.accelerators,
        std::min(left.processors, without(which.granted.processors, which.attempt->whole.processors)),
        std::min(left.memoryGb, without(which.granted.memoryGb, which.attempt->whole.memoryGb)),
    };
    return place { { { where, rest } }, 0, 0 };
}

std::optional<place> restInGroup(const scheduler_tables& tables, const fleet_room& room, const partly_used& which, time_point now)
{
    const auto& worker = tables.workers[which.attempt->workers.front()];
    const auto& group = which.granted.adjacency == adjacency::Rack ? tables.racks[worker.rack] : tables.domains[worker.domain];
    const shape rest {
        without(which.granted.accelerators, which.attempt->whole.accelerators),
        which.granted.adjacency,
        without(which.granted.processors, which.attempt->whole.processors),
        without(which.granted.memoryGb, which.attempt->whole.memoryGb),
    };
    return placeOnGroup(roomOfGroup(room, group), rest, sparingScore(costScore(tables, now)));
}

/// Makes one plan.
class planner {
public:
    planner(const scheduler_tables& tables, const fleet_room& room, time_point now)
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
        keepRests();
        placeOthers();
        return std::move(m_plan);
    }

private:
    using home_map = std::map<shape, std::vector<place>>;

    /// Homes are passed by value: those in use are taken out.
    void planOrganisation(const organisation_row& organisation, home_map homes)
    {
        const auto& granted = organisation.policy.guarantees;
        const auto usage = usageOf(organisation);
        for (const auto& [index, attempt] : usage.used) {
            if (!keepHome(homes[granted[index].shape], *attempt) && attempt->whole.accelerators < granted[index].shape.accelerators)
                m_demand.partlyUsed.push_back({ granted[index].shape, attempt });
        }
        for (auto& [wanted, places] : homes)
            dropTaken(places);
        for (std::size_t index = 0; index < granted.size(); ++index)
            bindHomes(homes[granted[index].shape], { &organisation.policy.name, index }, usage.unused[index]);
    }

    /// Keeps the rest of the home in which the attempt runs, so that the whole home is there once it has ended.
    bool keepHome(std::vector<place>& homes, const attempt_row& attempt)
    {
        const auto home = std::find_if(homes.begin(), homes.end(), [&](const place& one) { return isHomeOf(m_tables, one, attempt); });
        if (home == homes.end())
            return false;
        for (auto part : home->parts) {
            const auto rest = remaining(part.taken, heldOn(m_tables, part.worker, attempt));
            const auto& left = m_room[part.worker].room;
            part.taken = { rest.accelerators & left.accelerators, std::min(rest.processors, left.processors), std::min(rest.memoryGb, left.memoryGb) };
            take({ { part }, 0, 0 });
        }
        homes.erase(home);
        return true;
    }

    void dropTaken(std::vector<place>& homes) const
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
        return costStep(cost);
    }

    void bindHomes(std::vector<place>& homes, const guarantee_ref& which, unsigned unused)
    {
        const auto bound = std::min<std::size_t>(unused, homes.size());
        for (std::size_t index = 0; index < bound; ++index)
            addCell(which, homes[index]);
        homes.erase(homes.begin(), homes.begin() + static_cast<std::ptrdiff_t>(bound));
        m_plan.unused += static_cast<unsigned>(bound);
        if (bound < unused) {
            auto& members = m_demand.unused[m_tables.organisations.at(*which.organisation).policy.guarantees[which.guarantee].shape];
            members.insert(members.end(), unused - bound, which);
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

    void keepRests()
    {
        // The rest of a cell on one worker is bound to its place; that of a gang has a choice and goes second.
        std::stable_sort(m_demand.partlyUsed.begin(), m_demand.partlyUsed.end(), [](const partly_used& left, const partly_used& right) {
            const bool leftBound = onOneWorker(left.granted);
            return leftBound != onOneWorker(right.granted) ? leftBound : larger_first()(left.granted, right.granted);
        });
        for (const auto& which : m_demand.partlyUsed) {
            if (const auto rest = onOneWorker(which.granted) ? restOnWorker(m_tables, m_room, which) : restInGroup(m_tables, m_room, which, m_now))
                take(*rest);
        }
    }

    void placeOthers()
    {
        for (const auto& [wanted, members] : m_demand.unused) {
            const auto cost = costScore(m_tables, m_now);
            shape_planner places(m_tables, m_room, wanted, onOneWorker(wanted) ? cost : sparingScore(cost));
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
    fleet_room m_room;
    time_point m_now;
    guarantee_plan m_plan;
    guarantee_demand m_demand;
};

} // namespace

guarantee_plan planGuarantees(const scheduler_tables& tables, const fleet_room& room, time_point now)
{
    const bool known = tables.homes.version == tables.homesVersion;
    auto plan = planner(tables, room, now).run(known ? tables.homes : findHomes(tables));
    if (plan.uncovered.empty())
        return plan;
    // With workers gone, homes may stand in the way of a large shape that has lost its own.
    auto other = planner(tables, room, now).run({});
    return other.cells.size() > plan.cells.size() ? other : plan;
}

void useCell(guarantee_plan& plan, std::size_t cell, const place& taken)
{
    for (const auto& [worker, amount] : taken.parts)
        plan.planned[worker] = remaining(plan.planned[worker], amount);
    plan.cells.erase(plan.cells.begin() + static_cast<std::ptrdiff_t>(cell));
}

} // namespace oriole
