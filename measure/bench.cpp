/// @file
/// @brief Measures latency, throughput and the cost of idle processes; prints a table. No verdict.
#include "harness/cluster.hpp"
#include "harness/statistics.hpp"

#include <CLI/CLI.hpp>

#include <atomic>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

struct load_result {
    std::vector<double> latenciesMs;
    unsigned failed = 0;
    double perSecond = 0;
};

/// @brief Calls @p peers in turn from @p callers threads, each starting a call every @p interval (0: at once).
load_result drive(const std::vector<endpoint>& peers, const std::string& path, unsigned callers,
    std::chrono::microseconds interval, std::chrono::milliseconds duration)
{
    load_result result;
    std::mutex mutex;
    std::vector<std::thread> threads;
    const auto begin = clock_type::now();
    for (unsigned caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            std::vector<double> latencies;
            unsigned failed = 0;
            auto next = begin + interval * caller / callers;
            for (std::size_t number = caller; clock_type::now() - begin < duration; ++number) {
                std::this_thread::sleep_until(next);
                next += interval;
                const auto sent = clock_type::now();
                const auto reply = call(peers[number % peers.size()], "POST", path, "{}");
                const std::chrono::duration<double, std::milli> taken = clock_type::now() - sent;
                if (reply.status == 200)
                    latencies.push_back(taken.count());
                else
                    ++failed;
            }
            const std::lock_guard lock(mutex);
            result.latenciesMs.insert(result.latenciesMs.end(), latencies.begin(), latencies.end());
            result.failed += failed;
        });
    }
    for (auto& thread : threads)
        thread.join();
    const std::chrono::duration<double> taken = clock_type::now() - begin;
    result.perSecond = static_cast<double>(result.latenciesMs.size()) / taken.count();
    return result;
}

void printLatency(const char* what, const load_result& result)
{
    std::printf("%-34s %8.0f /s  p50 %7.2f ms  p99 %7.2f ms  failed %u\n", what, result.perSecond,
        quantile(result.latenciesMs, 0.5), quantile(result.latenciesMs, 0.99), result.failed);
}

/// @param rate Calls per second of the comparison; 0 for half of what one entry can take.
void measureRequests(const cluster& system, std::chrono::milliseconds duration, unsigned rate)
{
    constexpr unsigned callers = 16;
    const std::string path = "/v1/organisations/alpha/requests/column";
    std::vector<endpoint> backends;
    for (const auto& agent : system.agents)
        backends.push_back(agent.backend);
    const std::vector<endpoint> entry { system.entries[0].http };

    const auto saturated = drive(entry, path, callers, 0us, duration);
    printLatency("one entry, saturated", saturated);
    const double wanted = rate > 0 ? rate : saturated.perSecond / 2;
    const std::chrono::microseconds interval(static_cast<long>(callers * 1e6 / wanted));
    const auto direct = drive(backends, "/requests/column", callers, interval, duration);
    const auto through = drive(entry, path, callers, interval, duration);
    printLatency("backend server directly", direct);
    printLatency("through the entry", through);
    std::printf("%-34s p50 %+7.2f ms  p99 %+7.2f ms\n", "added by entry and agent",
        quantile(through.latenciesMs, 0.5) - quantile(direct.latenciesMs, 0.5),
        quantile(through.latenciesMs, 0.99) - quantile(direct.latenciesMs, 0.99));
}

struct process_use {
    std::chrono::milliseconds processor { 0 };
    unsigned long residentKib = 0;
};

process_use use(const process& subject)
{
    return { processorTime(subject.pid()), residentKib(subject.pid()) };
}

void measureIdle(const cluster& system, std::chrono::seconds duration)
{
    std::this_thread::sleep_for(2s);
    const auto agentBefore = use(*system.agents[0].process);
    const auto entryBefore = use(*system.entries[0].process);
    const auto countersBefore = system.storeCounters();
    std::uint64_t bytes = 0;
    const auto linkBytes = [&] {
        std::uint64_t sum = 0;
        for (const auto& entry : system.entries)
            sum += entry.rpcLink->bytesToTarget() + entry.rpcLink->bytesToClient();
        return sum;
    };
    bytes = linkBytes();
    std::this_thread::sleep_for(duration);
    bytes = linkBytes() - bytes;
    const auto agentAfter = use(*system.agents[0].process);
    const auto entryAfter = use(*system.entries[0].process);
    const auto countersAfter = system.storeCounters();

    const auto seconds = static_cast<double>(duration.count());
    const auto share = [&](const process_use& before, const process_use& after) {
        return static_cast<double>((after.processor - before.processor).count()) / (seconds * 1000) * 100;
    };
    const auto rate = [&](const char* name) {
        return (countersAfter.value(name, 0.0) - countersBefore.value(name, 0.0)) / seconds
            / static_cast<double>(system.entries.size());
    };
    constexpr double kibibyte = 1024;
    std::printf("idle agent: %.2f %% of a core, %.1f MiB resident\n", share(agentBefore, agentAfter),
        static_cast<double>(agentAfter.residentKib) / kibibyte);
    std::printf("idle entry: %.2f %% of a core, %.1f MiB resident\n", share(entryBefore, entryAfter),
        static_cast<double>(entryAfter.residentKib) / kibibyte);
    std::printf("control traffic to and from all entries: %.2f KB/s; per agent with %zu entries: %.2f KB/s\n",
        static_cast<double>(bytes) / seconds / 1000, system.entries.size(),
        static_cast<double>(bytes) / seconds / 1000 / static_cast<double>(system.agents.size()));
    std::printf("store calls per entry and second: reads %.2f, writes %.2f, lease calls %.2f\n", rate("reads"),
        rate("writes"), rate("lease_calls"));
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures requests through one entry and the cost of idle processes.");
    unsigned seconds = 5;
    unsigned workers = 1;
    unsigned rate = 0;
    app.add_option("--rate", rate, "calls per second of the comparison with direct calls; 0: half of the saturated rate");
    app.add_option("--seconds", seconds, "length of each measurement");
    app.add_option("--workers", workers, "workers per failure domain");
    CLI11_PARSE(app, argc, argv);
    try {
        cluster system({ .entries = 2, .workersPerDomain = { workers, workers, workers } });
        measureRequests(system, std::chrono::seconds(seconds), rate);
        measureIdle(system, std::chrono::seconds(seconds * 2));
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
