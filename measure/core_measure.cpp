/// Measures the decision core alone: decision time and memory by size of the fleet, and the guarantee policy
/// against the baseline over a ledger of agents.
#include "unit/core/core_fixture.hpp"
#include "unit/core/fake_fleet.hpp"

#include <oriole/core/fleet_room.hpp>
#include <oriole/core/guarantee_plan.hpp>
#include <oriole/core/intake.hpp>
#include <oriole/core/tables.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <array>
#include <bit>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <unistd.h>

using namespace oriole;
using namespace oriole::test;

namespace {

using seconds_f = std::chrono::duration<double>;

double quantileOf(std::vector<double> values, double quantile)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
}

double meanOf(const std::vector<double>& values)
{
    double sum = 0;
    for (const auto value : values)
        sum += value;
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double residentKb()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

// Decision time and memory --------------------------------------------------------------------------------

struct fleet_size {
    unsigned workers = 0;
    unsigned tasks = 0;
};

/// Accelerators of worker @p index: two-year mix of 1, 2 and a few with 8, 1.6 on average, or none.
unsigned acceleratorsOf(unsigned index)
{
    if (index % 10 == 0)
        return 8;
    if (index % 10 < 5)
        return 1;
    return index % 10 < 7 ? 2 : 0;
}

struct timed_fleet {
    scheduler core { guarantee_policy {}, 1 };
    fake_fleet fleet;
    std::mt19937_64 random { 1 };
    time_point now {};
    unsigned jobs = 0;
    unsigned organisations = 0;

    std::vector<command> submitAndTick(const job_spec& job, double& microseconds)
    {
        core.apply(job_added { job }, now);
        return tick(microseconds);
    }

    std::vector<command> tick(double& microseconds)
    {
        now += milliseconds(10);
        const auto begin = std::chrono::steady_clock::now();
        auto commands = core.tick(now);
        microseconds = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
        return commands;
    }

    job_spec nextJob()
    {
        static const std::vector<shape> shapes { { 0, adjacency::Worker, 2, 4 }, { 0, adjacency::Worker, 4, 8 }, { 0, adjacency::Worker, 1, 2 }, { 0, adjacency::Worker, 8, 8 },
            { 1, adjacency::Worker, 2, 4 }, { 2, adjacency::Worker, 4, 8 }, { 8, adjacency::Worker, 8, 16 }, { 16, adjacency::FailureDomain, 16, 32 } };
        const auto choice = random() % 20;
        const auto& wanted = shapes[choice < 16 ? choice % 4 : 4 + choice % 4];
        return jobNamed("o" + std::to_string(random() % organisations), "j" + std::to_string(jobs++), wanted, milliseconds(3600000));
    }

    void execute(const std::vector<command>& commands)
    {
        for (const auto& one : commands) {
            if (const auto* started = std::get_if<start_attempt>(&one))
                fleet.reserve(0, *started, now);
        }
        fleet.advance(now + fleet.latency);
        for (const auto& [owner, what] : std::exchange(fleet.events, {}))
            core.apply(what, now);
    }
};

void fill(timed_fleet& timed, const fleet_size& size)
{
    timed.organisations = std::max(4U, size.workers * 770 / 2000);
    std::vector<organisation_policy> organisations;
    for (unsigned index = 0; index < timed.organisations; ++index) {
        organisation_policy policy { .name = "o" + std::to_string(index), .guarantees = {}, .acceleratorQuota = 64, .weight = 1 + index % 3, .mayRunUrgent = index % 10 == 0 };
        if (index % 2 == 0)
            policy.guarantees.push_back({ { index % 20 == 0 ? 8U : 1U, adjacency::Worker, 2, 4 }, 1 });
        organisations.push_back(policy);
    }
    timed.core.apply(organisations_changed { organisations }, timed.now);
    timed.fleet.lengthOf = [](const attempt&) { return milliseconds(36000000); };
    const auto domains = std::max(1U, size.workers * 21 / 2000);
    for (unsigned index = 0; index < size.workers; ++index) {
        auto info = workerNamed("w" + std::to_string(index), "d" + std::to_string(index % domains), "r" + std::to_string(index / domains / 3), acceleratorsOf(index));
        info.processors = 64;
        info.memoryGb = 256;
        timed.fleet.workers[info.name].info = info;
        timed.core.apply(worker_joined { info }, timed.now);
    }
}

void measureSize(const fleet_size& size)
{
    const auto before = residentKb();
    timed_fleet timed;
    fill(timed, size);
    const auto withWorkers = residentKb();

    std::vector<double> ticks;
    std::vector<double> placements;
    double time = 0;
    unsigned started = 0;
    for (unsigned batch = 0; started < size.tasks && batch < size.tasks; ++batch) {
        for (unsigned index = 0; index < 32; ++index)
            timed.core.apply(job_added { timed.nextJob() }, timed.now);
        const auto commands = timed.tick(time);
        const auto starts = only<start_attempt>(commands).size();
        started += static_cast<unsigned>(starts);
        if (starts > 0)
            placements.push_back(time / static_cast<double>(starts));
        ticks.push_back(time);
        timed.execute(commands);
    }
    const auto full = residentKb();

    // Steady state: a report of every worker, one job ends and one arrives per tick.
    std::vector<double> steady;
    std::vector<double> reports;
    std::size_t next = 0;
    const std::vector<std::string> names = [&] {
        std::vector<std::string> all;
        for (const auto& [name, worker] : timed.fleet.workers)
            all.push_back(name);
        return all;
    }();
    for (unsigned round = 0; round < 300; ++round) {
        for (unsigned report = 0; report < 4; ++report, ++next) {
            const auto told = timed.fleet.reportOf(names[next % names.size()], timed.now);
            const auto begin = std::chrono::steady_clock::now();
            timed.core.apply(told, timed.now);
            reports.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
        }
        if (!timed.fleet.gangs.empty()) {
            const auto victim = std::next(timed.fleet.gangs.begin(), static_cast<std::ptrdiff_t>(timed.random() % std::min<std::size_t>(64, timed.fleet.gangs.size())));
            timed.fleet.stop(victim->first, timed.now);
        }
        const auto commands = timed.submitAndTick(timed.nextJob(), time);
        steady.push_back(time);
        timed.execute(commands);
    }
    const auto summary = timed.core.summary();
    std::printf("%8u %8u %8u %8u | %9.0f %9.0f %9.0f | %9.0f %9.0f | %8.1f | %8.1f %9.2f\n", size.workers, summary.acceleratorsTotal, summary.attemptsActive, summary.jobsWaiting,
        meanOf(steady), quantileOf(steady, 0.5), quantileOf(steady, 0.99), quantileOf(placements, 0.5), quantileOf(placements, 0.99),
        quantileOf(reports, 0.99), (withWorkers - before) / size.workers, (full - withWorkers) / std::max(1U, started));
}

void measureTimes()
{
    std::puts("Decision time in microseconds; memory in KB (resident; the ledger of the test is in it). Tick: 4 reports, one end, one new job.");
    std::puts(" workers   accel.  running  waiting | tick mean       p50       p99 | place p50       p99 | report99 | /worker  /attempt");
    for (const auto& size : { fleet_size { 125, 690 }, fleet_size { 500, 2750 }, fleet_size { 1000, 5500 }, fleet_size { 2000, 11000 } })
        measureSize(size);
}

// Policy against baseline ---------------------------------------------------------------------------------

struct load_options {
    std::uint64_t seed = 1;
    bool domainOut = false;
    unsigned memoryGb = 512;
    double offered = 0.9; ///< Work offered against capacity.
};

struct planned_job {
    job_spec spec;
    milliseconds length { 0 };
    milliseconds arrives { 0 };
    bool cancelled = false;
};

/// Classes of jobs whose figures are told apart.
enum class size_class {
    Small,
    GangOf8,
    GangOf16,
};

constexpr std::array<const char*, 3> classNames { "small", "of 8", "of 16" };

size_class classOf(unsigned accelerators)
{
    if (accelerators < 8)
        return size_class::Small;
    return accelerators < 16 ? size_class::GangOf8 : size_class::GangOf16;
}

/// What a job waited for, told from the ledger and not from what an entry believes.
enum class wait_reason {
    PlaceFree, ///< A place was free: back-off, a stale view, or a place kept for others.
    Scattered, ///< Enough was free in the fleet, but nowhere close enough together.
    Overtaken, ///< Enough was held by borrowed work of smaller jobs that started after its arrival.
    Full, ///< Anything else.
};

struct class_result {
    std::vector<double> completion;
    std::vector<double> wait;
    std::vector<double> length;
    std::array<double, 4> waited {}; ///< Seconds by @c wait_reason.
    std::map<std::string, unsigned> starts; ///< By rule.
    unsigned refusals = 0;
    unsigned evictions = 0;
};

constexpr std::array<unsigned, 3> memoryPerAccelerator { 4, 16, 48 }; ///< GB, of small jobs.
constexpr milliseconds duration { 240000 };
constexpr milliseconds outFrom { 80000 };
constexpr milliseconds outUntil { 140000 };
constexpr milliseconds waveAt { 60000 };

std::vector<organisation_policy> fourOrganisations()
{
    return {
        { .name = "large-1", .guarantees = { { gang(16, adjacency::Rack), 1 }, { gang(8), 1 } }, .acceleratorQuota = 0, .weight = 2, .mayRunUrgent = true },
        { .name = "large-2", .guarantees = { { gang(8), 2 } }, .acceleratorQuota = 0, .weight = 2, .mayRunUrgent = false },
        { .name = "small-1", .guarantees = { { gang(4), 1 } }, .acceleratorQuota = 32, .weight = 1, .mayRunUrgent = false },
        { .name = "small-2", .guarantees = { { gang(2), 1 } }, .acceleratorQuota = 32, .weight = 1, .mayRunUrgent = false },
    };
}

/// Bursts of small and large jobs, declarations off by up to 10x, and a wave of cancellations.
std::vector<planned_job> makeLoad(const load_options& options, unsigned accelerators)
{
    std::mt19937_64 random(options.seed);
    const auto uniform = [&](double low, double high) { return std::uniform_real_distribution<>(low, high)(random); };
    const auto organisations = fourOrganisations();
    std::vector<planned_job> load;
    double offered = 0;
    double time = 0;
    const auto wanted = options.offered * accelerators * seconds_f(duration).count();
    while (offered < wanted) {
        time += uniform(0, 12);
        if (time >= seconds_f(duration).count())
            time = uniform(0, 10);
        const auto burst = 1 + random() % 24;
        const auto& owner = organisations[random() % organisations.size()];
        const bool large = owner.name.starts_with("large");
        for (unsigned index = 0; index < burst && offered < wanted; ++index) {
            const auto kind = uniform(0, 1);
            shape asked = gang(1);
            double length = std::exp(uniform(std::log(0.3), std::log(6)));
            if (kind > 0.6)
                asked = gang(kind > 0.8 ? 4 : 2);
            if (large && kind > 0.85) {
                asked = kind > 0.95 ? gang(16, adjacency::Rack) : gang(8);
                length = std::exp(uniform(std::log(2), std::log(20)));
            }
            if (asked.accelerators <= 4)
                asked.memoryGb = asked.accelerators * memoryPerAccelerator[random() % memoryPerAccelerator.size()];
            const auto off = std::exp(uniform(std::log(0.1), std::log(10)));
            auto spec = jobNamed(owner.name, "j" + std::to_string(load.size()), asked, milliseconds(std::max(1L, std::lround(length * off * 1000))));
            spec.jobClass = owner.mayRunUrgent && kind < 0.05 ? job_class::Urgent : job_class::Normal;
            const auto arrives = milliseconds(std::lround(time * 1000));
            load.push_back({ spec, milliseconds(std::lround(length * 1000)), arrives, arrives < waveAt && uniform(0, 1) < 0.15 });
            offered += length * asked.accelerators;
        }
    }
    std::stable_sort(load.begin(), load.end(), [](const planned_job& left, const planned_job& right) { return left.arrives < right.arrives; });
    return load;
}

struct run_result {
    std::vector<double> completion;
    std::array<class_result, 3> classes;
    std::vector<double> reclaim; ///< Start of guaranteed jobs since their acceptance, those that evicted.
    double startableShare = 0;
    double reclaimableShare = 0;
    double workOut = 0; ///< Work done while the domain was out, of the capacity left.
    double workBack = 0; ///< Work done in the 20 s after its return, of the capacity.
    double used = 0; ///< Useful work of the capacity until the last arrival.
    unsigned evictions = 0;
    double weightedWait = 0; ///< Seconds beyond the run time, times accelerator-seconds.
    double weight = 0;
    unsigned refusals = 0;
    unsigned unfinished = 0;
};

class comparison {
public:
    comparison(policy chosen, const load_options& options)
        : m_options(options)
    {
        for (std::size_t index = 0; index < 3; ++index)
            m_cores.push_back(std::make_unique<scheduler>(chosen, options.seed * 10 + index));
        const char* const domains[] = { "praha", "brno", "ostrava" };
        for (unsigned index = 0; index < 11; ++index) {
            auto info = workerNamed("w" + std::to_string(index), domains[index / 4], "r" + std::to_string(index % 4 / 3));
            info.memoryGb = options.memoryGb;
            m_fleet.workers[info.name].info = info;
            tell(worker_joined { info });
        }
        tell(organisations_changed { fourOrganisations() });
        m_load = makeLoad(options, 88);
        m_fleet.lengthOf = [this](const attempt& what) { return m_left.at(what.id.job); };
        m_fleet.onEvicted = [this](const attempt& what, milliseconds ran) {
            m_left[what.id.job] = std::max(milliseconds(1), m_left[what.id.job] - ran);
            ++classFor(what.id.job).evictions;
        };
    }

    run_result run()
    {
        constexpr milliseconds step { 10 };
        constexpr milliseconds longest { 1500000 };
        for (milliseconds time { 0 }; time < longest && (m_next < m_load.size() || m_open > 0); time += step) {
            m_now = time_point(time);
            advance(time);
        }
        m_result.unfinished = m_open;
        m_result.evictions = m_fleet.evictions;
        m_result.refusals = m_fleet.refusals;
        m_result.startableShare = m_samples > 0 ? m_startable / m_samples : 0;
        m_result.reclaimableShare = m_samples > 0 ? m_reclaimable / m_samples : 0;
        m_result.workOut = m_workOut / (seconds_f(outUntil - outFrom).count());
        m_result.used = m_work / seconds_f(duration).count();
        m_result.workBack = m_workBack / 20;
        return m_result;
    }

private:
    void tell(const event& what)
    {
        for (auto& core : m_cores)
            core->apply(what, m_now);
    }

    std::size_t ownerOf(const std::string& organisation) const
    {
        return organisation == "large-1" ? 0 : (organisation == "large-2" ? 1 : 2);
    }

    void advance(milliseconds time)
    {
        arrivals(time);
        domainChanges(time);
        m_fleet.advance(m_now);
        for (const auto& [owner, what] : std::exchange(m_fleet.events, {})) {
            noteEvent(what);
            m_cores[owner]->apply(what, m_now);
        }
        if (time % milliseconds(100) == milliseconds(0))
            report();
        for (std::size_t which = 0; which < m_cores.size(); ++which) {
            for (const auto& one : m_cores[which]->tick(m_now))
                execute(which, one);
        }
        sample(time);
    }

    void arrivals(milliseconds time)
    {
        for (; m_next < m_load.size() && m_load[m_next].arrives <= time; ++m_next) {
            const auto& job = m_load[m_next];
            m_left[job.spec.id] = job.length;
            m_arrived[job.spec.id] = m_now;
            m_jobs[job.spec.id] = &job;
            ++m_open;
            m_cores[ownerOf(job.spec.organisation)]->apply(job_added { job.spec }, m_now);
        }
        if (time != waveAt)
            return;
        for (const auto& job : m_load) {
            if (job.cancelled && m_arrived.contains(job.spec.id))
                m_cores[ownerOf(job.spec.organisation)]->apply(job_cancelled { job.spec.organisation, job.spec.id }, m_now);
        }
    }

    void domainChanges(milliseconds time)
    {
        if (!m_options.domainOut || (time != outFrom && time != outUntil))
            return;
        const bool out = time == outFrom;
        if (out)
            m_fleet.domainsOut.insert("brno");
        else
            m_fleet.domainsOut.erase("brno");
        tell(failure_domain_changed { "brno", out });
    }

    void report()
    {
        for (const auto& [name, worker] : m_fleet.workers)
            tell(m_fleet.reportOf(name, m_now));
    }

    class_result& classFor(const std::string& job)
    {
        return m_result.classes[static_cast<std::size_t>(classOf(m_jobs.at(job)->spec.shape.accelerators))];
    }

    void noteEvent(const event& what)
    {
        if (const auto* ended = std::get_if<attempt_ended>(&what); ended && ended->outcome == attempt_outcome::Refused)
            ++classFor(ended->id.job).refusals;
        const auto* running = std::get_if<attempt_running>(&what);
        if (!running)
            return;
        const auto& job = running->id.job;
        if (m_started.contains(job))
            return;
        m_started.insert(job);
        const auto wait = seconds_f(m_now - m_arrived.at(job)).count();
        classFor(job).wait.push_back(wait);
        if (m_reclaiming.contains(job))
            m_result.reclaim.push_back(seconds_f(m_now - m_reclaiming.at(job)).count());
    }

    void execute(std::size_t which, const command& what)
    {
        if (const auto* started = std::get_if<start_attempt>(&what)) {
            if (started->attempt.guaranteed && started->evictBorrowed)
                m_reclaiming.try_emplace(started->attempt.id.job, m_now);
            ++classFor(started->attempt.id.job).starts[started->reason.rule];
            m_fleet.reserve(which, *started, m_now);
        } else if (const auto* evicted = std::get_if<evict_attempt>(&what))
            m_fleet.evict(evicted->id, m_now);
        else if (const auto* stopped = std::get_if<stop_attempt>(&what))
            m_fleet.stop(stopped->id, m_now);
        else if (const auto* finished = std::get_if<finish_job>(&what)) {
            --m_open;
            m_ended.insert(finished->job);
            if (finished->outcome == job_outcome::Finished)
                noteCompletion(finished->job);
        }
    }

    void noteCompletion(const std::string& job)
    {
        const auto taken = seconds_f(m_now - m_arrived.at(job)).count();
        m_result.completion.push_back(taken);
        classFor(job).completion.push_back(taken);
        const auto length = seconds_f(m_jobs.at(job)->length).count();
        classFor(job).length.push_back(length);
        const auto work = m_jobs.at(job)->cancelled ? 0 : length * m_jobs.at(job)->spec.shape.accelerators;
        m_result.weightedWait += work * (taken - length);
        m_result.weight += work;
    }

    /// Accelerators of borrowed attempts of smaller jobs that started after the arrival of this one.
    unsigned overtakenBy(const planned_job& job) const
    {
        unsigned sum = 0;
        for (const auto& [id, gang] : m_fleet.gangs) {
            const auto size = m_jobs.at(id.job)->spec.shape.accelerators;
            const bool fixed = gang.what.guaranteed || gang.what.urgent;
            sum += !fixed && size < job.spec.shape.accelerators && gang.since > m_arrived.at(job.spec.id) ? size : 0;
        }
        return sum;
    }

    wait_reason reasonOf(const scheduler_tables& truth, const planned_job& job) const
    {
        const auto room = freeResources(truth);
        if (findPlace(truth, room, job.spec.shape, [](const available_resources&, accelerator_set) { return 0.0; }))
            return wait_reason::PlaceFree;
        unsigned total = 0;
        for (const auto& one : room)
            total += static_cast<unsigned>(std::popcount(one.room.accelerators));
        if (total >= job.spec.shape.accelerators)
            return wait_reason::Scattered;
        return overtakenBy(job) >= job.spec.shape.accelerators ? wait_reason::Overtaken : wait_reason::Full;
    }

    void noteWaiting(const scheduler_tables& truth, double seconds)
    {
        std::set<std::string> held;
        for (const auto& [id, gang] : m_fleet.gangs)
            held.insert(id.job);
        for (const auto& [id, job] : m_jobs) {
            if (!held.contains(id) && !m_ended.contains(id))
                classFor(id).waited[static_cast<std::size_t>(reasonOf(truth, *job))] += seconds;
        }
    }

    /// Accelerators on which tasks run now, and the capacity that is in.
    double running() const
    {
        double sum = 0;
        for (const auto& [id, gang] : m_fleet.gangs) {
            if (gang.phase != task_phase::Running)
                continue;
            for (const auto& part : gang.what.allocations)
                sum += __builtin_popcountll(part.accelerators);
        }
        return sum;
    }

    void sample(milliseconds time)
    {
        constexpr double step = 0.01;
        if (time < duration)
            m_work += running() / 88 * step;
        if (time >= outFrom && time < outUntil)
            m_workOut += running() / (m_options.domainOut ? 56 : 88) * step;
        if (time >= outUntil && time < outUntil + milliseconds(20000))
            m_workBack += running() / 88 * step;
        if (time >= duration || time % milliseconds(500) != milliseconds(0))
            return;
        scheduler_tables truth(1);
        applyEvent(truth, organisations_changed { fourOrganisations() }, m_now);
        for (const auto& [name, worker] : m_fleet.workers) {
            applyEvent(truth, worker_joined { worker.info }, m_now);
            applyEvent(truth, m_fleet.reportOf(name, m_now), m_now);
        }
        for (const auto& domain : m_fleet.domainsOut)
            applyEvent(truth, failure_domain_changed { domain, true }, m_now);
        truth.rankFleet();
        noteWaiting(truth, 0.5);
        m_samples += 1;
        m_startable += planGuarantees(truth, freeResources(truth), m_now).uncovered.empty() ? 1 : 0;
        m_reclaimable += planGuarantees(truth, reclaimableResources(truth), m_now).uncovered.empty() ? 1 : 0;
    }

    load_options m_options;
    std::vector<std::unique_ptr<scheduler>> m_cores;
    fake_fleet m_fleet;
    std::vector<planned_job> m_load;
    std::size_t m_next = 0;
    unsigned m_open = 0;
    std::map<std::string, milliseconds> m_left;
    std::map<std::string, time_point> m_arrived;
    std::map<std::string, const planned_job*> m_jobs; ///< Those that have arrived.
    std::set<std::string> m_ended;
    std::map<std::string, time_point> m_reclaiming;
    std::set<std::string> m_started;
    run_result m_result;
    double m_samples = 0;
    double m_startable = 0;
    double m_reclaimable = 0;
    double m_work = 0;
    double m_workOut = 0;
    double m_workBack = 0;
    time_point m_now {};
};

/// Work not yet done over time, as if all accelerators could share it evenly.
class even_fleet {
public:
    void add(double when, double work)
    {
        drain(when);
        m_backlog += work;
    }

    /// Work-seconds that had to wait or ran until @p when.
    double areaUntil(double when)
    {
        drain(when);
        return m_area;
    }

private:
    static constexpr double capacity = 88;

    void drain(double when)
    {
        const auto passed = when - m_last;
        const auto busy = std::min(passed, m_backlog / capacity);
        m_area += m_backlog * busy - capacity * busy * busy / 2;
        m_backlog = std::max(0.0, m_backlog - capacity * passed);
        m_last = when;
    }

    double m_backlog = 0;
    double m_area = 0;
    double m_last = 0;
};

/// Least mean wait, weighted by accelerator-seconds, that any order of starts could give; below 0 when little queues.
double leastWeightedWait(load_options options, unsigned seeds)
{
    double least = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        even_fleet fleet;
        double work = 0;
        double running = 0;
        for (const auto& job : makeLoad(options, 88)) {
            if (job.cancelled)
                continue;
            const auto length = seconds_f(job.length).count();
            const auto size = job.spec.shape.accelerators * length;
            fleet.add(seconds_f(job.arrives).count(), size);
            work += size;
            running += size * length / 2;
        }
        constexpr double longAfter = 1e6;
        least += (fleet.areaUntil(longAfter) - running) / work / seeds;
    }
    return least;
}

