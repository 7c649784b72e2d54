/// @file
/// @brief Runs the guarantee policy and first-fit side by side on the same seeded work; prints a table and a plot.
#include "harness/load.hpp"
#include "harness/oracle.hpp"
#include "harness/statistics.hpp"

#include <CLI/CLI.hpp>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

namespace {

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr unsigned acceleratorsPerWorker = 8;

struct user {
    std::string name;
    unsigned memoryGbPerWorker = 0;
    milliseconds clientDelay; ///< One way, caller to entry.
};

struct measured {
    std::vector<double> smallMs;
    std::vector<double> gangMs;
    std::vector<double> gang8WaitMs;
    std::vector<double> gang16WaitMs;
    std::vector<double> requestMs;
    std::vector<double> requestFloodMs;
    unsigned unfinished = 0;
    double freeShape = 0; ///< Share of time in which a whole worker was free for each unused guarantee.
    double workOutShare = 0; ///< Work during the outage per capacity left, against before.
    double backMs = 0;
    std::vector<double> reclaimMs;
    unsigned notReclaimed = 0;
    double bytesPerRequest = 0;
    double bytesPerJob = 0; ///< Beyond idle traffic, over all links between entries and agents.
    double idleBytesPerSecond = 0; ///< Over the same links.
    double abroadShare = 0; ///< Requests that ran outside the region of their entry.
    std::vector<double> busy; ///< Busy accelerators over time while a failure domain goes out and returns.
};

struct job_case {
    std::string organisation;
    unsigned accelerators = 1;
    unsigned trueRunMs = 0;
    unsigned declaredMs = 0;
    unsigned submitAtMs = 0;
};

double toMs(milliseconds time)
{
    return static_cast<double>(time.count());
}

std::string adjacencyOf(unsigned accelerators)
{
    return accelerators > acceleratorsPerWorker ? "rack" : "worker";
}

json documentOf(const job_case& wanted)
{
    auto document = gangJob(wanted.accelerators, adjacencyOf(wanted.accelerators), wanted.declaredMs);
    document["payload"] = json { { "standin_run_ms", wanted.trueRunMs } }.dump();
    return document;
}

/// @brief Bursts of small jobs and gangs whose declared run times are off by up to ten times either way.
std::vector<job_case> burstyWork(std::uint64_t seed, unsigned count)
{
    static const std::vector<std::string> organisations { "alpha", "beta", "gamma", "delta" };
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> error(-1, 1);
    std::vector<job_case> work;
    unsigned time = 0;
    for (unsigned i = 0; i < count; ++i) {
        if (i % 20 == 0)
            time += 800;
        job_case next;
        next.organisation = organisations[random() % organisations.size()];
        const auto kind = random() % 10;
        next.accelerators = kind == 0 ? 16 : kind <= 2 ? 8
                                                       : static_cast<unsigned>(1 + random() % 4);
        next.trueRunMs = static_cast<unsigned>((kind <= 2 ? 600 : 100) + random() % (kind <= 2 ? 1400 : 900));
        next.declaredMs = static_cast<unsigned>(next.trueRunMs * std::pow(10, error(random)));
        next.submitAtMs = time;
        work.push_back(next);
    }
    return work;
}

struct submitted {
    job_case wanted;
    std::string id;
    milliseconds at { 0 };
    bool cancelled = false;
};

std::vector<submitted> submitAll(const cluster& system, const std::vector<job_case>& work)
{
    std::vector<submitted> all;
    const auto begin = steadyNow();
    for (std::size_t i = 0; i < work.size(); ++i) {
        std::this_thread::sleep_for(begin + milliseconds(work[i].submitAtMs) - steadyNow());
        const auto at = steadyNow();
        const auto told = system.submitJob(i % system.entries.size(), work[i].organisation, documentOf(work[i]));
        if (told.status == 202)
            all.push_back({ work[i], told.body.value("job", ""), at });
        // A wave of cancellations in the middle.
        if (i == work.size() / 2) {
            for (std::size_t j = 0; j < all.size(); j += 7) {
                all[j].cancelled = true;
                call(system.entries[0].http, "DELETE",
                    "/v1/organisations/" + all[j].wanted.organisation + "/jobs/" + all[j].id);
            }
        }
    }
    return all;
}

/// @brief Latencies of short requests sent one after the other until @p stop.
std::vector<double> probeRequests(const cluster& system, const std::atomic<bool>& stop, milliseconds clientDelay)
{
    std::vector<double> latencies;
    while (!stop) {
        const auto sent = std::chrono::steady_clock::now();
        const auto told = system.request(latencies.size() % system.entries.size(), "alpha", { { "work_ms", 2 } });
        const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - sent;
        if (told.status == 200)
            latencies.push_back(taken.count() + 2 * toMs(clientDelay));
        std::this_thread::sleep_for(5ms);
    }
    return latencies;
}

std::vector<double> probeFor(const cluster& system, milliseconds duration, milliseconds clientDelay)
{
    std::atomic<bool> stop { false };
    std::vector<double> latencies;
    std::thread prober([&] { latencies = probeRequests(system, stop, clientDelay); });
    std::this_thread::sleep_for(duration);
    stop = true;
    prober.join();
    return latencies;
}

unsigned busyAt(const std::vector<std::pair<milliseconds, int>>& changes, milliseconds time)
{
    int busy = 0;
    for (const auto& [at, change] : changes)
        busy += at <= time ? change : 0;
    return static_cast<unsigned>(std::max(busy, 0));
}

/// @brief Accelerators taken and given back over time, by worker name.
std::map<std::string, std::vector<std::pair<milliseconds, int>>> occupancy(const json& events)
{
    std::map<std::string, std::vector<std::pair<milliseconds, int>>> changes;
    for (const auto& event : events) {
        const auto kind = event["event"].get<std::string>();
        if (kind == "checkpoint" || kind == "throttle")
            continue;
        const auto count = static_cast<int>(event["accelerators"].size());
        changes[event["worker"]].emplace_back(
            milliseconds(event["monotonic_ms"].get<std::int64_t>()), kind == "start" ? count : -count);
    }
    return changes;
}

void measureCompletion(cluster& system, const user& who, std::uint64_t seed, unsigned jobs, measured& result)
{
    result.requestMs = probeFor(system, 3000ms, who.clientDelay);
    std::atomic<bool> stop { false };
    std::thread prober([&] { result.requestFloodMs = probeRequests(system, stop, who.clientDelay); });
    const auto begin = steadyNow();
    const auto all = submitAll(system, burstyWork(seed, jobs));
    std::map<std::string, std::string> states;
    for (const auto& job : all)
        states[job.id] = system.waitJob(0, job.wanted.organisation, job.id, 60000ms);
    stop = true;
    prober.join();
    const auto end = steadyNow();

    const auto events = system.runtimeEvents();
    std::map<std::string, milliseconds> started;
    std::map<std::string, milliseconds> finished;
    for (const auto& [name, attempt] : readAttempts(events)) {
        for (const auto& task : attempt.tasks) {
            if (!started.contains(attempt.job) || task.started < started[attempt.job])
                started[attempt.job] = task.started;
            if (task.finished)
                finished[attempt.job] = std::max(finished[attempt.job], *task.ended);
        }
    }
    for (const auto& job : all) {
        if (job.cancelled)
            continue;
        if (states[job.id] != "finished") {
            ++result.unfinished;
            continue;
        }
        const auto taken = toMs(finished[job.id] - job.at);
        (job.wanted.accelerators >= acceleratorsPerWorker ? result.gangMs : result.smallMs).push_back(taken);
        const auto wait = toMs(started[job.id] - job.at);
        if (job.wanted.accelerators == 8)
            result.gang8WaitMs.push_back(wait);
        if (job.wanted.accelerators == 16)
            result.gang16WaitMs.push_back(wait);
    }

    const auto changes = occupancy(events);
    unsigned samples = 0;
    unsigned roomy = 0;
    for (auto time = begin; time < end; time += 20ms) {
        unsigned freeWorkers = static_cast<unsigned>(system.agents.size() - changes.size());
        for (const auto& [worker, list] : changes)
            freeWorkers += busyAt(list, time) == 0 ? 1 : 0;
        ++samples;
        // Alpha and beta are guaranteed one worker each.
        roomy += freeWorkers >= 2 ? 1 : 0;
    }
    result.freeShape = samples == 0 ? 0 : static_cast<double>(roomy) / samples;
}

void measureDomainOut(cluster& system, measured& result)
{
    constexpr auto window = 6000ms;
    std::atomic<bool> stop { false };
    std::thread submitter([&] {
        // Keeps more waiting than the system holds.
        for (std::size_t i = 0; !stop; ++i) {
            static const std::vector<std::string> organisations { "alpha", "beta", "gamma", "delta" };
            job_case next { organisations[i % 4], 4, 400, 400, 0 };
            system.submitJob(i % system.entries.size(), next.organisation, documentOf(next));
            std::this_thread::sleep_for(15ms);
        }
    });
    std::this_thread::sleep_for(3000ms);
    const auto begin = steadyNow();
    std::this_thread::sleep_for(window);
    system.setFailureDomain(0, "brno", true);
    const auto out = steadyNow();
    std::this_thread::sleep_for(window);
    system.setFailureDomain(0, "brno", false);
    const auto in = steadyNow();
    std::this_thread::sleep_for(window);
    stop = true;
    submitter.join();

    const auto changes = occupancy(system.runtimeEvents());
    const auto total = [&](milliseconds time) {
        unsigned sum = 0;
        for (const auto& [worker, list] : changes)
            sum += busyAt(list, time);
        return static_cast<double>(sum);
    };
    std::vector<double> before;
    std::vector<double> during;
    for (auto time = begin; time < in + window; time += 100ms) {
        const auto busy = total(time);
        result.busy.push_back(busy);
        if (time < out)
            before.push_back(busy);
        else if (time < in)
            during.push_back(busy);
        else if (result.backMs == 0 && busy >= 0.95 * mean(before))
            result.backMs = toMs(time - in);
    }
    constexpr double capacityLeft = 7.0 / 11.0;
    result.workOutShare = mean(before) == 0 ? 0 : mean(during) / mean(before) / capacityLeft;
}

void measureReclaim(cluster& system, unsigned rounds, measured& result)
{
    auto endless = gangJob(4, "worker", 600000);
    endless["payload"] = json { { "standin_never_ends", true } }.dump();
    for (std::size_t i = 0; i < system.agents.size() * 2 + 4; ++i)
        system.submitJob(0, i % 2 == 0 ? "gamma" : "delta", endless);
    const auto full = [&] {
        unsigned busy = 0;
        for (const auto& [worker, list] : occupancy(system.runtimeEvents()))
            busy += busyAt(list, steadyNow());
        return busy >= system.agents.size() * acceleratorsPerWorker;
    };
    for (unsigned round = 0; round < rounds; ++round) {
        eventually(full, 10000ms);
        const auto sent = steadyNow();
        const auto told = system.submitJob(round % system.entries.size(), round % 2 == 0 ? "alpha" : "beta",
            gangJob(8, "worker", 200));
        const auto id = told.body.is_object() ? told.body.value("job", "") : "";
        std::vector<json> starts;
        if (!eventually([&] { return !(starts = system.runtimeEvents("start", id)).empty(); }, 5000ms)) {
            ++result.notReclaimed;
            continue;
        }
        result.reclaimMs.push_back(
            toMs(milliseconds(starts[0]["monotonic_ms"].get<std::int64_t>()) - sent));
        system.waitJob(0, round % 2 == 0 ? "alpha" : "beta", id);
    }
}

void measureRegions(cluster& system, measured& result)
{
    constexpr unsigned requests = 400;
    const auto bytes = [&] { return system.entries[0].rpcLink->bytesToTarget() + system.entries[0].rpcLink->bytesToClient(); };
    const auto executions = [&](const std::string& domain) {
        unsigned count = 0;
        for (std::size_t i = 0; i < system.agents.size(); ++i)
            count += domain.empty() || system.agents[i].failureDomain == domain ? system.executionsAt(i) : 0;
        return count;
    };
    const auto allBefore = executions("");
    const auto homeBefore = executions(system.entries[0].failureDomain);
    const auto before = bytes();
    for (unsigned i = 0; i < requests; ++i)
        system.request(0, "alpha", { { "work_ms", 0 } });
    result.bytesPerRequest = static_cast<double>(bytes() - before) / requests;
    const auto all = executions("") - allBefore;
    const auto home = executions(system.entries[0].failureDomain) - homeBefore;
    result.abroadShare = all == 0 ? 0 : static_cast<double>(all - home) / all;
}

// Every link is counted, so the figure bounds what jobs send between regions wherever their workers are.
void measureJobBytes(cluster& system, measured& result)
{
    using clock = std::chrono::steady_clock;
    constexpr unsigned jobs = 20;
    constexpr unsigned runMs = 300;
    constexpr auto idleTime = 4s;
    const auto bytes = [&] {
        std::uint64_t sum = 0;
        for (const auto& entry : system.entries)
            sum += entry.rpcLink->bytesToTarget() + entry.rpcLink->bytesToClient();
        for (const auto& agent : system.agents)
            sum += agent.rpcLink->bytesToTarget() + agent.rpcLink->bytesToClient();
        return static_cast<double>(sum);
    };
    const auto idleBefore = bytes();
    std::this_thread::sleep_for(idleTime);
    result.idleBytesPerSecond = (bytes() - idleBefore) / std::chrono::duration<double>(idleTime).count();

    const auto before = bytes();
    const auto start = clock::now();
    for (unsigned i = 0; i < jobs; ++i) {
        const auto accepted = system.submitJob(0, "alpha", gangJob(acceleratorsPerWorker, "worker", runMs));
        system.waitJob(0, "alpha", accepted.body.value("job", ""));
    }
    const auto seconds = std::chrono::duration<double>(clock::now() - start).count();
    result.bytesPerJob = (bytes() - before - result.idleBytesPerSecond * seconds) / jobs;
}

cluster_settings settingsFor(const user& who, const std::string& policy)
{
    cluster_settings settings { .entries = 2, .workersPerDomain = { 4, 4, 3 } };
    settings.entryFlags = { "--policy", policy };
    settings.configuration = exampleConfiguration(settings);
    for (auto& domain : settings.configuration["failure_domains"])
        domain["memory_gb_per_worker"] = who.memoryGbPerWorker;
    return settings;
}

measured measure(const user& who, const std::string& policy, std::uint64_t seed, unsigned jobs)
{
    measured result;
    {
        cluster system(settingsFor(who, policy));
        measureRegions(system, result);
        measureJobBytes(system, result);
        measureCompletion(system, who, seed, jobs, result);
    }
    {
        cluster system(settingsFor(who, policy));
        measureDomainOut(system, result);
    }
    {
        cluster system(settingsFor(who, policy));
        measureReclaim(system, 30, result);
    }
    return result;
}

void print(const user& who, const measured& guarantee, const measured& firstFit)
{
    std::printf("\n%s: 11 workers of %u GB\n%-52s %12s %12s\n", who.name.c_str(), who.memoryGbPerWorker, "",
        "guarantee", "first-fit");
    const auto row = [](const char* what, double left, double right) {
        std::printf("%-52s %12.2f %12.2f\n", what, left, right);
    };
    const auto spread = [&](const std::string& what, const std::vector<double>& left, const std::vector<double>& right) {
        row((what + ", mean ms").c_str(), mean(left), mean(right));
        row((what + ", p99 ms").c_str(), quantile(left, 0.99), quantile(right, 0.99));
    };
    spread("small jobs, completion", guarantee.smallMs, firstFit.smallMs);
    spread("gangs, completion", guarantee.gangMs, firstFit.gangMs);
    spread("gangs of 8, wait", guarantee.gang8WaitMs, firstFit.gang8WaitMs);
    spread("gangs of 16, wait", guarantee.gang16WaitMs, firstFit.gang16WaitMs);
    spread("short requests without jobs", guarantee.requestMs, firstFit.requestMs);
    spread("short requests under the flood of jobs", guarantee.requestFloodMs, firstFit.requestFloodMs);
    row("jobs not finished", guarantee.unfinished, firstFit.unfinished);
    row("share of time with room for unused guarantees, idle", guarantee.freeShape, firstFit.freeShape);
    row("work with a domain out / capacity left", guarantee.workOutShare, firstFit.workOutShare);
    row("time back to full use, ms", guarantee.backMs, firstFit.backMs);
    row("reclaim of a guaranteed worker, p50 ms", quantile(guarantee.reclaimMs, 0.5), quantile(firstFit.reclaimMs, 0.5));
    row("reclaim of a guaranteed worker, p99 ms", quantile(guarantee.reclaimMs, 0.99),
        quantile(firstFit.reclaimMs, 0.99));
    row("reclaims that did not start in 5 s", guarantee.notReclaimed, firstFit.notReclaimed);
    row("entry-agent bytes per request", guarantee.bytesPerRequest, firstFit.bytesPerRequest);
    row("control bytes per job of 8, all links", guarantee.bytesPerJob, firstFit.bytesPerJob);
    row("idle control bytes per second, all links", guarantee.idleBytesPerSecond, firstFit.idleBytesPerSecond);
    row("share of requests that left their region", guarantee.abroadShare, firstFit.abroadShare);
}

void plot(const std::string& path, const measured& guarantee, const measured& firstFit)
{
    constexpr unsigned width = 760;
    constexpr unsigned height = 300;
    constexpr double accelerators = 88;
    std::ofstream file(path);
    file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height + 40 << "\">\n"
         << "<text x=\"10\" y=\"20\">Busy accelerators of 88 while a failure domain goes out and returns, 100 ms steps"
         << " (blue: guarantee, red: first-fit)</text>\n";
    const auto line = [&](const std::vector<double>& values, const char* colour) {
        file << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
        for (std::size_t i = 0; i < values.size(); ++i)
            file << static_cast<double>(i) * width / static_cast<double>(values.size()) << ","
                 << 30 + height * (1 - values[i] / accelerators) << " ";
        file << "\"/>\n";
    };
    line(guarantee.busy, "blue");
    line(firstFit.busy, "red");
    file << "</svg>\n";
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures the guarantee policy against first-fit with real processes.");
    std::uint64_t seed = 20261204;
    unsigned jobs = 160;
    std::string directory = "build";
    std::string only;
    app.add_option("--user", only, "measure only this user's size: sloupek or trust");
    app.add_option("--seed", seed, "seed of the work");
    app.add_option("--jobs", jobs, "jobs of the completion run");
    app.add_option("--directory", directory, "where the plots go");
    CLI11_PARSE(app, argc, argv);
    try {
        for (const auto& who : { user { "sloupek", 512, 1ms }, user { "trust", 256, 3ms } }) {
            if (!only.empty() && only != who.name)
                continue;
            const auto guarantee = measure(who, "guarantee", seed, jobs);
            const auto firstFit = measure(who, "first-fit", seed, jobs);
            print(who, guarantee, firstFit);
            const auto path = directory + "/policy-" + who.name + ".svg";
            plot(path, guarantee, firstFit);
            std::printf("plot: %s\n", path.c_str());
        }
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
