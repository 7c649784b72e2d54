#include <fleet/core/near_data.hpp>
#include <fleet/core/scheduler_core.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// Planning an eviction is the most expensive decision, and little changes within this interval.
constexpr milliseconds reservationRetryInterval { 100 };
// A start takes a store write and two messages, up to 100 ms, and reported progress is half a second old.
constexpr milliseconds startMargin { 300 };
// Slack is computed from estimated run times, which are off by half; only this share of it is relied on.
constexpr double usableSlackShare = 0.6;
// Core-seconds of other work that may be lost for an urgent unit: a base and a factor on the work of its job.
// Urgent work loses four fifths of its value when late, and lost work has to be repeated.
constexpr double baseEvictionBudget = 500;
constexpr double evictionBudgetPerWork = 3;
// Room that becomes free within this time, or within the gang's slack if that is less, is kept for a waiting gang. It is about
// the run time of a small task.
constexpr milliseconds collectionHorizon { 6000 };
// Gangs for which room is collected at the same time; each keeps room idle.
constexpr std::size_t maxCollections = 3;

// While organisations do not compete, their use is sampled at this period.
constexpr milliseconds usagePeriod { 200 };

// A last attempt is kept from suspect workers for this long at most. The platform allows a job that could run 3 s with nothing
// at work; while healthy workers could take it, their room may be worth a wait of a task's run time.
constexpr milliseconds maxLastAttemptWait { 2000 };
constexpr milliseconds maxLastAttemptWaitForRoom { 12'000 };

unsigned tasksOf(const step_spec& step)
{
    return step.gang ? step.count : 1;
}

} // namespace

std::string_view toString(deferral_reason reason)
{
    switch (reason) {
    case deferral_reason::WaitsForRuns:
        return "waits for runs to end";
    case deferral_reason::WaitsForEvictions:
        return "waits for evicted runs";
    case deferral_reason::OverBudget:
        return "the eviction would lose too much work";
    case deferral_reason::TooLate:
        return "can't meet its objective any more";
    case deferral_reason::NoPlan:
        return "does not fit even after evictions";
    }
    return "unknown";
}

std::vector<pending_unit> scheduler_core::collectPending(time_point now)
{
    std::vector<pending_unit> pending;
    for (auto& [id, job] : m_state.jobs) {
        if (isFinal(job.progress.state)) {
            job.waits.clear();
            continue;
        }
        const auto& occurrences = job.progress.occurrences;
        for (unsigned k = 0; k < occurrences.size(); ++k) {
            for (unsigned s = 0; s < occurrences[k].steps.size(); ++s) {
                if (!isReady(occurrences[k], job.job.spec, s))
                    continue;
                const auto& tasks = occurrences[k].steps[s];
                const auto isWaiting = [](const task_progress& task) { return task.status == task_status::Waiting; };
                if (std::none_of(tasks.begin(), tasks.end(), isWaiting)) {
                    job.waits.endStep(k, s);
                    continue;
                }
                job.waits.beginStep(k, s, now);
                if (!job.job.spec.steps[s].gang || std::all_of(tasks.begin(), tasks.end(), isWaiting))
                    pending.push_back(classify(job, { id, k, s, 0 }, now));
            }
        }
    }
    std::sort(pending.begin(), pending.end());
    return pending;
}

/// With one organisation at work there is nothing to share, and the order of deadlines stays.
void scheduler_core::considerShares(const std::vector<pending_unit>& pending, time_point now)
{
    m_turns = {};
    const auto organisationOf
        = [this](const pending_unit& unit) -> const std::string& { return m_state.jobs.at(unit.unit.job).job.organisation; };
    const bool mayCompete = std::any_of(pending.begin(), pending.end(),
        [&](const pending_unit& unit) { return organisationOf(unit) != organisationOf(pending.front()); });
    if (!mayCompete && now - m_usageAdvancedAt < usagePeriod)
        return;
    auto capacity = capacityByService(m_state);
    m_usage.advance(usedByOrganisation(m_state, capacity), now);
    m_usageAdvancedAt = now;
    if (mayCompete)
        m_turns = organisation_turns(pending, m_state, m_usage, std::move(capacity));
}

