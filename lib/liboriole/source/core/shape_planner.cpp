#include <oriole/core/shape_planner.hpp>

#include <oriole/core/eviction_cost.hpp>

#include <bit>
#include <cmath>
#include <tuple>
#include <utility>

namespace oriole {

namespace {

constexpr double fragmentationWeight = 1e9; // Per accelerator that remains of a hole that a place splits; outweighs any cost.

} // namespace

part_scorer fragmentationScore(part_scorer cost)
{
    return [cost = std::move(cost)](const available_resources& from, accelerator_set taken) {
        const auto fragmentation = holeAround(from.room.accelerators, taken) - static_cast<unsigned>(std::popcount(taken));
        return fragmentationWeight * fragmentation + cost(from, taken);
    };
}

bool shape_planner::group_candidate::operator<(const group_candidate& other) const
{
    return std::tuple(fragmentation, cost, rank) > std::tuple(other.fragmentation, other.cost, other.rank);
}

shape_planner::shape_planner(const scheduler_tables& tables, fleet_resources& room, const shape& wanted, part_scorer score)
    : m_tables(tables)
    , m_room(room)
    , m_wanted(wanted)
    , m_score(std::move(score))
{
    const auto groups = requiresOneWorker(wanted) ? tables.workers.size() : candidateGroups().size();
    for (group_index group = 0; group < groups; ++group)
        pushCandidate(group);
}

bool shape_planner::next(place& found)
{
    if (m_candidates.empty())
        return false;
    const auto best = m_candidates.top();
    m_candidates.pop();
    for (const auto& part : best.where.parts)
        takeFrom(m_room, part);
    pushCandidate(best.group);
    found = best.where;
    return true;
}

const std::vector<group_row>& shape_planner::candidateGroups() const
{
    return m_wanted.adjacency == adjacency::Rack ? m_tables.racks : m_tables.domains;
}

std::optional<place> shape_planner::placeIn(group_index group) const
{
    if (requiresOneWorker(m_wanted))
        return placeOnWorker({ &m_room[group], 1 }, m_wanted, m_score);
    return placeInGroup(roomOfGroup(m_room, candidateGroups()[group]), m_wanted, m_score);
}

std::uint32_t shape_planner::rankOf(group_index group) const
{
    return requiresOneWorker(m_wanted) ? m_tables.workers[group].rank : candidateGroups()[group].rank;
}

void shape_planner::pushCandidate(group_index group)
{
    auto found = placeIn(group);
    if (!found)
        return;
    const auto fragmentation = std::floor(found->score / fragmentationWeight);
    const auto cost = costBucket(found->score - fragmentation * fragmentationWeight);
    m_candidates.push({ fragmentation, cost, rankOf(group), group, std::move(*found) });
}

} // namespace oriole
