#include <oriole/core/fleet_room.hpp>

namespace oriole {

namespace {

resources wholeOf(const worker_info& info)
{
    return { firstAccelerators(info.accelerators), info.processors, info.memoryGb };
}

template <typename taken_of>
fleet_resources roomWithout(const scheduler_tables& tables, taken_of taken)
{
    fleet_resources room(tables.workers.size());
    for (worker_index index = 0; index < tables.workers.size(); ++index) {
        const auto& worker = tables.workers[index];
        room[index].worker = index;
        if (tables.eligible(worker))
            room[index].room = remaining(wholeOf(worker.info), taken(worker));
    }
    return room;
}

} // namespace

fleet_resources freeResources(const scheduler_tables& tables)
{
    return roomWithout(tables, [](const worker_row& worker) -> const resources& { return worker.used; });
}

fleet_resources reclaimableResources(const scheduler_tables& tables)
{
    return roomWithout(tables, [](const worker_row& worker) -> const resources& { return worker.nonEvictable; });
}

void takeFrom(fleet_resources& room, const place_part& part)
{
    room[part.worker].room = remaining(room[part.worker].room, part.taken);
}

std::vector<available_resources> roomOfGroup(const fleet_resources& room, const group_row& group)
{
    std::vector<available_resources> members;
    members.reserve(group.workers.size());
    for (const auto worker : group.workers)
        members.push_back(room[worker]);
    return members;
}

std::optional<place> findPlace(const scheduler_tables& tables, const fleet_resources& room, const shape& wanted, const part_scorer& score)
{
    if (requiresOneWorker(wanted))
        return placeOnWorker(room, wanted, score);

    std::optional<place> best;
    unsigned candidates = 0;
    for (const auto& group : wanted.adjacency == adjacency::Rack ? tables.racks : tables.domains) {
        const auto found = placeInGroup(roomOfGroup(room, group), wanted, score);
        if (!found)
            continue;
        candidates += found->candidates;
        if (!best || found->score < best->score)
            best = found;
    }
    if (best)
        best->candidates = candidates;
    return best;
}

} // namespace oriole