/// A unit whose organisation received more since the unit was ranked goes back to its new place, so that nothing is placed
/// before the turn of an organisation with a smaller share.
void scheduler_core::placeInTurns(const std::vector<pending_unit>& pending, time_point now)
{
    std::set<pending_unit> waiting;
    for (auto unit : pending) {
        unit.share = m_turns.shareStepOf(unit, m_state);
        waiting.insert(waiting.end(), std::move(unit));
    }
    while (!waiting.empty()) {
        auto next = waiting.extract(waiting.begin());
        auto& unit = next.value();
        if (const double share = m_turns.shareStepOf(unit, m_state); share > unit.share) {
            unit.share = share;
            waiting.insert(std::move(next));
            continue;
        }
        placeStep(unit, now);
    }
}

placement_request scheduler_core::requestFor(const job_row& job, const unit_id& unit, time_point now)
{
    const auto& step = job.job.spec.steps[unit.step];
    const auto& rule = job.rule;
    placement_request request;
    request.step = &step;
    request.tasks = tasksOf(step);
    request.service = rule.service;
    request.organisation = job.job.organisation;
    request.avoidedWorkers = job.failedOn;
    const auto& tasks = job.progress.occurrences[unit.occurrence].steps[unit.step];
    for (unsigned i = 0; step.antiAffinity != 0 && !step.gang && i < tasks.size(); ++i) {
        if (tasks[i].status == task_status::Live)
            ++request.liveTasksByWorker[tasks[i].worker];
    }
    if (const auto held = m_state.reservations.find(unit); held != m_state.reservations.end()) {
        request.reservedNeed = held->second.need;
        request.reservedOn = held->second.workers;
    }
    const auto waited = job.waits.waited(unit, now);
    request.excludeSuspects = isLastAttempt(job, unit) && mayWaitForHealthyWorker(request, waited, now);
    request.remoteAllowed = prefersOneRack(step) && mayPlaceRemotely(job, unit, request, waited);
    return request;
}

milliseconds scheduler_core::extraRunTimeElsewhere(const job_row& job, unsigned step) const
{
    const auto runTime = static_cast<double>(estimatedRunTime(job, step).count());
    return milliseconds(static_cast<std::int64_t>(runTime * std::max(0.0, m_state.limits.spreadFactor - 1)));
}

bool scheduler_core::isRoomIdle(const placement_request& request)
{
    if (!m_idleServices)
        m_idleServices = findIdleServices(m_state);
    return m_idleServices->contains(request.service) && isRoomFor(m_state, request, 2 * request.tasks, m_decidedAt);
}

bool scheduler_core::mayPlaceRemotely(
    const job_row& job, const unit_id& unit, const placement_request& request, milliseconds waited)
{
    near_data_wait inputs;
    inputs.extraRunTime = extraRunTimeElsewhere(job, unit.step);
    inputs.withinGuarantee = m_state.guaranteedJobs.contains(unit.job);
    inputs.canRackHold = canRackHold(m_state, request, m_decidedAt);
    inputs.isRoomIdle = isRoomIdle(request);
    return waited > maxNearDataWait(inputs, m_state.limits);
}

/// Answers jobs that failed on every worker that can run them: without a limit their last attempt would never be made.
bool scheduler_core::mayWaitForHealthyWorker(const placement_request& request, milliseconds waited, time_point now) const
{
    if (waited < maxLastAttemptWait)
        return true;
    return waited < maxLastAttemptWaitForRoom && canHealthyWorkersHold(m_state, request, now);
}

void scheduler_core::placePendingUnits(time_point now)
{
    std::erase_if(m_reservationTriedAt, [this, now](const auto& entry) { return now - entry.second > m_state.limits.reservation; });
    std::erase_if(m_lastDeferrals, [this](const auto& entry) { return isFinal(m_state.jobs.at(entry.first.job).progress.state); });
    m_state.guaranteedJobs = findGuaranteedJobs(m_state);
    m_evictionCandidates.clear();
    m_releases.reset();
    const auto pending = collectPending(now);
    considerShares(pending, now);
    placeInTurns(pending, now);
    releaseCollections();
    releaseExpiredReservations(now);
}

