#include <fleet/core/near_data.hpp>

#include <fleet/core/organisation_share.hpp>

#include <algorithm>

namespace fleet {

namespace {

// Agents report twice a second, also to a new scheduler; a rack without workers for this long is not about to come back.
constexpr milliseconds maxWaitForWorkers { 1000 };
// The platform allows a job that could run 3 s with nothing at work while room is idle.
constexpr milliseconds maxWaitBesideIdleRoom { 2000 };
// Most runs end within this time. Longer tasks would wait for minutes otherwise.
constexpr milliseconds maxWaitForRoom { 12'000 };
constexpr double idleShare = 0.5;

} // namespace

bool prefersOneRack(const step_spec& step)
{
    return !step.affinityRack.empty() || (step.gang && step.sameRack);
}

milliseconds maxNearDataWait(const near_data_wait& inputs, const decision_limits& limits)
{
    auto wait = std::min(inputs.extraRunTime, inputs.isRoomIdle ? maxWaitBesideIdleRoom : maxWaitForRoom);
    if (!inputs.canRackHold)
        wait = std::min(wait, maxWaitForWorkers);
    // Work within a guarantee has to start in time, away from its data if necessary.
    return inputs.withinGuarantee ? std::min(wait, limits.maxGuaranteedRemoteDelay) : wait;
}

std::set<std::string> findIdleServices(const tables& state)
{
    std::set<std::string> idle;
    const auto capacity = capacityByService(state);
    std::map<std::string, resources> used;
    for (const auto& [name, worker] : state.workers)
        used[worker.description.service] += worker.used;
    for (const auto& [service, whole] : capacity) {
        if (used[service].weight() < whole.weight() * idleShare)
            idle.insert(service);
    }
    return idle;
}

} // namespace fleet