void append(std::vector<double>& all, const std::vector<double>& some)
{
    all.insert(all.end(), some.begin(), some.end());
}

void append(class_result& all, const class_result& some)
{
    append(all.completion, some.completion);
    append(all.wait, some.wait);
    append(all.length, some.length);
    for (std::size_t index = 0; index < some.waited.size(); ++index)
        all.waited[index] += some.waited[index];
    for (const auto& [rule, count] : some.starts)
        all.starts[rule] += count;
    all.refusals += some.refusals;
    all.evictions += some.evictions;
}

run_result runSeeds(policy chosen, load_options options, unsigned seeds)
{
    run_result total;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const auto one = comparison(chosen, options).run();
        append(total.completion, one.completion);
        for (std::size_t index = 0; index < one.classes.size(); ++index)
            append(total.classes[index], one.classes[index]);
        append(total.reclaim, one.reclaim);
        total.startableShare += one.startableShare / seeds;
        total.reclaimableShare += one.reclaimableShare / seeds;
        total.workOut += one.workOut / seeds;
        total.workBack += one.workBack / seeds;
        total.used += one.used / seeds;
        total.evictions += one.evictions;
        total.refusals += one.refusals;
        total.weightedWait += one.weightedWait;
        total.weight += one.weight;
        total.unfinished += one.unfinished;
    }
    return total;
}

