/// @file
/// @brief Measures what entries, agents and the store spend per agent, per job and per configuration change.

#include "harness/cluster.hpp"
#include "harness/statistics.hpp"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdio>
#include <iostream>
#include <set>
#include <string>
#include <thread>
#include <utility>

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;

namespace {

constexpr auto window = 8s;

/// @brief Sums over all processes of one role.
struct usage {
    double processorMs = 0;
    double residentMib = 0;
};

template <typename Nodes>
usage usageOf(const Nodes& nodes)
{
    constexpr double kibPerMib = 1024;
    usage sum;
    for (const auto& node : nodes) {
        sum.processorMs += static_cast<double>(processorTime(node.process->pid()).count());
        sum.residentMib += static_cast<double>(residentKib(node.process->pid())) / kibPerMib;
    }
    return sum;
}

std::uint64_t entryBytes(const cluster& all)
{
    std::uint64_t bytes = 0;
    for (const auto& entry : all.entries)
        bytes += entry.rpcLink->bytesToTarget() + entry.rpcLink->bytesToClient();
    return bytes;
}

std::uint64_t storeCalls(const cluster& all)
{
    std::uint64_t calls = 0;
    for (std::size_t i = 0; i < all.entries.size(); ++i)
        calls += all.get(i, "/v1/status").body["store"]["calls"].get<std::uint64_t>();
    return calls;
}

cluster_settings sized(unsigned entries, unsigned workers)
{
    constexpr unsigned domains = 3;
    cluster_settings settings;
    settings.entries = entries;
    settings.workersPerDomain.assign(domains, workers / domains);
    return settings;
}

/// @brief An idle system: slopes per agent.
void measureIdle(unsigned entries, unsigned workers)
{
    cluster all(sized(entries, workers));
    std::this_thread::sleep_for(2s);
    const auto entriesBefore = usageOf(all.entries);
    const auto agentsBefore = usageOf(all.agents);
    const auto bytesBefore = entryBytes(all);
    const auto callsBefore = storeCalls(all);
    std::this_thread::sleep_for(window);
    const auto entriesAfter = usageOf(all.entries);
    const auto agentsAfter = usageOf(all.agents);
    const auto bytes = entryBytes(all) - bytesBefore;
    const auto calls = storeCalls(all) - callsBefore;

    const double seconds = std::chrono::duration<double>(window).count();
    const auto coreShare = [&](double milliseconds, unsigned count) { return milliseconds / 10 / seconds / count; };
    std::printf("%7u %7zu %13.2f %10.1f %13.2f %10.1f %17.0f %15.2f\n", entries, all.agents.size(),
        coreShare(entriesAfter.processorMs - entriesBefore.processorMs, entries), entriesAfter.residentMib / entries,
        coreShare(agentsAfter.processorMs - agentsBefore.processorMs, static_cast<unsigned>(all.agents.size())),
        agentsAfter.residentMib / static_cast<double>(all.agents.size()),
        static_cast<double>(bytes) / seconds / static_cast<double>(all.agents.size()),
        static_cast<double>(calls) / seconds / entries);
}

/// @brief Jobs that wait in one page: slopes per job.
void measureJobs(unsigned jobs)
{
    cluster all(sized(1, 3));
    const auto before = usageOf(all.entries);
    const auto callsBefore = storeCalls(all);
    const auto started = std::chrono::steady_clock::now();
    std::vector<std::thread> callers;
    constexpr unsigned callerCount = 8;
    for (unsigned caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&all, jobs] {
            // The whole fleet is taken by the first ones; the rest waits.
            for (unsigned i = 0; i < jobs / callerCount; ++i)
                all.submitJob(0, "gamma", gangJob(8, "worker", 600000));
        });
    }
    for (auto& caller : callers)
        caller.join();
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    const auto accepted = usageOf(all.entries);
    const auto calls = storeCalls(all) - callsBefore;
    std::this_thread::sleep_for(window);
    const auto idle = usageOf(all.entries);
    std::printf("%7u %13.0f %15.2f %17.2f %14.2f %15.2f\n", jobs, jobs / seconds, static_cast<double>(calls) / jobs,
        (accepted.processorMs - before.processorMs) / jobs, (accepted.residentMib - before.residentMib) * 1024 / jobs,
        (idle.processorMs - accepted.processorMs) / 10 / std::chrono::duration<double>(window).count());
}

