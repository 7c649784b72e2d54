#include <fleet/core/placement.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

namespace fleet {

namespace {

// A worker as bad as one unexplained failure is used only when nothing else fits; faults last about 6 s.
constexpr double suspectBadness = 0.5;
constexpr double badnessHalfLifeSeconds = 6;

struct candidate {
    std::string name;
    const worker_row* row = nullptr;
    room free;
    unsigned taken = 0; ///< Tasks of this unit, and live ones of the step.
    bool suspect = false;
};

using candidate_list = std::vector<candidate>;

candidate_list collectCandidates(const tables& state, const placement_request& request, time_point now)
{
    candidate_list found;
    for (const auto& [name, row] : state.workers) {
        if (!row.reachable || row.blockedUntil > now || !isEligible(row, request, state))
            continue;
        candidate entry { name, &row, row.free(), 0, badnessOf(row, now) >= suspectBadness || request.avoid.contains(name) };
        for (const auto& held : request.heldOn) {
            if (held == name && request.alreadyHeld)
                entry.free += *request.alreadyHeld;
        }
        if (const auto soon = request.freeSoon.find(name); soon != request.freeSoon.end())
            entry.free += soon->second;
        if (request.step->fillsIdle)
            entry.free.millicores = std::max(entry.free.millicores, request.step->need.millicores);
        if (const auto live = request.onWorker.find(name); live != request.onWorker.end())
            entry.taken = live->second;
        if (request.provenOnly && entry.suspect)
            continue;
        found.push_back(std::move(entry));
    }
    return found;
}

bool takes(const candidate& entry, const step_spec& step)
{
    if (step.antiAffinity != 0 && entry.taken >= step.antiAffinity)
        return false;
    return step.need.fits(entry.free);
}

/// @brief Orders candidates: sound before suspect, then the one with the least left over.
bool isBetter(const candidate& left, const candidate& right)
{
    if (left.suspect != right.suspect)
        return right.suspect;
    if (left.free.accelerators != right.free.accelerators)
        return left.free.accelerators < right.free.accelerators;
    return left.free.millicores < right.free.millicores;
}

std::optional<std::vector<std::string>> pack(candidate_list candidates, const placement_request& request)
{
    std::vector<std::string> places;
    for (unsigned task = 0; task < request.tasks; ++task) {
        candidate* best = nullptr;
        for (auto& entry : candidates) {
            if (takes(entry, *request.step) && (best == nullptr || isBetter(entry, *best)))
                best = &entry;
        }
        if (best == nullptr)
            return std::nullopt;
        best->free -= request.step->need;
        ++best->taken;
        places.push_back(best->name);
    }
    return places;
}

std::map<std::string, candidate_list> byRack(const candidate_list& candidates)
{
    std::map<std::string, candidate_list> racks;
    for (const auto& entry : candidates)
        racks[entry.row->about.rack()].push_back(entry);
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
        return entry.suspect && std::find(places.begin(), places.end(), entry.name) != places.end();
    });
}

/// @brief Packs into one rack: that of the data if there is one, else a sound one with the least left over.
std::optional<std::vector<std::string>> packOneRack(const candidate_list& candidates, const placement_request& request)
{
    std::optional<std::vector<std::string>> best;
    std::pair<bool, std::int64_t> bestLeft;
    for (const auto& [rack, members] : byRack(candidates)) {
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
    const auto& about = worker.about;
    if (about.draining || about.service != request.service || state.domainsOut.contains(about.failureDomain))
        return false;
    if (!request.step->requirement.empty() && !about.hasLabel(request.step->requirement))
        return false;
    return request.step->held().fits(about.capacity);
}

std::optional<std::vector<std::string>> findPlaces(const tables& state, const placement_request& request, time_point now)
{
    const auto candidates = collectCandidates(state, request, now);
    const bool oneRack = request.step->gang && request.step->sameRack;
    const bool nearData = !request.step->affinityRack.empty();
    if (oneRack || nearData) {
        if (auto places = packOneRack(candidates, request))
            return places;
        if (!request.farAllowed)
            return std::nullopt;
    }
    return pack(candidates, request);
}

double spreadOf(const tables& state, const step_spec& step, const std::vector<std::string>& workers, double spreadFactor)
{
    std::set<std::string> racks;
    for (const auto& name : workers) {
        if (const auto row = state.workers.find(name); row != state.workers.end())
            racks.insert(row->second.about.rack());
    }
    double factor = 1;
    if (!step.affinityRack.empty() && (racks.size() != 1 || *racks.begin() != step.affinityRack))
        factor *= spreadFactor;
    if (step.gang && step.sameRack && racks.size() > 1)
        factor *= spreadFactor;
    return factor;
}

double badnessOf(const worker_row& worker, time_point now)
{
    const double seconds = std::chrono::duration<double>(now - worker.badnessAt).count();
    return worker.badness * std::exp2(-seconds / badnessHalfLifeSeconds);
}

} // namespace fleet
