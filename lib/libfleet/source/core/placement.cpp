#include <fleet/core/placement.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>

namespace fleet {

namespace {

// A worker with a score of at least this, as after one unexplained failure, is used only if no other fits.
// The half-life matches the usual duration of a fault, about 6 s.
constexpr double suspectThreshold = 0.5;
constexpr double faultScoreHalfLifeSeconds = 6;

struct candidate {
    const std::string* name = nullptr;
    const worker_row* row = nullptr;
    resources free;
    unsigned taskCount = 0; ///< Tasks of this unit placed there so far, and live tasks of the step.
    bool suspect = false;
};

using candidate_list = std::vector<candidate>;

bool isSuspect(const std::string& name, const worker_row& row, const placement_request& request, time_point now)
{
    return faultScoreOf(row, now) >= suspectThreshold || request.avoidedWorkers.contains(name);
}

candidate_list collectCandidates(const tables& state, const placement_request& request, time_point now)
{
    candidate_list found;
    for (const auto& [name, row] : state.workers) {
        if (!row.reachable || row.blockedUntil > now || !isEligible(row, request, state))
            continue;
        candidate entry { &name, &row, row.free(), 0, isSuspect(name, row, request, now) };
        for (const auto& reserved : request.reservedOn) {
            if (reserved == name && request.reservedNeed)
                entry.free += *request.reservedNeed;
        }
        if (row.slot < request.expectedFree.size())
            entry.free += request.expectedFree[row.slot];
        if (request.step->fillsIdle)
            entry.free.millicores = std::max(entry.free.millicores, request.step->need.millicores);
        if (const auto live = request.liveTasksByWorker.find(name); live != request.liveTasksByWorker.end())
            entry.taskCount = live->second;
        if (request.excludeSuspects && entry.suspect)
            continue;
        found.push_back(entry);
    }
    return found;
}

bool canTakeTask(const candidate& entry, const step_spec& step)
{
    if (step.antiAffinity != 0 && entry.taskCount >= step.antiAffinity)
        return false;
    return step.need.fits(entry.free);
}

/// @brief Orders candidates for best fit: healthy before suspect workers, then by the least free resources.
bool isPreferred(const candidate& left, const candidate& right)
{
    if (left.suspect != right.suspect)
        return right.suspect;
    if (left.free.accelerators != right.free.accelerators)
        return left.free.accelerators < right.free.accelerators;
    return left.free.millicores < right.free.millicores;
}

unsigned amountsIn(std::int64_t space, std::int64_t need)
{
    if (need <= 0)
        return space >= need ? std::numeric_limits<unsigned>::max() : 0;
    return space < need ? 0 : static_cast<unsigned>(std::min<std::int64_t>(space / need, std::numeric_limits<unsigned>::max()));
}

/// @brief How many tasks of the step fit on the worker.
unsigned roomFor(const candidate& entry, const step_spec& step)
{
    auto room = std::min({ amountsIn(entry.free.accelerators, step.need.accelerators),
        amountsIn(entry.free.millicores, step.need.millicores), amountsIn(entry.free.memoryMb, step.need.memoryMb) });
    if (step.antiAffinity != 0)
        room = std::min(room, step.antiAffinity - std::min(step.antiAffinity, entry.taskCount));
    return room;
}

bool haveRoom(const candidate_list& candidates, const placement_request& request)
{
    std::uint64_t room = 0;
    for (const auto& entry : candidates) {
        room += roomFor(entry, *request.step);
        if (room >= request.tasks)
            return true;
    }
    return request.tasks == 0;
}

std::optional<std::vector<std::string>> pack(candidate_list candidates, const placement_request& request)
{
    // Most attempts fail on a full fleet, so the room is counted before workers are chosen one by one.
    if (!haveRoom(candidates, request))
        return std::nullopt;
    std::vector<std::string> places;
    for (unsigned task = 0; task < request.tasks; ++task) {
        candidate* best = nullptr;
        for (auto& entry : candidates) {
            if (canTakeTask(entry, *request.step) && (best == nullptr || isPreferred(entry, *best)))
                best = &entry;
        }
        if (best == nullptr)
            return std::nullopt;
        best->free -= request.step->need;
        ++best->taskCount;
        places.push_back(*best->name);
    }
    return places;
}

std::map<std::string_view, candidate_list> groupByRack(const candidate_list& candidates)
{
    std::map<std::string_view, candidate_list> racks;
    for (const auto& entry : candidates)
        racks[entry.row->description.rack()].push_back(entry);
    return racks;
}

std::int64_t freeAccelerators(const candidate_list& candidates)
{
    std::int64_t sum = 0;
    for (const auto& entry : candidates)
        sum += std::max<std::int64_t>(entry.free.accelerators, 0);
    return sum;
}

bool hasSuspect(const candidate_list& candidates, const std::vector<std::string>& places)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const candidate& entry) {
        return entry.suspect && std::find(places.begin(), places.end(), *entry.name) != places.end();
    });
}

