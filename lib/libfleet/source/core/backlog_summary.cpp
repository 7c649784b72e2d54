#include <fleet/core/backlog_summary.hpp>

#include <fleet/core/eviction.hpp>
#include <fleet/core/objective.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace fleet {

namespace {

// Runs that are expected to end within this time give the rate at which capacity becomes free.
constexpr milliseconds releaseHorizon { 10'000 };
// Work that the capacity of its service does in this time delays no job by more than that.
constexpr double idleSeconds = 0.5;
constexpr double noticeableWorkShare = 0.25;
constexpr double noticeableCapacityShare = 0.1;

using waiting_by_organisation = std::map<std::string, load_amount>;

/// @brief Sums during the pass over the tables.
struct service_sums {
    service_backlog content;
    std::map<unsigned, waiting_by_organisation> waiting;
};

using sums_by_service = std::map<std::string, service_sums>;

load_amount amountOf(const resources& need)
{
    return { static_cast<double>(need.millicores) / 1000, static_cast<double>(need.accelerators) };
}

bool takesWork(const tables& state, const worker_description& worker)
{
    return !worker.draining && !state.domainsOut.contains(worker.failureDomain);
}

const step_spec* stepOf(const live_run& run)
{
    return run.job == nullptr ? nullptr : &run.job->job.spec.steps[run.id.task.step];
}

/// Workers that can't be reached at the moment count: they still run their work, and links recover within seconds.
void addCapacity(const tables& state, sums_by_service& sums)
{
    for (const auto& [name, worker] : state.workers) {
        if (takesWork(state, worker.description))
            sums[worker.description.service].content.capacity += amountOf(worker.description.capacity);
    }
}

void addRuns(const tables& state, sums_by_service& sums)
{
    const double horizonSeconds = std::chrono::duration<double>(releaseHorizon).count();
    for (const auto& [id, run] : state.runs) {
        if (run.host == nullptr || !takesWork(state, run.host->description))
            continue;
        auto& content = sums[run.host->description.service].content;
        if (const auto* step = stepOf(run); step != nullptr && step->lasting)
            content.capacity -= amountOf(run.need);
        else if (remainingTimeOf(run) <= releaseHorizon)
            content.freedPerSecond += amountOf(run.need) * (1 / horizonSeconds);
    }
}

std::size_t waitingTasks(const std::vector<task_progress>& tasks)
{
    return static_cast<std::size_t>(std::count_if(
        tasks.begin(), tasks.end(), [](const task_progress& task) { return task.status == task_status::Waiting; }));
}

/// @brief Whether a completion of the job is of no use any more. The exact answer walks the graph of the job; most jobs are so
/// young that a bound by the run time of the one step settles it: the longest path is at least that, and no shorter than what is left.
bool isExpired(const job_row& job, const unit_id& unit, milliseconds runTime, time_point now)
{
    const double pathFactor = lateFactor * job.rule.slackFactor - 1;
    const double youngMs = pathFactor * static_cast<double>(runTime.count()) + lateFactor * static_cast<double>(job.rule.targetLatencyMs);
    const auto age = std::chrono::duration<double, std::milli>(now - job.acceptedAt).count();
    if (pathFactor >= 0 && age < youngMs && job.job.spec.repeatCount == 0)
        return false;
    return classify(job, unit, now).deadlineStatus == deadline_status::Expired;
}

load_amount waitingWorkOf(const job_row& job, unsigned occurrence, time_point now)
{
    load_amount sum;
    const auto& progress = job.progress.occurrences[occurrence];
    for (unsigned s = 0; s < progress.steps.size(); ++s) {
        const auto& step = job.job.spec.steps[s];
        if (step.lasting || !isReady(progress, job.job.spec, s))
            continue;
        const auto count = waitingTasks(progress.steps[s]);
        const auto runTime = estimatedRunTime(job, s);
        if (count == 0 || isExpired(job, { job.job.id, occurrence, s, 0 }, runTime, now))
            continue;
        sum += amountOf(step.held()) * (std::chrono::duration<double>(runTime).count() * static_cast<double>(count));
    }
    return sum;
}

void addWaitingWork(const tables& state, time_point now, sums_by_service& sums)
{
    for (const auto& [id, job] : state.jobs) {
        if (isFinal(job.progress.state))
            continue;
        load_amount work;
        for (unsigned k = 0; k < job.progress.occurrences.size(); ++k)
            work += waitingWorkOf(job, k, now);
        if (work == load_amount {})
            continue;
        sums[job.rule.service].waiting[std::min(job.rule.priority, maxBacklogPriority)][job.job.organisation] += work;
    }
}

double weightOf(const load_amount& amount)
{
    return amount.cores + amount.accelerators * coresPerAccelerator;
}

waiting_work totalOf(const waiting_by_organisation& parts)
{
    waiting_work sum;
    for (const auto& [organisation, part] : parts) {
        sum.total += part;
        const bool nameable = !organisation.empty() && organisation.size() <= maxBacklogNameBytes;
        if (nameable && weightOf(part) > weightOf(sum.ofLargest)) {
            sum.largestOrganisation = organisation;
            sum.ofLargest = part;
        }
    }
    return sum;
}

load_amount totalWaiting(const service_backlog& service)
{
    load_amount sum;
    for (const auto& [priority, work] : service.waiting)
        sum += work.total;
    return sum;
}

bool changesBy(double share, double least, double before, double after)
{
    return std::abs(after - before) > std::max(share * before, least);
}

bool workDiffers(const load_amount& before, const load_amount& after, const load_amount& capacity)
{
    return changesBy(noticeableWorkShare, idleSeconds * capacity.cores, before.cores, after.cores)
        || changesBy(noticeableWorkShare, idleSeconds * capacity.accelerators, before.accelerators, after.accelerators);
}

bool capacityDiffers(const load_amount& before, const load_amount& after)
{
    return changesBy(noticeableCapacityShare, 0, before.cores, after.cores)
        || changesBy(noticeableCapacityShare, 0, before.accelerators, after.accelerators);
}

load_amount waitingOf(const service_backlog& service, unsigned priority)
{
    const auto found = service.waiting.find(priority);
    return found == service.waiting.end() ? load_amount {} : found->second.total;
}

bool serviceDiffers(const service_backlog& before, const service_backlog& after)
{
    const bool somethingWaits = !before.waiting.empty() || !after.waiting.empty();
    if (somethingWaits && capacityDiffers(before.capacity, after.capacity))
        return true;
    for (unsigned priority = 0; priority <= maxBacklogPriority; ++priority) {
        if (workDiffers(waitingOf(before, priority), waitingOf(after, priority), after.capacity))
            return true;
    }
    return false;
}

service_backlog serviceOf(const backlog& content, const std::string& name)
{
    const auto found = content.services.find(name);
    return found == content.services.end() ? service_backlog {} : found->second;
}

} // namespace

double secondsFor(const load_amount& work, const load_amount& capacity)
{
    const auto seconds = [](double amount, double each) {
        if (amount <= 0)
            return 0.0;
        return each > 0 ? amount / each : std::numeric_limits<double>::infinity();
    };
    return std::max(seconds(work.cores, capacity.cores), seconds(work.accelerators, capacity.accelerators));
}

backlog summarizeBacklog(const tables& state, time_point now)
{
    sums_by_service sums;
    addCapacity(state, sums);
    addRuns(state, sums);
    addWaitingWork(state, now, sums);
    backlog out;
    for (auto& [name, sum] : sums) {
        if (out.services.size() == maxBacklogServices)
            break;
        if (name.size() > maxBacklogNameBytes)
            continue;
        auto& capacity = sum.content.capacity;
        capacity = { std::max(0.0, capacity.cores), std::max(0.0, capacity.accelerators) };
        for (const auto& [priority, parts] : sum.waiting)
            sum.content.waiting[priority] = totalOf(parts);
        out.services.emplace(name, std::move(sum.content));
    }
    return out;
}

bool isIdle(const backlog& content)
{
    return std::all_of(content.services.begin(), content.services.end(),
        [](const auto& entry) { return secondsFor(totalWaiting(entry.second), entry.second.capacity) < idleSeconds; });
}

bool differsNoticeably(const backlog& before, const backlog& after)
{
    const auto differs = [&](const std::string& name) { return serviceDiffers(serviceOf(before, name), serviceOf(after, name)); };
    const auto anyDiffers = [&](const backlog& content) {
        return std::any_of(content.services.begin(), content.services.end(), [&](const auto& entry) { return differs(entry.first); });
    };
    return anyDiffers(before) || anyDiffers(after);
}

} // namespace fleet