/// Tasks of one step need the same, so once a task finds no place the rest of the step finds none either.
void scheduler_core::placeStep(pending_unit& entry, time_point now)
{
    const auto& job = m_state.jobs.at(entry.unit.job);
    const auto& step = job.job.spec.steps[entry.unit.step];
    if (step.gang) {
        placeUnit(entry, now);
        return;
    }
    const auto& tasks = job.progress.occurrences[entry.unit.occurrence].steps[entry.unit.step];
    for (unsigned i = 0; i < tasks.size(); ++i) {
        if (tasks[i].status != task_status::Waiting)
            continue;
        entry.unit.index = i;
        // A task in its last attempt is restricted to fewer workers, and a reservation is one task's own.
        const bool decidesForRest = entry.priority != 0 && !isLastAttempt(job, entry.unit);
        if (!placeUnit(entry, now) && decidesForRest)
            return;
    }
}

bool scheduler_core::isLastAttempt(const job_row& job, const unit_id& unit)
{
    const auto& task = job.progress.occurrences[unit.occurrence].steps[unit.step][unit.index];
    return !job.job.spec.steps[unit.step].lasting && task.failures + 1 >= job.rule.maxAttempts;
}

void scheduler_core::releaseExpiredReservations(time_point now)
{
    for (auto entry = m_state.reservations.begin(); entry != m_state.reservations.end();) {
        const auto unit = (entry++)->first;
        if (m_state.reservations.at(unit).until <= now)
            releaseReservation(unit);
    }
}

bool scheduler_core::placeUnit(const pending_unit& entry, time_point now)
{
    const auto& job = m_state.jobs.at(entry.unit.job);
    const auto request = requestFor(job, entry.unit, now);
    if (const auto places = findPlaces(m_state, request, now)) {
        releaseReservation(entry.unit);
        m_reservationTriedAt.erase(entry.unit);
        m_lastDeferrals.erase(entry.unit);
        startUnit(job, entry.unit, *places, now);
        return true;
    }
    const auto held = m_state.reservations.find(entry.unit);
    if (entry.priority != 0 && entry.deadlineStatus == deadline_status::InTime)
        collectFor(request, slackOf(job, entry.unit, now));
    if (entry.priority != 0 || (held != m_state.reservations.end() && held->second.until > now))
        return false;
    const auto tried = m_reservationTriedAt.find(entry.unit);
    if (tried == m_reservationTriedAt.end() || now - tried->second >= reservationRetryInterval) {
        m_reservationTriedAt[entry.unit] = now;
        // An expired reservation is replaced only now, so that units placed earlier do not take its resources.
        releaseReservation(entry.unit);
        reserveOrEvict(entry, requestFor(job, entry.unit, now), now);
    }
    return false;
}

/// Answers wide gangs that wait beside steps of many small tasks: each task that ends frees room for another small one, so the
/// gang never finds room on all its workers at once. Work of higher priority is placed before and is not held up.
void scheduler_core::collectFor(const placement_request& request, milliseconds slack)
{
    if (!request.step->gang || m_collections.size() >= maxCollections)
        return;
    const auto places = findExpectedPlaces(request, std::min(slack, collectionHorizon));
    if (!places)
        return;
    for (const auto& worker : *places)
        workerOf(m_state, worker).reserved += request.step->need;
    m_collections.push_back({ *places, request.step->need, {} });
}

void scheduler_core::releaseCollections()
{
    for (const auto& held : m_collections) {
        for (const auto& worker : held.workers)
            workerOf(m_state, worker).reserved -= held.need;
    }
    m_collections.clear();
}

