#include <oriole/core/guarantee_homes.hpp>

#include <oriole/core/shape_planner.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace oriole {

namespace {

constexpr std::chrono::minutes maxAbsence { 10 };

fleet_resources totalRoom(const scheduler_tables& tables)
{
    fleet_resources room(tables.workers.size());
    for (worker_index index = 0; index < room.size(); ++index) {
        const auto& worker = tables.workers[index];
        room[index].worker = index;
        if (worker.hostsHomes)
            room[index].room = { firstAccelerators(worker.info.accelerators), worker.info.processors, worker.info.memoryGb };
    }
    return room;
}

/// Prefers small racks, so that large ones stay free for gangs without a home.
part_scorer rackSizeScore(const scheduler_tables& tables)
{
    std::vector<double> sizes(tables.racks.size());
    for (const auto& worker : tables.workers)
        sizes[worker.rack] += worker.hostsHomes ? worker.info.accelerators : 0;
    return [&tables, sizes = std::move(sizes)](const available_resources& from, accelerator_set) { return sizes[tables.workers[from.worker].rack]; };
}

using owners_by_shape = std::map<shape, std::vector<const std::string*>, larger_first>;

owners_by_shape ownersByShape(const scheduler_tables& tables)
{
    owners_by_shape owners;
    for (const auto& [name, organisation] : tables.organisations) {
        for (const auto& one : organisation.policy.guarantees) {
            auto& organisationNames = owners[one.shape];
            organisationNames.insert(organisationNames.end(), one.count, &name);
        }
    }
    return owners;
}

} // namespace

bool larger_first::operator()(const shape& left, const shape& right) const
{
    const auto order = [](const shape& one) { return std::tuple(one.accelerators, one.processors, one.memoryGb); };
    if (order(left) != order(right))
        return order(left) > order(right);
    return left.adjacency < right.adjacency;
}

guarantee_homes computeHomes(const scheduler_tables& tables)
{
    guarantee_homes homes;
    homes.version = tables.homesVersion;
    auto room = totalRoom(tables);
    const auto score = fragmentationScore(rackSizeScore(tables));
    for (const auto& [wanted, organisationNames] : ownersByShape(tables)) {
        shape_planner planner(tables, room, wanted, score);
        place found;
        for (const auto* owner : organisationNames) {
            if (!planner.next(found))
                break;
            homes.places[*owner][wanted].push_back(found);
        }
    }
    return homes;
}

bool liesInHome(const scheduler_tables& tables, const place& home, const attempt_row& attempt)
{
    return std::all_of(attempt.workers.begin(), attempt.workers.end(), [&](worker_index where) {
        const auto part = std::find_if(home.parts.begin(), home.parts.end(), [&](const place_part& one) { return one.worker == where; });
        if (part == home.parts.end())
            return false;
        const auto& holdings = tables.workers[where].holdings;
        return std::all_of(holdings.begin(), holdings.end(), [&](const holding& what) { return what.attempt != &attempt || (what.accelerators & ~part->taken.accelerators) == 0; });
    });
}

void updateHomes(scheduler_tables& tables, time_point now)
{
    for (auto& worker : tables.workers) {
        const bool hosts = worker.present || (worker.hostsHomes && now - worker.absentSince < maxAbsence);
        if (hosts == worker.hostsHomes)
            continue;
        worker.hostsHomes = hosts;
        ++tables.homesVersion;
    }
    if (tables.homes.version == tables.homesVersion)
        return;
    tables.homes = computeHomes(tables);
    ++tables.planVersion;
}

} // namespace oriole