void printClasses(const run_result& base, const run_result& own)
{
    for (std::size_t index = 0; index < own.classes.size(); ++index) {
        for (const auto* result : { &base, &own }) {
            const auto& one = result->classes[index];
            const auto mean = meanOf(one.completion);
            std::printf("   %-5s %-9s n %4zu run %5.2f | compl. %6.2f %7.2f %5.2fx | wait %6.2f %7.2f | waited s: free %5.0f scattered %5.0f overtaken %5.0f full %5.0f | refused %4u evicted %4u |",
                classNames[index], result == &base ? "first-fit" : "guarantee", one.completion.size(), meanOf(one.length), mean, quantileOf(one.completion, 0.99),
                mean / meanOf(base.classes[index].completion), meanOf(one.wait), quantileOf(one.wait, 0.99), one.waited[0], one.waited[1], one.waited[2], one.waited[3], one.refusals, one.evictions);
            for (const auto& [rule, count] : one.starts)
                std::printf(" %s %u", rule.c_str(), count);
            std::puts("");
        }
    }
}

void print(const char* label, const run_result& result)
{
    const auto& waitOf8 = result.classes[static_cast<std::size_t>(size_class::GangOf8)].wait;
    const auto& waitOf16 = result.classes[static_cast<std::size_t>(size_class::GangOf16)].wait;
    std::printf("%-28s %6.2f %7.2f | %6.2f %7.2f | %6.2f %7.2f | %6.3f %6.3f | %5.2f | %5.3f %5.3f %5.3f | %6u %6u %4u\n", label, meanOf(result.completion), quantileOf(result.completion, 0.99),
        meanOf(waitOf8), quantileOf(waitOf8, 0.99), meanOf(waitOf16), quantileOf(waitOf16, 0.99), result.startableShare, result.reclaimableShare,
        quantileOf(result.reclaim, 0.99), result.used, result.workOut, result.workBack, result.evictions, result.refusals, result.unfinished);
}