/// @brief Configuration changes: bytes and time until in force everywhere.
void measureChanges(unsigned workers, unsigned changes)
{
    const auto settings = sized(3, workers);
    cluster all(settings);
    auto document = exampleConfiguration(settings);
    const auto bytesBefore = entryBytes(all);
    std::vector<double> spread;
    for (unsigned change = 0; change < changes; ++change) {
        document["organisations"][0]["weight"] = 1 + change % 5;
        const auto started = std::chrono::steady_clock::now();
        all.applyConfiguration(0, document);
        all.waitInForce(all.agents.size());
        spread.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - started).count());
    }
    std::printf("%7zu %10u %14.0f %13.0f %23.0f\n", all.agents.size(), changes, quantile(spread, 0.5),
        quantile(spread, 1.0), static_cast<double>(entryBytes(all) - bytesBefore) / changes / all.agents.size());
}

/// @brief Submits a job and waits for its first task.
/// @return The time that it took, in milliseconds, and the job.
std::pair<double, std::string> start(const cluster& all, const std::string& organisation, const json& job)
{
    const auto begin = std::chrono::steady_clock::now();
    const std::string id = all.submitJob(0, organisation, job).body.at("job");
    while (all.runtimeEvents("start", id).empty())
        std::this_thread::sleep_for(2ms);
    return { std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count(), id };
}

/// @brief Time from the call to the first task of an urgent job, on a free worker or by eviction.
void measureStarts(const char* where, unsigned rounds, bool full)
{
    cluster all(sized(1, 3));
    auto borrowed = gangJob(8, "worker", 600000);
    borrowed["payload"] = json { { "standin_never_ends", true } }.dump();
    for (std::size_t i = 0; full && i < all.agents.size(); ++i)
        start(all, "gamma", borrowed);
    auto urgent = gangJob(8, "worker", 100);
    urgent["class"] = "urgent";
    std::vector<double> taken;
    for (unsigned round = 0; round < rounds; ++round) {
        std::this_thread::sleep_for(1500ms); // Until the evicted job runs again, and all is at rest.
        const auto [milliseconds, id] = start(all, "alpha", urgent);
        all.waitJob(0, "alpha", id);
        taken.push_back(milliseconds);
    }
    std::printf("%-16s %6u %8.0f %11.0f\n", where, rounds, quantile(taken, 0.5), quantile(taken, 1.0));
}

void measureStartTimes()
{
    constexpr unsigned rounds = 20;
    std::puts("\nfrom the call to the first task of an urgent job, 1 entry, 3 workers");
    std::puts("where            rounds   p50 ms  slowest ms");
    measureStarts("free worker", rounds, false);
    measureStarts("by eviction", rounds, true);
}

void measureIdleSizes()
{
    std::puts("idle: share of a core in %, memory in MiB, bytes of RPC per agent and second, store calls per entry and second");
    std::puts("entries  agents  entry core %  entry MiB  agent core %  agent MiB  RPC B/s per agent  store calls/s");
    for (const auto workers : { 3U, 12U, 24U, 48U })
        measureIdle(3, workers);
    for (const auto entries : { 1U, 2U, 4U, 6U })
        measureIdle(entries, 12);
}

void measureJobSizes()
{
    std::puts("\njobs that wait in one page of one entry");
    std::puts("   jobs  accepted/s  store calls/job  entry ms of core/job  entry KiB/job  core % at rest");
    for (const auto jobs : { 96U, 384U, 1200U })
        measureJobs(jobs);
}

void measureChangeSizes()
{
    std::puts("\nconfiguration changes, 3 entries");
    std::puts(" agents    changes  in force p50 ms  slowest ms  RPC bytes per agent and change");
    for (const auto workers : { 3U, 12U, 24U })
        measureChanges(workers, 10);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures what entries, agents and the store spend per agent, per job and per configuration change.");
    std::set<std::string> parts { "idle", "jobs", "starts", "changes" };
    app.add_option("--parts", parts, "which of idle, jobs, starts, changes to measure; all by default")->delimiter(',');
    CLI11_PARSE(app, argc, argv);
    try {
        if (parts.contains("idle"))
            measureIdleSizes();
        if (parts.contains("jobs"))
            measureJobSizes();
        if (parts.contains("starts"))
            measureStartTimes();
        if (parts.contains("changes"))
            measureChangeSizes();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
