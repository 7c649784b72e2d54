/// @file
/// @brief Finds successive places for one shape in the fleet.
#pragma once

#include <oriole/core/fleet_room.hpp>
#include <oriole/core/placement.hpp>
#include <oriole/core/tables.hpp>

#include <cstdint>
#include <queue>
#include <vector>

namespace oriole {

/// @brief Adds a dominant penalty for splitting larger holes to the given cost, so that whole workers stay free for shapes
/// that need them.
part_scorer fragmentationScore(part_scorer cost);

/// @brief Repeatedly finds the cheapest place and subtracts it from the available resources.
class shape_planner {
public:
    /// @param score Result of @c fragmentationScore, or a plain cost.
    shape_planner(const scheduler_tables& tables, fleet_resources& room, const shape& wanted, part_scorer score);

    /// @return False if no further place exists.
    bool next(place& found);

private:
    /// Best place in one worker, rack or failure domain; ordered by cost, cheapest first.
    struct group_candidate {
        double fragmentation = 0;
        unsigned cost = 0;
        std::uint32_t rank = 0;
        group_index group = 0;
        place where;

        bool operator<(const group_candidate& other) const;
    };

    [[nodiscard]] const std::vector<group_row>& candidateGroups() const;
    [[nodiscard]] std::optional<place> placeIn(group_index group) const;
    [[nodiscard]] std::uint32_t rankOf(group_index group) const;
    void pushCandidate(group_index group);

    const scheduler_tables& m_tables;
    fleet_resources& m_room;
    shape m_wanted;
    part_scorer m_score;
    std::priority_queue<group_candidate> m_candidates;
};

} // namespace oriole
