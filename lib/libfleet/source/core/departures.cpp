#include <fleet/core/scheduler_core.hpp>

#include <set>
#include <utility>

namespace fleet {

namespace {

// Searches for a place read all workers, so their number in one decision is bounded, also while a whole rack leaves.
constexpr unsigned maxSearches = 32;
// Other units get their turn before a search that found nothing is repeated.
constexpr milliseconds searchInterval { 400 };

/// @brief The step of a unit. Its tasks need the same.
unit_id stepOf(unit_id unit)
{
    unit.index = 0;
    return unit;
}

} // namespace

/// The places of all units are reserved before the first one is stopped, so that urgent units come first.
void scheduler_core::stopRunsOnDrainingWorkers(time_point now)
{
    const auto units = findDepartingUnits(m_state, now);
    if (units.empty())
        return m_departures.clear();
    m_releases.reset();
    std::set<unit_id> present;
    std::set<unit_id> stepsWithoutPlace;
    std::vector<unit_id> stopped;
    unsigned searches = 0;
    for (const auto& unit : units) {
        present.insert(unit.order.unit);
        const auto step = stepOf(unit.order.unit);
        unsigned noSearches = maxSearches;
        const auto decision = decideDeparture(unit, stepsWithoutPlace.contains(step) ? noSearches : searches, now);
        if (decision.searched && !decision.reserved)
            stepsWithoutPlace.insert(step);
        noteDeparture(decision);
        if (decision.choice == departure_choice::Saves || decision.choice == departure_choice::Restarts)
            stopped.push_back(unit.order.unit);
    }
    std::erase_if(m_departures, [&](const auto& entry) { return !present.contains(entry.first); });
    for (const auto& unit : stopped)
        stopUnit(unit, "its worker leaves", now);
}

departure_decision scheduler_core::decideDeparture(const departing_unit& unit, unsigned& searches, time_point now)
{
    departure_decision decision { unit, chooseDeparture(unit, m_state.limits) };
    const bool restarts = decision.choice == departure_choice::Restarts;
    if (!restarts && decision.choice != departure_choice::Saves)
        return decision;
    auto& memory = m_departures[unit.order.unit];
    if (searches < maxSearches && (!memory.searchedAt || now - *memory.searchedAt >= searchInterval)) {
        ++searches;
        memory.searchedAt = now;
        decision.searched = true;
        const auto& step = m_state.jobs.at(unit.order.unit.job).job.spec.steps[unit.order.unit.step];
        const auto places = findNewPlaces(unit, now);
        if (places && (!restarts || gainsByRestart(unit, slowdownOf(m_state, step, *places, m_state.limits.spreadFactor), m_state.limits))) {
            releaseReservation(unit.order.unit);
            reserve(unit.order.unit, *places, step.need, now + m_state.limits.reservation);
            decision.reserved = true;
        }
    }
    // Urgent work can evict once it waits; other work continues, because the worker may serve longer than its notice.
    if (restarts && !decision.reserved && unit.order.priority != 0)
        decision.choice = departure_choice::Continues;
    return decision;
}

/// Room that the unit itself frees on workers that stay counts as free, so that a gang can keep most of its places.
std::optional<std::vector<std::string>> scheduler_core::findNewPlaces(const departing_unit& unit, time_point now)
{
    const auto& id = unit.order.unit;
    auto request = requestFor(m_state.jobs.at(id.job), id, now);
    // The place has to be valid for a unit that has just become ready.
    request.remoteAllowed = false;
    request.expectedFree.resize(m_state.workers.size());
    // A unit that ends soon is already among the expected releases.
    const bool endsSoon = unit.remaining <= m_state.limits.nearEnd;
    const task_id first { id.job, id.occurrence, id.step, id.index };
    for (auto entry = firstRunOf(m_state, first); entry != m_state.runs.end() && isSameStep(entry->first.task, first); ++entry) {
        if (!endsSoon && entry->second.phase != run_phase::Stopping && unitOf(m_state, entry->first.task) == id)
            request.expectedFree[entry->second.host->slot] += entry->second.need;
    }
    return findExpectedPlaces(std::move(request), m_state.limits.nearEnd);
}

void scheduler_core::noteDeparture(const departure_decision& decision)
{
    const auto [known, added] = m_departures.try_emplace(decision.unit.order.unit);
    auto& memory = known->second;
    const bool isRepeated = memory.noted && memory.choice == decision.choice && memory.reserved == decision.reserved;
    memory.noted = true;
    memory.choice = decision.choice;
    memory.reserved = decision.reserved;
    if (!isRepeated)
        m_departureDecisions.push_back(decision);
}

std::vector<departure_decision> scheduler_core::takeDepartures()
{
    return std::exchange(m_departureDecisions, {});
}

} // namespace fleet
