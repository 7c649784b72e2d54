#include <oriole/core/shape_limits.hpp>

#include <oriole/core/fleet_room.hpp>

#include <algorithm>

namespace oriole {

namespace {

fleet_resources wholeRoom(const scheduler_tables& tables)
{
    fleet_resources room(tables.workers.size());
    for (worker_index index = 0; index < tables.workers.size(); ++index) {
        const auto& info = tables.workers[index].info;
        room[index] = { index, { firstAccelerators(info.accelerators), info.processors, info.memoryGb } };
    }
    return room;
}

std::string describe(const shape& wanted)
{
    return std::to_string(wanted.accelerators) + " accelerators, " + std::to_string(wanted.processors) + " processors and "
        + std::to_string(wanted.memoryGb) + " GB of memory within one " + std::string(toString(wanted.adjacency));
}

} // namespace

std::optional<std::string> explainImpossible(const scheduler_tables& tables, const shape& wanted)
{
    const auto known = [](const worker_row& worker) { return worker.info.processors > 0 || worker.info.accelerators > 0; };
    if (std::none_of(tables.workers.begin(), tables.workers.end(), known))
        return std::nullopt;

    if (findPlace(tables, wholeRoom(tables), wanted, [](const available_resources&, accelerator_set) { return 0.0; }))
        return std::nullopt;
    return "no worker, rack or failure domain could hold " + describe(wanted);
}

} // namespace oriole
