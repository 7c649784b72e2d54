#include <oriole/core/guarantee_plan.hpp>

#include <oriole/core/eviction_cost.hpp>
#include <oriole/core/fleet_room.hpp>
#include <oriole/core/guarantee_use.hpp>
#include <oriole/core/placement.hpp>
#include <oriole/core/tables.hpp>

#include <algorithm>
#include <bit>
#include <cmath>
#include <map>
#include <queue>
#include <tuple>

namespace oriole {

namespace {

struct guarantee_ref {
    const std::string* organisation = nullptr;
    std::size_t guarantee = 0;
};

/// A guarantee in use by an attempt that is smaller than the guaranteed shape.
struct partly_used {
    shape granted;
    const attempt_row* attempt = nullptr;
};

/// Larger shapes first: what is left is then still fit for the smaller ones.
struct larger_first {
    bool operator()(const shape& left, const shape& right) const
    {
        const auto order = [](const shape& one) { return std::tuple(one.accelerators, one.processors, one.memoryGb); };
        if (order(left) != order(right))
            return order(left) > order(right);
        return left.adjacency < right.adjacency;
    }
};

struct guarantee_demand {
    std::map<shape, std::vector<guarantee_ref>, larger_first> unused;
    std::vector<partly_used> partlyUsed;
};

guarantee_demand demandOf(const scheduler_tables& tables)
{
    guarantee_demand demand;
    for (const auto& [name, organisation] : tables.organisations) {
        const auto& granted = organisation.policy.guarantees;
        if (granted.empty())
            continue;
        const auto usage = usageOf(organisation);
        for (std::size_t index = 0; index < granted.size(); ++index) {
            auto& members = demand.unused[granted[index].shape];
            members.insert(members.end(), usage.unused[index], guarantee_ref { &name, index });
        }
        for (const auto& [index, attempt] : usage.used) {
            if (attempt->whole.accelerators < granted[index].shape.accelerators)
                demand.partlyUsed.push_back({ granted[index].shape, attempt });
        }
    }
    // The rest of a cell on one worker is bound to its place; that of a gang has a choice and goes second.
    std::stable_sort(demand.partlyUsed.begin(), demand.partlyUsed.end(), [](const partly_used& left, const partly_used& right) {
        const bool leftBound = onOneWorker(left.granted);
        return leftBound != onOneWorker(right.granted) ? leftBound : larger_first()(left.granted, right.granted);
    });
    return demand;
}

constexpr double brokenWeight = 1e9; // Per accelerator of the holes that a gang breaks; outweighs any cost.

/// Scores a part of a gang over several workers: whole workers are spared for shapes that need them.
part_scorer sparingScore(const scheduler_tables& tables, time_point now)
{
    return [&tables, now](const room_at& from, accelerator_set taken) {
        const auto broken = holeAround(from.room.accelerators, taken) - static_cast<unsigned>(std::popcount(taken));
        return brokenWeight * broken + evictionCost(tables, from.worker, taken, now);
    };
}

/// The best place of one worker, rack or failure domain, cheapest first.
struct group_offer {
    double broken = 0;
    unsigned cost = 0;
    std::uint32_t rank = 0;
    group_index group = 0;
    place where;

    bool operator<(const group_offer& other) const { return std::tuple(broken, cost, rank) > std::tuple(other.broken, other.cost, other.rank); }
};

/// Finds places of one shape until none is left.
class shape_planner {
public:
    shape_planner(const scheduler_tables& tables, fleet_room& room, const shape& wanted, time_point now)
        : m_tables(tables)
        , m_room(room)
        , m_wanted(wanted)
        , m_score(scoreOf(tables, wanted, now))
    {
        const auto groups = onOneWorker(wanted) ? tables.workers.size() : groupsOf().size();
        for (group_index group = 0; group < groups; ++group)
            offer(group);
    }

