/// @file
/// @brief Replays a drawn load against the core of libfleet and prints decision times and what callers received.
#include "fleet/load_replay.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace fleet::test;

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(static_cast<double>(values.size() - 1) * share)];
}

void print(unsigned workers, double factor, const replay_outcome& outcome)
{
    std::printf("%7u %5.2f %8zu %9.2f %9.2f %9.3f %9.3f %7.3f %8u %9.0f", workers, factor, outcome.mostWaitingTasks,
        percentile(outcome.decisionMs, 0.5), percentile(outcome.decisionMs, 0.99), percentile(outcome.reportMs, 0.5),
        percentile(outcome.reportMs, 0.99), outcome.worth(), outcome.evictedRuns, outcome.lostCoreSeconds);
    for (const auto& [name, queue] : outcome.queues)
        std::printf("  %s %u/%u/%u", name.c_str(), queue.inTime, queue.late, queue.jobs);
    std::printf("\n");
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Decision times of libfleet's core by size, and what callers received");
    std::vector<unsigned> workers { 11, 75, 160, 500, 2000 };
    std::vector<double> factors { 1.0, 1.6 };
    std::uint64_t seed = 1;
    app.add_option("--workers", workers, "Sizes of the fleet")->capture_default_str();
    app.add_option("--load", factors, "Load by that of the deployment of 160 workers")->capture_default_str();
    app.add_option("--seed", seed, "Seed of the drawn load")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    // Times in milliseconds of processor time, lost work in core-seconds.
    std::printf("workers  load  waiting  dec. p50  dec. p99  rep. p50  rep. p99   worth  evicted  lost c-s  in time/late/jobs\n");
    for (const auto size : workers) {
        for (const auto factor : factors) {
            auto load = largeLoad(size, factor);
            load.seed = seed;
            print(size, factor, replay(load));
        }
    }
    return 0;
}
