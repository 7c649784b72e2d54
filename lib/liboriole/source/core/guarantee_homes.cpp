#include <oriole/core/guarantee_homes.hpp>

#include <oriole/core/shape_planner.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace oriole {

namespace {

constexpr std::chrono::minutes absenceAtMost { 10 };

fleet_room roomOfAll(const scheduler_tables& tables)
{
    fleet_room room(tables.workers.size());
    for (worker_index index = 0; index < room.size(); ++index) {
        const auto& worker = tables.workers[index];
        room[index].worker = index;
        if (worker.givesHomes)
            room[index].room = { firstAccelerators(worker.info.accelerators), worker.info.processors, worker.info.memoryGb };
    }
    return room;
}

/// Small racks first, so that large ones stay whole for gangs that have no home.
part_scorer rackSize(const scheduler_tables& tables)
{
    std::vector<double> sizes(tables.racks.size());
    for (const auto& worker : tables.workers)
        sizes[worker.rack] += worker.givesHomes ? worker.info.accelerators : 0;
    return [&tables, sizes = std::move(sizes)](const room_at& from, accelerator_set) { return sizes[tables.workers[from.worker].rack]; };
}

using members_by_shape = std::map<shape, std::vector<const std::string*>, larger_first>;

members_by_shape membersOf(const scheduler_tables& tables)
{
    members_by_shape members;
    for (const auto& [name, organisation] : tables.organisations) {
        for (const auto& one : organisation.policy.guarantees) {
            auto& owners = members[one.shape];
            owners.insert(owners.end(), one.count, &name);
        }
    }
    return members;
}

} // namespace

bool larger_first::operator()(const shape& left, const shape& right) const
{
    const auto order = [](const shape& one) { return std::tuple(one.accelerators, one.processors, one.memoryGb); };
    if (order(left) != order(right))
        return order(left) > order(right);
    return left.adjacency < right.adjacency;
}

guarantee_homes findHomes(const scheduler_tables& tables)
{
    guarantee_homes homes;
    homes.version = tables.homesVersion;
    auto room = roomOfAll(tables);
    const auto score = sparingScore(rackSize(tables));
    for (const auto& [wanted, owners] : membersOf(tables)) {
        shape_planner planner(tables, room, wanted, score);
        place found;
        for (const auto* owner : owners) {
            if (!planner.next(found))
                break;
            homes.places[*owner][wanted].push_back(found);
        }
    }
    return homes;
}

bool isHomeOf(const scheduler_tables& tables, const place& home, const attempt_row& attempt)
{
    return std::all_of(attempt.workers.begin(), attempt.workers.end(), [&](worker_index where) {
        const auto part = std::find_if(home.parts.begin(), home.parts.end(), [&](const place_part& one) { return one.worker == where; });
        if (part == home.parts.end())
            return false;
        const auto& holdings = tables.workers[where].holdings;
        return std::all_of(holdings.begin(), holdings.end(), [&](const holding& what) { return what.attempt != &attempt || (what.accelerators & ~part->taken.accelerators) == 0; });
    });
}

void refreshHomes(scheduler_tables& tables, time_point now)
{
    for (auto& worker : tables.workers) {
        const bool gives = worker.present || (worker.givesHomes && now - worker.leftAt < absenceAtMost);
        if (gives == worker.givesHomes)
            continue;
        worker.givesHomes = gives;
        ++tables.homesVersion;
    }
    if (tables.homes.version == tables.homesVersion)
        return;
    tables.homes = findHomes(tables);
    ++tables.planVersion;
}

} // namespace oriole
