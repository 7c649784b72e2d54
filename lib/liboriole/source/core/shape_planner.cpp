#include <oriole/core/shape_planner.hpp>

#include <oriole/core/eviction_cost.hpp>

#include <bit>
#include <cmath>
#include <tuple>
#include <utility>

namespace oriole {

namespace {

constexpr double brokenWeight = 1e9; // Per accelerator of the holes that a place breaks; outweighs any cost.

} // namespace

part_scorer sparingScore(part_scorer cost)
{
    return [cost = std::move(cost)](const room_at& from, accelerator_set taken) {
        const auto broken = holeAround(from.room.accelerators, taken) - static_cast<unsigned>(std::popcount(taken));
        return brokenWeight * broken + cost(from, taken);
    };
}

bool shape_planner::group_offer::operator<(const group_offer& other) const
{
    return std::tuple(broken, cost, rank) > std::tuple(other.broken, other.cost, other.rank);
}

shape_planner::shape_planner(const scheduler_tables& tables, fleet_room& room, const shape& wanted, part_scorer score)
    : m_tables(tables)
    , m_room(room)
    , m_wanted(wanted)
    , m_score(std::move(score))
{
    const auto groups = onOneWorker(wanted) ? tables.workers.size() : groupsOf().size();
    for (group_index group = 0; group < groups; ++group)
        offer(group);
}

bool shape_planner::next(place& found)
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

const std::vector<group_row>& shape_planner::groupsOf() const
{
    return m_wanted.adjacency == adjacency::Rack ? m_tables.racks : m_tables.domains;
}

std::optional<place> shape_planner::placeIn(group_index group) const
{
    if (onOneWorker(m_wanted))
        return placeOnOne({ &m_room[group], 1 }, m_wanted, m_score);
    return placeOnGroup(roomOfGroup(m_room, groupsOf()[group]), m_wanted, m_score);
}

std::uint32_t shape_planner::rankOf(group_index group) const
{
    return onOneWorker(m_wanted) ? m_tables.workers[group].rank : groupsOf()[group].rank;
}

void shape_planner::offer(group_index group)
{
    auto found = placeIn(group);
    if (!found)
        return;
    const auto broken = std::floor(found->score / brokenWeight);
    const auto cost = costStep(found->score - broken * brokenWeight);
    m_offers.push({ broken, cost, rankOf(group), group, std::move(*found) });
}

} // namespace oriole
