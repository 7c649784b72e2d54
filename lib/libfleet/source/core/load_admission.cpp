#include <fleet/core/load_admission.hpp>

#include <fleet/core/objective.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>

namespace fleet {

namespace {

using std::chrono::milliseconds;

// The scheduler writes at least every 3 s while work waits; two writes may fail before its record counts as old.
constexpr milliseconds maxBacklogAge { 8000 };
// Declared run times are off by a factor whose logarithm has a standard deviation of 0.5 to 0.9: 2 is one to 1.4 deviations.
constexpr double doubtFactor = 2;
// Waits are limited to this, so that they can be added and logged.
constexpr double maxWaitSeconds = 3600;

// Callers try 5 times within minutes; a longer pause would outlive any burst.
constexpr double maxRetrySeconds = 30;
constexpr double minSpreadSeconds = 2;
constexpr double maxSpreadSeconds = 10;
constexpr unsigned retryClasses = 3; ///< Priorities 0 and 1 come back first; all others share the last class.

constexpr std::array<std::string_view, 8> verdictNames { "accepted", "within-guarantee", "no-backlog", "unreadable-backlog",
    "old-backlog", "earlier-epoch", "uncertain", "refused" };

double secondsOf(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

milliseconds toMilliseconds(double seconds)
{
    return milliseconds(static_cast<std::int64_t>(std::min(seconds, maxWaitSeconds) * 1000));
}

/// @brief The verdict on a backlog that can't be used.
std::optional<load_verdict> doubtOf(const known_backlog& known)
{
    switch (known.condition) {
    case known_backlog::state::Missing:
        return load_verdict::NoBacklog;
    case known_backlog::state::Unreadable:
        return load_verdict::UnreadableBacklog;
    case known_backlog::state::EarlierEpoch:
        return load_verdict::EarlierEpoch;
    case known_backlog::state::Usable:
        break;
    }
    if (known.age > maxBacklogAge)
        return load_verdict::OldBacklog;
    return std::nullopt;
}

/// The entry does not know how much of the guarantee is in use, so each job that the guarantee could hold counts.
bool mayBeGuaranteed(const load_request& request)
{
    if (request.queue.priority != 0 || request.organisation == nullptr)
        return false;
    std::int64_t demand = 0;
    for (const auto& step : request.job.spec.steps)
        demand += step.need.accelerators * static_cast<std::int64_t>(step.count);
    return demand <= request.organisation->guaranteedAccelerators;
}

/// Recurring jobs and lasting tasks have no moment after which they are of no use. That of a job that does not declare its run
/// times is not known.
bool hasLastUsefulMoment(const job_spec& spec)
{
    return spec.repeatCount == 0
        && std::none_of(spec.steps.begin(), spec.steps.end(), [](const step_spec& step) { return step.lasting || step.runTimeMs <= 0; });
}

/// Work of a higher priority is placed first. Within a priority, the organisation with the most waiting work may be placed
/// last, so its work counts only for jobs of its own.
load_amount workAhead(const service_backlog& service, unsigned priority, const std::string& organisation)
{
    load_amount sum;
    for (const auto& [level, work] : service.waiting) {
        if (level > priority)
            break;
        sum += work.total;
        if (level == priority && !work.largestOrganisation.empty() && work.largestOrganisation != organisation)
            sum -= work.ofLargest;
    }
    return { std::max(0.0, sum.cores), std::max(0.0, sum.accelerators) };
}

/// @brief Largest need of a step that starts at once: of all tasks of a gang, else of one task.
load_amount firstNeedOf(const job_spec& spec)
{
    load_amount most;
    for (const auto& step : spec.steps) {
        if (!step.after.empty())
            continue;
        const auto need = step.held();
        const double tasks = step.gang ? step.count : 1;
        most.cores = std::max(most.cores, static_cast<double>(need.millicores) / 1000 * tasks);
        most.accelerators = std::max(most.accelerators, static_cast<double>(need.accelerators) * tasks);
    }
    return most;
}

/// @brief FNV-1a of the id, from 0 to less than 1; the same id always has the same share.
double shareOf(const std::string& id)
{
    std::uint32_t digest = 2166136261U;
    for (const unsigned char byte : id)
        digest = (digest ^ byte) * 16777619U;
    return static_cast<double>(digest >> 8U) / static_cast<double>(1U << 24U);
}

/// @brief Place in the order of return, from 0 to less than 1: by priority, then small jobs first, as they lose most per
/// capacity; jobs of like size are told apart by their ids.
double orderOf(const load_request& request, const load_decision& decision)
{
    const double work = workOf(request.job.spec);
    const double capacity = std::max(1.0, decision.capacity.cores + decision.capacity.accelerators * coresPerAccelerator);
    const double withinClass = (work / (work + capacity) + shareOf(request.job.id)) / 2;
    return (std::min(request.queue.priority, retryClasses - 1) + withinClass) / retryClasses;
}

/// @brief Seconds until the backlog has become short enough and capacity for the job has become free, as far as expected.
double secondsUntilServable(const load_request& request, const load_decision& decision, double toleratedWait)
{
    const double ownNeed = secondsFor(firstNeedOf(request.job.spec), decision.freedPerSecond);
    const double excess = secondsOf(decision.wait) - toleratedWait;
    return std::max(excess, std::isfinite(ownNeed) ? ownNeed : 0.0);
}

/// Callers come back while a completion is still of use, and spread over a time that grows with the backlog.
unsigned retryAfter(const load_request& request, const load_decision& decision, double toleratedWait)
{
    const double left = secondsOf(decision.lastUseful - decision.path);
    const double latest = std::clamp(left / 2, 1.0, maxRetrySeconds);
    const double until = secondsUntilServable(request, decision, toleratedWait);
    const double spread = std::min(std::clamp(until, minSpreadSeconds, maxSpreadSeconds), latest);
    const double begin = std::clamp(until, 0.0, latest - spread);
    return static_cast<unsigned>(std::max(1.0, std::ceil(begin + spread * orderOf(request, decision))));
}

} // namespace

std::string_view toString(load_verdict verdict)
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
}

load_decision decideLoad(const known_backlog& known, const load_request& request)
{
    load_decision decision;
    decision.path = criticalPath(request.job.spec);
    decision.lastUseful = objectiveOf(request.job.spec, request.queue) * lateFactor;
    if (mayBeGuaranteed(request)) {
        decision.verdict = load_verdict::WithinGuarantee;
        return decision;
    }
    if (const auto doubt = doubtOf(known)) {
        decision.verdict = *doubt;
        return decision;
    }
    const auto& services = known.record.content.services;
    const auto service = services.find(request.queue.service);
    if (service == services.end() || !hasLastUsefulMoment(request.job.spec))
        return decision;
    const auto priority = std::min(request.queue.priority, maxBacklogPriority);
    decision.ahead = workAhead(service->second, priority, request.job.organisation);
    decision.capacity = service->second.capacity;
    decision.freedPerSecond = service->second.freedPerSecond;
    const double seconds = secondsFor(decision.ahead, decision.capacity);
    decision.wait = toMilliseconds(seconds);
    if (decision.wait + decision.path <= decision.lastUseful)
        return decision;
    const double toleratedWait = secondsOf(decision.lastUseful) * doubtFactor - secondsOf(decision.path);
    // Without capacity nothing is known of the time until there is some again.
    if (!std::isfinite(seconds) || seconds <= toleratedWait) {
        decision.verdict = load_verdict::Uncertain;
        return decision;
    }
    decision.verdict = load_verdict::Refused;
    decision.retryAfterSeconds = retryAfter(request, decision, toleratedWait);
    return decision;
}

} // namespace fleet