/// @brief Places a unit in one rack: that of its data if it has any, else the best fit by free accelerators, where racks
/// on which no suspect worker has to be used come first.
std::optional<std::vector<std::string>> packIntoOneRack(const candidate_list& candidates, const placement_request& request)
{
    std::optional<std::vector<std::string>> best;
    std::pair<bool, std::int64_t> bestLeft;
    for (const auto& [rack, members] : groupByRack(candidates)) {
        if (!request.step->affinityRack.empty() && rack != request.step->affinityRack)
            continue;
        auto places = pack(members, request);
        if (!places)
            continue;
        const std::pair left { hasSuspect(members, *places), freeAccelerators(members) };
        if (!best || left < bestLeft) {
            best = std::move(places);
            bestLeft = left;
        }
    }
    return best;
}

} // namespace

bool isEligible(const worker_row& worker, const placement_request& request, const tables& state)
{
    const auto& description = worker.description;
    if (description.draining || description.service != request.service || state.domainsOut.contains(description.failureDomain))
        return false;
    if (!request.step->requirement.empty() && !description.hasLabel(request.step->requirement))
        return false;
    return request.step->held().fits(description.capacity);
}

std::optional<std::vector<std::string>> findPlaces(const tables& state, const placement_request& request, time_point now)
{
    const auto candidates = collectCandidates(state, request, now);
    const bool oneRack = request.step->gang && request.step->sameRack;
    const bool nearData = !request.step->affinityRack.empty();
    if (oneRack || nearData) {
        if (auto places = packIntoOneRack(candidates, request))
            return places;
        if (!request.remoteAllowed)
            return std::nullopt;
    }
    return pack(candidates, request);
}

bool canHealthyWorkersHold(const tables& state, placement_request request, time_point now)
{
    request.excludeSuspects = true;
    auto candidates = collectCandidates(state, request, now);
    for (auto& entry : candidates) {
        entry.free = entry.row->description.capacity;
        entry.taskCount = 0;
    }
    return haveRoom(candidates, request);
}

bool isRoomFor(const tables& state, placement_request request, unsigned tasks, time_point now)
{
    request.tasks = tasks;
    return haveRoom(collectCandidates(state, request, now), request);
}

bool canRackHold(const tables& state, const placement_request& request, time_point now)
{
    std::map<std::string_view, candidate_list> racks;
    const auto& wanted = request.step->affinityRack;
    for (const auto& [name, row] : state.workers) {
        const auto rack = row.description.rack();
        if (!row.reachable || (!wanted.empty() && rack != wanted) || !isEligible(row, request, state))
            continue;
        if (!request.excludeSuspects || !isSuspect(name, row, request, now))
            racks[rack].push_back({ &name, &row, row.description.capacity });
    }
    return std::any_of(racks.begin(), racks.end(), [&request](const auto& rack) { return haveRoom(rack.second, request); });
}

double slowdownOf(const tables& state, const step_spec& step, const std::vector<std::string>& workers, double spreadFactor)
{
    std::set<std::string_view> racks;
    for (const auto& name : workers) {
        if (const auto row = state.workers.find(name); row != state.workers.end())
            racks.insert(row->second.description.rack());
    }
    double factor = 1;
    if (!step.affinityRack.empty() && (racks.size() != 1 || *racks.begin() != step.affinityRack))
        factor *= spreadFactor;
    if (step.gang && step.sameRack && racks.size() > 1)
        factor *= spreadFactor;
    return factor;
}

double faultScoreOf(const worker_row& worker, time_point now)
{
    if (worker.faultScore == 0)
        return 0;
    const double seconds = std::chrono::duration<double>(now - worker.faultScoreAt).count();
    return worker.faultScore * std::exp2(-seconds / faultScoreHalfLifeSeconds);
}

} // namespace fleet
