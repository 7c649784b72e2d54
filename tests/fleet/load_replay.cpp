#include "load_replay.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <memory>
#include <set>
#include <tuple>
#include <utility>

namespace fleet::test {

namespace {

constexpr milliseconds stepLength { 10 };
constexpr milliseconds reportPeriod { 600 };
constexpr milliseconds tickPeriod { 200 };
// Store write and order of a start; stop and report of an end.
constexpr milliseconds startDelay { 40 };
constexpr milliseconds stopDelay { 150 };
constexpr milliseconds endReportDelay { 40 };
constexpr milliseconds checkpointPeriod { 500 };
constexpr double restoreMs = 600;
constexpr int lateFactor = 3;
// A lost run is reported once its lease has expired.
constexpr milliseconds leaseLength { 4000 };
constexpr milliseconds agentsReportWithin { 500 };

const time_point origin = time_point(std::chrono::seconds(1000));

double processorMs()
{
    timespec now {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

struct arrival {
    time_point at;
    accepted_job job;
    unsigned organisation = 0;
    double runTimeFactor = 1; ///< True run time by the declared one.
};

struct simulated_run {
    std::string worker;
    time_point orderedAt;
    double doneMs = 0; ///< Work done, including what a checkpoint carried.
    double savedMs = 0;
    double restoredMs = 0; ///< Work that its start carried over.
    double reportedSavedMs = 0; ///< Work that the last reported checkpoint carries.
    double slowdown = 1;
    double restoreLeftMs = 0;
    bool stopping = false;
    time_point stopAt;
};

class load_player {
public:
    explicit load_player(const replay_load& load)
        : m_load(load)
        , m_random(load.seed)
        , m_core(std::make_unique<scheduler_core>(core_settings {}))
    {
        configuration rules;
        rules.queues = load.queues;
        for (unsigned i = 0; i < load.organisations; ++i)
            rules.organisations.push_back({ "org" + std::to_string(i), {}, load.guaranteedAccelerators });
        m_rules = std::move(rules);
        m_core->configure(m_rules);
        m_outcome.organisations.resize(load.organisations);
        drawArrivals();
    }

    replay_outcome play()
    {
        const auto end = origin + m_load.arrivals + m_load.drain;
        for (m_now = origin; m_now < end; m_now += stepLength)
            playStep();
        for (const auto& entry : m_arrivals)
            addOutcome(entry);
        return std::move(m_outcome);
    }

private:
    double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(m_random); }

    void drawArrivals()
    {
        unsigned number = 0;
        for (const auto& kind : m_load.kinds) {
            for (auto at = milliseconds(0); at < m_load.arrivals;) {
                double rate = kind.perSecond;
                for (const auto& burst : m_load.bursts) {
                    if (burst.queue == kind.queue && at >= burst.from && at < burst.from + burst.length)
                        rate *= burst.factor;
                }
                at += milliseconds(1 + static_cast<std::int64_t>(-std::log(uniform(1e-9, 1)) / rate * 1000));
                if (at < m_load.arrivals)
                    m_arrivals.push_back(drawJob(kind, at, number++));
            }
        }
        std::sort(m_arrivals.begin(), m_arrivals.end(),
            [](const arrival& a, const arrival& b) { return std::tie(a.at, a.job.id) < std::tie(b.at, b.job.id); });
    }

    /// @brief One draw whatever the skew, so that loads with different skews differ in their organisations only.
    unsigned drawOrganisation()
    {
        const double drawn = uniform(0, 1);
        if (!m_load.organisationSkew)
            return static_cast<unsigned>(std::pow(drawn, 1.5) * m_load.organisations);
        double total = 0;
        for (unsigned i = 1; i <= m_load.organisations; ++i)
            total += std::pow(i, -*m_load.organisationSkew);
        double sum = 0;
        for (unsigned i = 1; i < m_load.organisations; ++i) {
            sum += std::pow(i, -*m_load.organisationSkew) / total;
            if (drawn < sum)
                return i - 1;
        }
        return m_load.organisations - 1;
    }

    arrival drawJob(const job_kind& kind, milliseconds at, unsigned number)
    {
        arrival out;
        out.at = origin + at;
        // Ids are spread like those that callers choose.
        auto mixed = (number + 1) * 0x9E3779B97F4A7C15U;
        for (unsigned i = 0; i < 16; ++i, mixed >>= 4U)
            out.job.id += "0123456789abcdef"[mixed & 15U];
        out.job.queue = kind.queue;
        out.job.service = "app";
        out.organisation = drawOrganisation();
        out.job.organisation = "org" + std::to_string(out.organisation);
        step_spec step;
        const double width = -std::log(uniform(1e-9, 1)) * kind.meanWidth;
        step.count = std::clamp(static_cast<unsigned>(width) + 1, 1U, kind.maxWidth);
        step.need = { kind.millicores, kind.memoryMb, kind.accelerators[m_random() % kind.accelerators.size()] };
        step.gang = kind.gang;
        step.sameRack = kind.gang && uniform(0, 1) < kind.sameRackShare;
        step.checkpointing = uniform(0, 1) < kind.checkpointShare;
        const double trueMs = static_cast<double>(kind.runTimeMs) * uniform(0.7, 1.3);
        const double error = std::exp(std::normal_distribution<double>(0, kind.estimateError)(m_random));
        step.runTimeMs = std::max<std::int64_t>(200, static_cast<std::int64_t>(trueMs * error));
        out.runTimeFactor = trueMs / static_cast<double>(step.runTimeMs);
        out.job.spec.steps = { step };
        return out;
    }

    void playStep()
    {
        bool news = false;
        while (m_nextArrival < m_arrivals.size() && m_arrivals[m_nextArrival].at <= m_now) {
            m_core->addJob(m_arrivals[m_nextArrival].job, {}, m_now, m_now);
            m_factors[m_arrivals[m_nextArrival].job.id] = m_arrivals[m_nextArrival].runTimeFactor;
            ++m_nextArrival;
            news = true;
        }
        departWorkers();
        if (m_nextTakeover < m_load.takeovers.size() && m_now - origin >= m_load.takeovers[m_nextTakeover]) {
            ++m_nextTakeover;
            takeOver();
        }
        work();
        news = sendReports() || news;
        if (news || m_now - m_decidedAt >= tickPeriod)
            decide();
    }

    /// @brief A gang works while all its members are there; a single task works by itself.
    void work()
    {
        for (auto entry = m_runs.begin(); entry != m_runs.end();) {
            const auto& first = entry->first;
            auto last = entry;
            bool all = true;
            unsigned members = 0;
            const auto& job = m_core->findJob(first.task.job)->job;
            const auto& step = job.spec.steps[first.task.step];
            do {
                all = all && m_now >= last->second.orderedAt + startDelay && !last->second.stopping;
                ++members;
                ++last;
            } while (step.gang && last != m_runs.end() && isSameStep(last->first.task, first.task));
            const bool works = all && (!step.gang || members == step.count);
            const double totalMs = static_cast<double>(step.runTimeMs) * m_factors.at(job.id);
            bool done = false;
            for (auto run = entry; run != last; ++run) {
                if (works)
                    advance(run->second, step);
                done = done || run->second.doneMs >= totalMs;
                if (run->second.stopping && m_now >= run->second.stopAt)
                    m_ends.push_back({ run->first, run->second, run_outcome::Stopped });
            }
            for (auto run = entry; done && run != last; ++run)
                m_ends.push_back({ run->first, run->second, run_outcome::Done });
            entry = last;
        }
        for (const auto& end : m_ends)
            finish(end);
        m_ends.clear();
    }

    void advance(simulated_run& run, const step_spec& step)
    {
        const auto length = static_cast<double>(stepLength.count());
        m_outcome.usedCoreSeconds += length / 1000 * step.need.weight();
        if (run.restoreLeftMs > 0) {
            run.restoreLeftMs -= length;
            return;
        }
        run.doneMs += length / run.slowdown;
        if (step.checkpointing && run.doneMs - run.savedMs >= static_cast<double>(checkpointPeriod.count()))
            run.savedMs = run.doneMs;
    }

    struct run_end {
        run_id id;
        simulated_run run;
        run_outcome how = run_outcome::Done;
    };

    void finish(const run_end& end)
    {
        const auto& step = m_core->findJob(end.id.task.job)->job.spec.steps[end.id.task.step];
        std::string checkpoint;
        if (end.how == run_outcome::Stopped) {
            const double saved = step.checkpointing ? end.run.doneMs : 0;
            m_outcome.lostCoreSeconds += (end.run.doneMs - saved) / 1000 * step.need.weight();
            if (saved > 0)
                checkpoint = std::to_string(static_cast<std::int64_t>(saved));
        }
        auto& worker = m_workers[end.run.worker];
        worker.ended.push_back({ ++worker.endCount, end.id, end.how, checkpoint });
        worker.reportAt = std::min(worker.reportAt, m_now + endReportDelay);
        m_runs.erase(end.id);
    }

    bool sendReports()
    {
        if (m_workers.empty()) {
            addWorkers();
            drawDepartures();
        }
        bool news = false;
        for (auto& [name, worker] : m_workers) {
            if (worker.reportAt > m_now)
                continue;
            auto report = worker.report;
            report.ended = std::exchange(worker.ended, {});
            for (const auto& id : worker.runs) {
                if (const auto run = m_runs.find(id); run != m_runs.end() && m_now >= run->second.orderedAt + startDelay)
                    report.active.push_back(describe(id, run->second));
            }
            std::erase_if(worker.runs, [this](const run_id& id) { return !m_runs.contains(id); });
            news = news || m_core->canChangeDecision(name, report);
            const double began = processorMs();
            m_core->applyReport(name, report, m_now);
            m_outcome.reportMs.push_back(processorMs() - began);
            noteCompletions(report);
            worker.reportAt = m_now + reportPeriod;
        }
        return news;
    }

    void noteCompletions(const worker_report& report)
    {
        for (const auto& ended : report.ended) {
            const auto* job = m_core->findJob(ended.run.task.job);
            if (job != nullptr && job->progress.state == job_state::Completed)
                m_completedAt.try_emplace(job->job.id, m_now);
        }
    }

    void drawDepartures()
    {
        // A generator of its own, so that the drawn jobs are the same with and without departures.
        std::mt19937_64 random(m_load.seed + 7919);
        const auto draw = [&random](milliseconds from, milliseconds to) {
            return milliseconds(std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(random));
        };
        const auto& plan = m_load.departures;
        std::vector<std::string> names;
        for (const auto& [name, worker] : m_workers)
            names.push_back(name);
        std::shuffle(names.begin(), names.end(), random);
        for (unsigned i = 0; i < std::min<std::size_t>(plan.count, names.size()); ++i) {
            auto& worker = m_workers.at(names[i]);
            worker.noticeAt = origin + draw(milliseconds(3000), m_load.arrivals);
            worker.notice = draw(plan.minNotice, plan.maxNotice);
            worker.leavesAt = *worker.noticeAt + worker.notice + draw(milliseconds(0), plan.maxSurplus);
        }
    }

    void departWorkers()
    {
        for (auto& [name, worker] : m_workers) {
            if (!worker.noticeAt || m_now < *worker.noticeAt)
                continue;
            auto& report = worker.report;
            const auto leftAgo = m_now - worker.leavesAt;
            if (!report.worker.draining && leftAgo < milliseconds(0)) {
                report.worker.draining = true;
                report.worker.drainRemainingMs = worker.notice.count();
                worker.reportAt = m_now;
            } else if (report.worker.draining && report.responsive && leftAgo >= milliseconds(0)) {
                report.responsive = false;
                report.othersMayRun = true;
                loseRuns(worker);
            } else if (!report.responsive && leftAgo >= m_load.departures.absence) {
                report.responsive = true;
                report.worker.draining = false;
                report.worker.drainRemainingMs = 0;
                report.worker.incarnation = { report.worker.incarnation.instance + "b", 2 };
                worker.endCount = 0;
                worker.ended.clear();
                worker.reportAt = m_now;
            } else if (report.othersMayRun && leftAgo >= leaseLength) {
                report.othersMayRun = false;
                worker.reportAt = m_now;
                worker.noticeAt.reset();
            }
        }
    }

    /// @brief Another scheduler reads the records; the agents report to it within half a second.
    void takeOver()
    {
        const auto previous = std::exchange(m_core, std::make_unique<scheduler_core>(core_settings {}));
        m_core->configure(m_rules);
        for (const auto& [id, job] : previous->state().jobs) {
            m_core->addJob(job.job, job.progress, job.acceptedAt, m_now);
        }
        unsigned number = 0;
        for (auto& [name, worker] : m_workers)
            worker.reportAt = m_now + milliseconds(number++ * agentsReportWithin.count() / static_cast<std::int64_t>(m_workers.size()));
    }

    struct simulated_worker;

    void loseRuns(simulated_worker& worker)
    {
        for (const auto& id : worker.runs) {
            const auto run = m_runs.find(id);
            if (run == m_runs.end())
                continue;
            const auto& step = m_core->findJob(id.task.job)->job.spec.steps[id.task.step];
            const auto& lost = run->second;
            m_outcome.lostCoreSeconds += (lost.doneMs - std::max(lost.reportedSavedMs, lost.restoredMs)) / 1000 * step.need.weight();
            ++m_outcome.runsLostWithWorker;
            m_runs.erase(run);
        }
        worker.runs.clear();
    }

    active_run describe(const run_id& id, simulated_run& run)
    {
        const auto& step = m_core->findJob(id.task.job)->job.spec.steps[id.task.step];
        const double totalMs = static_cast<double>(step.runTimeMs) * m_factors.at(id.task.job);
        active_run out { id, {}, std::floor(std::min(100.0, run.doneMs / totalMs * 100)) };
        run.reportedSavedMs = run.savedMs;
        if (run.savedMs > 0)
            out.checkpoint = std::to_string(static_cast<std::int64_t>(run.savedMs));
        return out;
    }

    void addWorkers()
    {
        for (unsigned i = 0; i < m_load.workers; ++i) {
            simulated_worker worker;
            worker.report.worker.incarnation = { "i" + std::to_string(i), 1 };
            worker.report.worker.service = "app";
            worker.report.worker.failureDomain = "domain-" + std::to_string(i / m_load.workersPerRack % 6);
            worker.report.worker.labels = { "a", "r" + std::to_string(i / m_load.workersPerRack) };
            worker.report.worker.capacity = m_load.capacity;
            worker.reportAt = m_now + milliseconds(i * reportPeriod.count() / m_load.workers);
            m_core->applyReport("side-" + std::to_string(i), worker.report, m_now);
            m_workers["side-" + std::to_string(i)] = std::move(worker);
        }
    }

    void decide()
    {
        m_decidedAt = m_now;
        const double began = processorMs();
        const auto effects = m_core->decide(m_now, 0);
        m_outcome.decisionMs.push_back(processorMs() - began);
        for (const auto& entry : effects)
            std::visit([this](const auto& order) { perform(order); }, entry);
        std::size_t waiting = 0;
        for (const auto& [id, job] : m_core->state().jobs) {
            for (const auto& occurrence : job.progress.occurrences) {
                for (const auto& task : occurrence.steps.front())
                    waiting += task.status == task_status::Waiting ? 1 : 0;
            }
        }
        m_outcome.mostWaitingTasks = std::max(m_outcome.mostWaitingTasks, waiting);
        m_core->takeChangedJobs();
        m_core->takeDeferrals();
    }

    void perform(const start_effect& order)
    {
        ++m_outcome.starts;
        mix("start", order.run, order.worker);
        simulated_run run;
        run.worker = order.worker;
        run.orderedAt = m_now;
        run.slowdown = order.slowdown;
        if (!order.checkpoint.empty()) {
            run.doneMs = run.savedMs = run.restoredMs = std::stod(order.checkpoint);
            run.restoreLeftMs = restoreMs;
        }
        m_firstStarts.try_emplace(order.run.task.job, m_now);
        m_runs[order.run] = run;
        m_workers[order.worker].runs.insert(order.run);
        m_core->startAccepted(order.run, m_now);
    }

    void perform(const stop_effect& order)
    {
        mix("stop", order.run, order.worker);
        if (order.reason == "room for urgent work")
            ++m_outcome.evictedRuns;
        if (order.reason == "its worker leaves")
            ++m_outcome.departureStops;
        const auto run = m_runs.find(order.run);
        if (run == m_runs.end() || run->second.stopping)
            return;
        run->second.stopping = true;
        run->second.stopAt = m_now + stopDelay;
    }

    void mix(const std::string& what, const run_id& run, const std::string& worker)
    {
        for (const auto& part : { what, toString(run.task), std::to_string(run.attempt), worker }) {
            for (const char letter : part)
                m_outcome.digest = (m_outcome.digest ^ static_cast<unsigned char>(letter)) * 0x100000001B3U;
        }
    }

    void addOutcome(const arrival& entry)
    {
        const auto* job = m_core->findJob(entry.job.id);
        const auto& rule = job->rule;
        auto& queue = m_outcome.queues[rule.name];
        const auto& kind = *std::find_if(m_load.kinds.begin(), m_load.kinds.end(), [&](const auto& one) { return one.queue == rule.name; });
        const double share = std::min(4.0, 0.3 + 0.7 * entry.job.spec.steps.front().count / kind.meanWidth);
        const auto objective = objectiveOf(entry.job.spec, rule);
        // A job that can no longer be judged when the replay ends is not counted.
        if (entry.at + objective > m_now)
            return;
        auto& organisation = m_outcome.organisations[entry.organisation];
        ++queue.jobs;
        ++organisation.jobs;
        queue.owed += kind.value * share;
        organisation.owed += kind.value * share;
        const auto started = m_firstStarts.find(entry.job.id);
        const auto waited = (started == m_firstStarts.end() ? m_now : started->second) - entry.at;
        organisation.waitedMs += std::chrono::duration<double, std::milli>(waited).count();
        if (job->progress.state != job_state::Completed)
            return;
        const auto completed = m_completedAt.find(entry.job.id);
        const auto age = completed->second - entry.at;
        double value = 0;
        if (age <= objective) {
            ++queue.inTime;
            value = kind.value * share;
        } else if (age <= objective * lateFactor) {
            ++queue.late;
            value = kind.lateValue * share;
        }
        queue.value += value;
        organisation.value += value;
    }

    struct simulated_worker {
        worker_report report;
        std::vector<ended_run> ended;
        std::uint64_t endCount = 0;
        std::set<run_id> runs;
        time_point reportAt;
        std::optional<time_point> noticeAt; ///< Of a worker that leaves, until the lease of its runs has expired.
        milliseconds notice { 0 };
        time_point leavesAt;
    };

    const replay_load& m_load;
    std::mt19937_64 m_random;
    std::unique_ptr<scheduler_core> m_core;
    configuration m_rules;
    std::size_t m_nextTakeover = 0;
    std::map<std::string, time_point> m_completedAt; ///< When the end of a job's last run was reported.
    time_point m_now = origin;
    time_point m_decidedAt = origin;
    std::vector<arrival> m_arrivals;
    std::size_t m_nextArrival = 0;
    std::map<std::string, double> m_factors;
    std::map<std::string, time_point> m_firstStarts; ///< By job.
    std::map<std::string, simulated_worker> m_workers;
    std::map<run_id, simulated_run> m_runs;
    std::vector<run_end> m_ends;
    replay_outcome m_outcome;
};

} // namespace

double replay_outcome::worth() const
{
    double value = 0;
    double owed = 0;
    for (const auto& [name, queue] : queues) {
        value += queue.value;
        owed += queue.owed;
    }
    return owed > 0 ? value / owed : 0;
}

replay_load largeLoad(unsigned workers, double factor)
{
    replay_load load;
    load.workers = workers;
    const double scale = factor * workers / 160;
    load.queues = { { "bundle", "host", "/bundle/", "app", 1, 3, 3, 1200, true },
        { "check", "host", "/check/", "app", 0, 3, 1.5, 300, true },
        { "sweep", "host", "/sweep/", "app", 2, 3, 3, 3000, true } };
    load.kinds = { { "bundle", 0.872 * scale, 13, 76, 52'000, 140'000, { 1, 2, 4, 8, 8 }, 8500, 0.5, true, 0.6, 0.45, 3, 0.9 },
        { "check", 4.36 * scale, 5.3, 32, 15'000, 39'000, { 1, 2, 4, 8, 8 }, 2500, 0.2, true, 0.8, 0, 4, 0.8 },
        { "sweep", 1.07 * scale, 38, 230, 11'000, 23'000, { 1 }, 6100, 0.5, false, 0, 0.45, 1, 0.3 } };
    load.bursts = { { "check", milliseconds(10'000), milliseconds(6000), 2.4 }, { "sweep", milliseconds(12'000), milliseconds(4000), 2.6 } };
    return load;
}

namespace {

replay_load skewedOrganisations()
{
    replay_load load;
    load.organisations = 10;
    load.organisationSkew = 1.2;
    load.queues = { { "bundle", "host", "/bundle/", "app", 1, 3, 3, 1200, true },
        { "check", "host", "/check/", "app", 0, 3, 1.5, 300, true },
        { "sweep", "host", "/sweep/", "app", 2, 3, 3, 3000, true } };
    load.bursts = { { "check", milliseconds(10'000), milliseconds(5000), 2.4 },
        { "bundle", milliseconds(17'000), milliseconds(5000), 2 }, { "sweep", milliseconds(12'000), milliseconds(4000), 2.6 } };
    return load;
}

} // namespace

replay_load skewedLoad(double factor)
{
    auto load = skewedOrganisations();
    load.workers = 53;
    load.workersPerRack = 4;
    load.capacity = { 64'000, 262'144, 8 };
    load.guaranteedAccelerators = 16;
    load.kinds = { { "bundle", 0.635 * factor, 6, 36, 26'000, 70'000, { 1, 2, 4, 8 }, 8500, 0.5, true, 0.6, 0.45, 3, 0.9 },
        { "check", 1.14 * factor, 5, 30, 7500, 20'000, { 1, 2, 4, 8 }, 2500, 0.5, true, 0.8, 0, 4, 0.8 },
        { "sweep", 0.273 * factor, 39, 230, 5600, 12'000, { 1 }, 9500, 0.9, false, 0, 0.45, 1, 0.3 } };
    return load;
}

replay_load narrowLoad(double factor)
{
    auto load = skewedOrganisations();
    load.workers = 63;
    load.workersPerRack = 5;
    load.capacity = { 32'000, 131'072, 8 };
    load.guaranteedAccelerators = 16;
    load.kinds = { { "bundle", 0.559 * factor, 6, 36, 13'000, 35'000, { 1, 2, 4, 8 }, 7200, 0.5, true, 0.6, 0.45, 3, 0.3 },
        { "check", 1.2 * factor, 5, 30, 3700, 10'000, { 1, 2, 4, 8 }, 2100, 0.5, true, 0.8, 0, 4, 0.8 },
        { "sweep", 0.286 * factor, 39, 230, 2800, 6000, { 1 }, 8100, 0.5, false, 0, 0.45, 1, 0.1 } };
    return load;
}

replay_load mediumLoad(double factor)
{
    replay_load load;
    load.workers = 53;
    load.workersPerRack = 4;
    load.capacity = { 64'000, 262'144, 8 };
    load.organisations = 10;
    load.queues = { { "simulation", "host", "/simulation/", "app", 1, 3, 3, 1200, true },
        { "quote", "host", "/quote/", "app", 0, 3, 1.5, 300, true }, { "portfolio", "host", "/portfolio/", "app", 2, 3, 3, 3000, true } };
    load.kinds
        = { { "simulation", 0.635 * factor, 6, 36, 26'000, 60'000, { 1, 2, 4, 8, 8 }, 8500, 0.5, true, 0.6, 0.45, 3, 0.9 },
              { "quote", 1.14 * factor, 5, 30, 7500, 20'000, { 1, 2, 4, 8, 8 }, 2500, 0.5, true, 0.8, 0, 4, 0.8 },
              { "portfolio", 0.21 * factor, 39, 230, 5600, 15'000, { 1 }, 9500, 0.9, false, 0, 0.45, 1, 0.3 } };
    load.bursts = { { "portfolio", milliseconds(8000), milliseconds(5000), 2.4 }, { "simulation", milliseconds(15'000), milliseconds(4000), 2 } };
    return load;
}

replay_outcome replay(const replay_load& load)
{
    return load_player(load).play();
}

} // namespace fleet::test