    bool next(place& found)
    {
        if (m_offers.empty())
            return false;
        const auto best = m_offers.top();
        m_offers.pop();
        for (const auto& part : best.where.parts)
            takeFrom(m_room, part);
        offer(best.group);
        found = best.where;
        return true;
    }

private:
    static part_scorer scoreOf(const scheduler_tables& tables, const shape& wanted, time_point now)
    {
        if (!onOneWorker(wanted))
            return sparingScore(tables, now);
        return [&tables, now](const room_at& from, accelerator_set taken) { return evictionCost(tables, from.worker, taken, now); };
    }

    [[nodiscard]] const std::vector<group_row>& groupsOf() const
    {
        return m_wanted.adjacency == adjacency::Rack ? m_tables.racks : m_tables.domains;
    }

    [[nodiscard]] std::optional<place> placeIn(group_index group) const
    {
        if (onOneWorker(m_wanted))
            return placeOnOne({ &m_room[group], 1 }, m_wanted, m_score);
        return placeOnGroup(roomOfGroup(m_room, groupsOf()[group]), m_wanted, m_score);
    }

    [[nodiscard]] std::uint32_t rankOf(group_index group) const
    {
        return onOneWorker(m_wanted) ? m_tables.workers[group].rank : groupsOf()[group].rank;
    }

    void offer(group_index group)
    {
        auto found = placeIn(group);
        if (!found)
            return;
        const auto broken = std::floor(found->score / brokenWeight);
        const auto cost = costStep(found->score - broken * brokenWeight);
        m_offers.push({ broken, cost, rankOf(group), group, std::move(*found) });
    }

    const scheduler_tables& m_tables;
    fleet_room& m_room;
    shape m_wanted;
    part_scorer m_score;
    std::priority_queue<group_offer> m_offers;
};

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

accelerator_set acceleratorsOf(const scheduler_tables& tables, worker_index where, const attempt_row& attempt)
{
    for (const auto& what : tables.workers[where].holdings) {
        if (what.attempt == &attempt)
            return what.accelerators;
    }
    return 0;
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
        restOfCell(acceleratorsOf(tables, where, *which.attempt), which.granted.accelerators) & left.accelerators,
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
    return placeOnGroup(roomOfGroup(room, group), rest, sparingScore(tables, now));
}

/// Keeps what the attempt leaves of its guarantee, so that the whole shape is there once it has ended.
void keepRest(guarantee_plan& plan, const scheduler_tables& tables, fleet_room& room, const partly_used& which, time_point now)
{
    const auto rest = onOneWorker(which.granted) ? restOnWorker(tables, room, which) : restInGroup(tables, room, which, now);
    if (!rest)
        return;
    addPlanned(plan, *rest);
    for (const auto& part : rest->parts)
        takeFrom(room, part);
}

} // namespace

guarantee_plan planGuarantees(const scheduler_tables& tables, fleet_room room, time_point now, const shape* first, place* firstPlace)
{
    guarantee_plan plan;
    plan.planned.resize(tables.workers.size());
    auto demand = demandOf(tables);
    if (first)
        demand.unused[*first];

    for (const auto& which : demand.partlyUsed)
        keepRest(plan, tables, room, which, now);
    for (const auto& [wanted, members] : demand.unused) {
        shape_planner planner(tables, room, wanted, now);
        if (first && *first == wanted && !planner.next(*firstPlace))
            *firstPlace = {};
        for (const auto& which : members) {
            ++plan.unused;
            place found;
            if (!planner.next(found)) {
                addUncovered(plan, which, wanted);
                continue;
            }
            addPlanned(plan, found);
            plan.cells.push_back({ *which.organisation, which.guarantee, std::move(found) });
        }
    }
    return plan;
}

void useCell(guarantee_plan& plan, std::size_t cell, const place& taken)
{
    for (const auto& [worker, amount] : taken.parts)
        plan.planned[worker] = remaining(plan.planned[worker], amount);
    plan.cells.erase(plan.cells.begin() + static_cast<std::ptrdiff_t>(cell));
}

} // namespace oriole
