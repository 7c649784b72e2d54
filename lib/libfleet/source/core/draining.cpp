#include <fleet/core/draining.hpp>

#include <fleet/core/eviction.hpp>

#include <algorithm>
#include <map>

namespace fleet {

namespace {

// A run that ends with its worker counts as lost once its lease of 4 s has expired.
constexpr double lossDelayMs = 4000;

double toMs(milliseconds time)
{
    return static_cast<double>(time.count());
}

/// @brief Run time of the whole run by its measured rate; by its estimated run time while the rate is unknown.
milliseconds restartTimeOf(const live_run& run)
{
    const double ms = run.ratePercent > 0 ? 100 / run.ratePercent * 1000 : run.expectedMs;
    return milliseconds(static_cast<std::int64_t>(ms / run.spread));
}

departing_unit describe(const tables& state, const unit_id& unit, const live_run& run, time_point now)
{
    const auto& step = run.job->job.spec.steps[unit.step];
    departing_unit out;
    out.order = classify(*run.job, unit, now);
    out.remaining = releaseTimeOf(state, run);
    out.savesProgress = step.checkpointing;
    out.lasting = step.lasting;
    if (!step.gang) {
        out.restartTime = restartTimeOf(run);
        return out;
    }
    for (auto entry = firstRunOf(state, run.id.task); entry != state.runs.end() && isSameStep(entry->first.task, run.id.task); ++entry)
        out.restartTime = std::max(out.restartTime, restartTimeOf(entry->second));
    return out;
}

} // namespace

std::string_view toString(departure_choice choice)
{
    switch (choice) {
    case departure_choice::EndsInTime:
        return "ends in time";
    case departure_choice::SavesLater:
        return "saves later";
    case departure_choice::Saves:
        return "saves";
    case departure_choice::Restarts:
        return "restarts elsewhere";
    case departure_choice::Continues:
        return "continues";
    }
    return "unknown";
}

std::vector<departing_unit> findDepartingUnits(const tables& state, time_point now)
{
    std::map<unit_id, departing_unit> found;
    for (const auto& [name, worker] : state.workers) {
        if (!worker.drainDeadline || !worker.reachable)
            continue;
        const auto timeLeft = std::chrono::duration_cast<milliseconds>(*worker.drainDeadline - now);
        for (const auto& id : worker.runs) {
            const auto& run = state.runs.at(id);
            if (run.phase == run_phase::Stopping || run.job == nullptr)
                continue;
            const auto unit = unitOf(state, id.task);
            const auto [entry, added] = found.try_emplace(unit);
            if (added)
                entry->second = describe(state, unit, run, now);
            if (added || timeLeft < entry->second.timeLeft) {
                entry->second.worker = name;
                entry->second.timeLeft = timeLeft;
            }
        }
    }
    std::vector<departing_unit> units;
    units.reserve(found.size());
    for (auto& [id, unit] : found)
        units.push_back(std::move(unit));
    std::sort(units.begin(), units.end(), [](const auto& left, const auto& right) { return left.order < right.order; });
    return units;
}

departure_choice chooseDeparture(const departing_unit& unit, const decision_limits& limits)
{
    if (unit.remaining <= unit.timeLeft)
        return departure_choice::EndsInTime;
    if (unit.savesProgress)
        return unit.timeLeft < limits.drainStopMargin ? departure_choice::Saves : departure_choice::SavesLater;
    return gainsByRestart(unit, 1, limits) ? departure_choice::Restarts : departure_choice::Continues;
}

/// The time for which the worker serves after its notice is taken as uniformly distributed up to the surplus.
bool gainsByRestart(const departing_unit& unit, double slowdown, const decision_limits& limits)
{
    if (unit.lasting)
        return true;
    const double remaining = toMs(unit.remaining);
    const double restart = limits.moveCostSeconds * 1000 + toMs(unit.restartTime) * slowdown;
    if (remaining <= restart && remaining <= toMs(limits.nearEnd))
        return false;
    const double earliest = std::max(0.0, toMs(unit.timeLeft));
    const double surplus = toMs(limits.drainSurplus);
    const double endsHere = surplus > 0 ? std::clamp((earliest + surplus - remaining) / surplus, 0.0, 1.0) : 0;
    // If the worker ends first, the run is restarted after its loss.
    const double lostAt = (earliest + std::min(earliest + surplus, std::max(earliest, remaining))) / 2;
    const double lost = lostAt + lossDelayMs + toMs(unit.restartTime);
    return restart < endsHere * remaining + (1 - endsHere) * lost;
}

} // namespace fleet
