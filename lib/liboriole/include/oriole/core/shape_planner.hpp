/// @file
/// @brief Finds places of one shape in the fleet, one after the other.
#pragma once

#include <oriole/core/fleet_room.hpp>
#include <oriole/core/placement.hpp>
#include <oriole/core/tables.hpp>

#include <cstdint>
#include <queue>
#include <vector>

namespace oriole {

/// @brief Scores a part by the cost of having it, and much more by the holes that it breaks: whole workers are spared
/// for shapes that need them.
part_scorer sparingScore(part_scorer cost);

/// @brief Finds the cheapest place, takes it out of the room, and so on until none is left.
class shape_planner {
public:
    /// @param score As of @c sparingScore, or a cost alone.
    shape_planner(const scheduler_tables& tables, fleet_room& room, const shape& wanted, part_scorer score);

    /// @return False when the shape has no place any more.
    bool next(place& found);

private:
    /// The best place of one worker, rack or failure domain, cheapest first.
    struct group_offer {
        double broken = 0;
        unsigned cost = 0;
        std::uint32_t rank = 0;
        group_index group = 0;
        place where;

        bool operator<(const group_offer& other) const;
    };

    [[nodiscard]] const std::vector<group_row>& groupsOf() const;
    [[nodiscard]] std::optional<place> placeIn(group_index group) const;
    [[nodiscard]] std::uint32_t rankOf(group_index group) const;
    void offer(group_index group);

    const scheduler_tables& m_tables;
    fleet_room& m_room;
    shape m_wanted;
    part_scorer m_score;
    std::priority_queue<group_offer> m_offers;
};

} // namespace oriole