void measurePolicies(unsigned seeds, const std::vector<double>& loads, const std::vector<unsigned>& memories, bool withOutage)
{
    std::printf("Seconds of scaled time, %u seeds, 3 entries, 88 accelerators; 'free' and 'recl.': share of time in which all unused guarantees could start at once "
                "without and with eviction;\n'out'/'back': accelerators at work while a domain is out, and in the 20 s after, against those that are in.\n",
        seeds);
    std::puts("run                          compl.    p99 | wait8     p99 | wait16    p99 |  free  recl. | recl99|  used   out  back |  evict refuse open");
    for (const auto memory : memories) {
        for (const auto offered : loads) {
            for (const bool out : { false, true }) {
                if (out && !withOutage)
                    continue;
                const load_options options { 1, out, memory, offered };
                char label[64];
                std::snprintf(label, sizeof(label), "%s %.1f%s", memory == 512 ? "Sloupek" : "Trust", offered, out ? " domain out" : "");
                const auto base = runSeeds(first_fit_policy {}, options, seeds);
                const auto own = runSeeds(guarantee_policy {}, options, seeds);
                print((std::string(label) + " first-fit").c_str(), base);
                print((std::string(label) + " guarantee").c_str(), own);
                std::printf("   mean completion %.2fx, p99 %.2fx of the baseline\n", meanOf(own.completion) / meanOf(base.completion), quantileOf(own.completion, 0.99) / quantileOf(base.completion, 0.99));
                std::printf("   wait weighted by work: first-fit %.2f, guarantee %.2f, no order gives less than %.2f\n", base.weightedWait / base.weight, own.weightedWait / own.weight, leastWeightedWait(options, seeds));
                printClasses(base, own);
                std::fflush(stdout);
            }
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures the decision core alone");
    unsigned seeds = 3;
    std::vector<double> loads { 0.6, 0.9, 1.2 };
    app.add_option("--load", loads, "Work offered against capacity, one comparison each");
    bool timesOnly = false;
    bool policiesOnly = false;
    app.add_option("--seeds", seeds, "Seeds per comparison");
    std::vector<unsigned> memories { 512, 256 };
    app.add_option("--memory", memories, "GB per worker, one user's size each");
    bool noOutage = false;
    app.add_flag("--no-outage", noOutage, "Leaves out the runs with a failure domain out");
    app.add_flag("--times", timesOnly, "Decision time and memory only");
    app.add_flag("--policies", policiesOnly, "Comparison of policies only");
    CLI11_PARSE(app, argc, argv);

    if (!policiesOnly)
        measureTimes();
    if (!timesOnly)
        measurePolicies(seeds, loads, memories, !noOutage);
    return 0;
}