std::optional<std::vector<std::string>> scheduler_core::findExpectedPlaces(placement_request request, milliseconds within)
{
    request.expectedFree.resize(m_state.workers.size());
    for (const auto& release : expectedReleases()) {
        if (release.isStopped || release.time <= within)
            request.expectedFree[release.slot] += release.need;
    }
    return findPlaces(m_state, request, m_decidedAt);
}

const std::vector<expected_release>& scheduler_core::expectedReleases()
{
    if (!m_releases)
        m_releases = collectReleases(m_state, m_decidedAt);
    return *m_releases;
}

void scheduler_core::reserve(
    const unit_id& unit, const std::vector<std::string>& workers, const resources& need, time_point until)
{
    for (const auto& worker : workers)
        workerOf(m_state, worker).reserved += need;
    m_state.reservations[unit] = { workers, need, until };
}

void scheduler_core::reserveOrEvict(const pending_unit& entry, const placement_request& request, time_point now)
{
    const auto& job = m_state.jobs.at(entry.unit.job);
    const bool reclaimsGuarantee = m_state.guaranteedJobs.contains(entry.unit.job);
    const auto waited = job.waits.waited(entry.unit, now);
    const auto& need = request.step->need;
    placement_deferral deferral;
    deferral.unit = entry.unit;
    deferral.withinGuarantee = reclaimsGuarantee;
    deferral.remoteAllowed = request.remoteAllowed;
    deferral.waited = waited;

    // Resources that become free in time without an eviction cost nothing. A guarantee can allow less time than the objective.
    const double slackMs = static_cast<double>(slackOf(job, entry.unit, now).count()) * usableSlackShare;
    auto maxWait = milliseconds(static_cast<std::int64_t>(slackMs)) - startMargin;
    if (reclaimsGuarantee)
        maxWait = std::min(maxWait, m_state.limits.reclaimDelay - waited);
    deferral.maxWait = maxWait;
    if (maxWait.count() > 0) {
        if (const auto places = findExpectedPlaces(request, maxWait)) {
            deferral.reason = deferral_reason::WaitsForRuns;
            noteDeferral(deferral, *places, maxWait);
            return reserve(entry.unit, *places, need, now + maxWait + startMargin);
        }
    }
    if (!reclaimsGuarantee && entry.deadlineStatus != deadline_status::InTime) {
        deferral.reason = deferral_reason::TooLate;
        return noteDeferral(deferral, {}, m_state.limits.nearEnd);
    }
    const bool reclaimDue = reclaimsGuarantee && waited >= m_state.limits.reclaimDelay;
    const auto right = reclaimDue ? reclaim_right::Due
        : reclaimsGuarantee       ? reclaim_right::Guaranteed
                                  : reclaim_right::None;
    const auto plan = planEviction(m_state, request, evictionCandidates(right, now), now);
    if (!plan)
        return noteDeferral(deferral, {}, m_state.limits.nearEnd);
    deferral.victims = plan->victims.size();
    deferral.cost = plan->cost;
    // Unless a guarantee is due, units are evicted only if the lost work is within the budget.
    if (!reclaimDue && plan->cost > baseEvictionBudget + evictionBudgetPerWork * workOf(job)) {
        deferral.reason = deferral_reason::OverBudget;
        return noteDeferral(deferral, plan->workers, m_state.limits.nearEnd);
    }
    deferral.reason = deferral_reason::WaitsForEvictions;
    // Once the reclaim is due no run is awaited.
    noteDeferral(deferral, reclaimDue ? std::vector<std::string> {} : plan->workers, m_state.limits.nearEnd);
    for (const auto& victim : plan->victims) {
        ++m_state.jobs.at(victim.job).evictions[victim];
        stopUnit(victim, "room for urgent work", now);
    }
    // Guaranteed work plans again when its reclaim becomes due, and from then on whenever stops are overdue.
    auto duration = m_state.limits.reservation;
    if (reclaimsGuarantee)
        duration = std::min(duration, std::max(m_state.limits.reclaimDelay - waited, m_state.limits.stopTimeout));
    reserve(entry.unit, plan->workers, need, now + duration);
}

