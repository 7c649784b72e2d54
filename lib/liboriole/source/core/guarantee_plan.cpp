#include <oriole/core/guarantee_plan.hpp>

#include <oriole/core/eviction_cost.hpp>
#include <oriole/core/fleet_room.hpp>
#include <oriole/core/guarantee_use.hpp>
#include <oriole/core/placement.hpp>
#include <oriole/core/tables.hpp>

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>

namespace oriole {

namespace {

struct guarantee_ref {
    const std::string* organisation = nullptr;
    std::size_t guarantee = 0;
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

using shape_classes = std::map<shape, std::vector<guarantee_ref>, larger_first>;

shape_classes unusedByShape(const scheduler_tables& tables)
{
    shape_classes classes;
    for (const auto& [name, organisation] : tables.organisations) {
        if (organisation.policy.guarantees.empty())
            continue;
        const auto unused = unusedGuarantees(organisation);
        for (std::size_t index = 0; index < unused.size(); ++index) {
            auto& members = classes[organisation.policy.guarantees[index].shape];
            members.insert(members.end(), unused[index], guarantee_ref { &name, index });
        }
    }
    return classes;
}

/// The best place of one worker, rack or failure domain, cheapest first.
struct group_offer {
    unsigned cost = 0;
    std::uint32_t rank = 0;
    group_index group = 0;
    place where;

    bool operator<(const group_offer& other) const { return std::tuple(cost, rank) > std::tuple(other.cost, other.rank); }
};

/// Finds places of one shape until none is left.
class shape_planner {
public:
    shape_planner(const scheduler_tables& tables, fleet_room& room, const shape& wanted, time_point now)
        : m_tables(tables)
        , m_room(room)
        , m_wanted(wanted)
        , m_score([&tables, now](const room_at& from, accelerator_set taken) { return evictionCost(tables, from.worker, taken, now); })
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
        const auto cost = costStep(found->score);
        m_offers.push({ cost, rankOf(group), group, std::move(*found) });
    }

    const scheduler_tables& m_tables;
    fleet_room& m_room;
    const shape m_wanted;
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

} // namespace

guarantee_plan planGuarantees(const scheduler_tables& tables, fleet_room room, time_point now, const shape* first, place* firstPlace)
{
    guarantee_plan plan;
    plan.planned.resize(tables.workers.size());
    auto classes = unusedByShape(tables);
    if (first)
        classes[*first];

    for (const auto& [wanted, members] : classes) {
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

void removeCell(guarantee_plan& plan, std::size_t cell)
{
    for (const auto& [worker, taken] : plan.cells[cell].where.parts)
        plan.planned[worker] = remaining(plan.planned[worker], taken);
    plan.cells.erase(plan.cells.begin() + static_cast<std::ptrdiff_t>(cell));
}

} // namespace oriole