/// Only units of priority 0 evict, so candidates differ by right alone.
const eviction_candidates& scheduler_core::evictionCandidates(reclaim_right right, time_point now)
{
    auto& known = m_evictionCandidates[right];
    if (!known)
        known = collectEvictionCandidates(m_state, 0, right, now);
    return *known;
}

void scheduler_core::noteDeferral(
    placement_deferral deferral, const std::vector<std::string>& workers, milliseconds awaitedWithin)
{
    const auto [known, added] = m_lastDeferrals.try_emplace(deferral.unit, deferral.reason);
    const bool reserves
        = deferral.reason == deferral_reason::WaitsForRuns || deferral.reason == deferral_reason::WaitsForEvictions;
    if (!added && !reserves && known->second == deferral.reason)
        return;
    known->second = deferral.reason;
    milliseconds longest { -1 };
    for (const auto& worker : std::set<std::string>(workers.begin(), workers.end())) {
        for (const auto& id : m_state.workers.at(worker).runs) {
            const auto& run = m_state.runs.at(id);
            const auto remaining = releaseTimeOf(m_state, run);
            if (run.phase != run_phase::Active || remaining > awaitedWithin)
                continue;
            ++deferral.awaitedRuns;
            if (remaining <= longest)
                continue;
            longest = remaining;
            deferral.lastAwaited = id;
            deferral.lastAwaitedPercent = run.percent;
            deferral.lastAwaitedRate = run.ratePercent;
        }
    }
    m_deferrals.push_back(std::move(deferral));
}

std::vector<placement_deferral> scheduler_core::takeDeferrals()
{
    return std::exchange(m_deferrals, {});
}

void scheduler_core::releaseReservation(const unit_id& unit)
{
    const auto held = m_state.reservations.find(unit);
    if (held == m_state.reservations.end())
        return;
    for (const auto& worker : held->second.workers)
        workerOf(m_state, worker).reserved -= held->second.need;
    m_state.reservations.erase(held);
}

void scheduler_core::startUnit(
    const job_row& job, const unit_id& unit, const std::vector<std::string>& workers, time_point now)
{
    const auto& step = job.job.spec.steps[unit.step];
    auto& row = m_state.jobs.at(unit.job);
    auto& tasks = row.progress.occurrences[unit.occurrence].steps[unit.step];
    const unsigned first = step.gang ? 0 : unit.index;
    unsigned attempt = 0;
    for (unsigned i = first; i < first + workers.size(); ++i)
        attempt = std::max(attempt, tasks[i].attempt + 1);
    const auto checkpoint = tasks[first].checkpoint;
    const double spread = slowdownOf(m_state, step, workers, m_state.limits.spreadFactor);
    const auto slack = slackOf(job, unit, now);
    const auto waited = std::chrono::duration_cast<milliseconds>(now - job.acceptedAt);
    const bool withinGuarantee = m_state.guaranteedJobs.contains(unit.job);

    for (unsigned i = 0; i < workers.size(); ++i) {
        auto& task = tasks[first + i];
        const auto& worker = m_state.workers.at(workers[i]);
        task.status = task_status::Live;
        task.attempt = attempt;
        task.worker = workers[i];
        task.life = worker.description.incarnation;
        live_run run;
        run.id = { { unit.job, unit.occurrence, unit.step, first + i }, attempt };
        run.worker = workers[i];
        run.life = task.life;
        run.need = step.held();
        run.expectedMs = static_cast<double>(estimatedRunTime(job, unit.step).count()) * spread;
        run.spread = spread;
        run.placedAt = run.advancedAt = run.windowStartedAt = run.checkpointAt = now;
        m_effects.emplace_back(start_effect {
            run.id, run.worker, run.life, checkpoint, spread, slack, waited, withinGuarantee });
        if (!withinGuarantee)
            m_turns.addPlaced(job, run.need);
        addRun(m_state, std::move(run));
    }
    m_evictionCandidates.clear();
    row.waits.end(unit);
    updateState(row.progress, row.job.spec);
    m_changed.insert(unit.job);
}

} // namespace fleet
