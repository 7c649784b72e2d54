#include "load_replay.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <string>

using namespace fleet::test;

// The users' target for days with trouble on hundreds of workers.
constexpr double targetWorth = 0.54;

TEST_CASE("the load of hundreds of workers with bursts of urgent gangs and batch steps is served", "[replay]")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        auto load = largeLoad(160, 1.6);
        load.seed = seed;
        const auto outcome = replay(load);
        INFO("seed " << seed);
        CHECK(outcome.worth() >= targetWorth);
        // Urgent work comes first, and what waits behind it still runs.
        CHECK(outcome.queues.at("check").inTime * 2 >= outcome.queues.at("check").jobs);
        CHECK(outcome.queues.at("bundle").inTime > 0);
        CHECK(outcome.queues.at("sweep").inTime > 0);
        CHECK(outcome.lostCoreSeconds <= outcome.usedCoreSeconds * 0.05);
    }
}

TEST_CASE("a replay of the same load makes the same decisions", "[replay]")
{
    auto load = largeLoad(24, 1.5);
    load.arrivals = std::chrono::milliseconds(12'000);
    CHECK(replay(load).digest == replay(load).digest);
    load.seed = 2;
    CHECK(replay(load).digest != replay(largeLoad(24, 1.5)).digest);
}

namespace {

void print(const std::string& name, std::uint64_t seed, const replay_outcome& outcome)
{
    organisation_outcome small;
    for (std::size_t i = outcome.organisations.size() / 2; i < outcome.organisations.size(); ++i) {
        small.jobs += outcome.organisations[i].jobs;
        small.waitedMs += outcome.organisations[i].waitedMs;
    }
    std::cout << name << " seed " << seed << " worth " << outcome.worth() << " lost " << std::llround(outcome.lostCoreSeconds) << " used "
              << std::llround(outcome.usedCoreSeconds) << " evicted " << outcome.evictedRuns << " digest " << outcome.digest;
    for (const auto& [queue, result] : outcome.queues)
        std::cout << " | " << queue << ' ' << result.inTime << '+' << result.late << '/' << result.jobs;
    std::cout << " | wait ms first " << std::llround(outcome.organisations.front().meanWaitMs()) << " small "
              << std::llround(small.meanWaitMs()) << " | longest decision ms "
              << *std::max_element(outcome.decisionMs.begin(), outcome.decisionMs.end()) << '\n';
}

void printAll(const std::string& name, replay_load load)
{
    for (const std::uint64_t seed : { 1, 2, 3, 4, 5, 6 }) {
        load.seed = seed;
        print(name, seed, replay(load));
    }
}

} // namespace

// Prints figures to compare revisions with; it checks nothing and runs only on request.
TEST_CASE("figures of the replays", "[.replay-figures]")
{
    printAll("large 1.0", largeLoad(160, 1));
    printAll("large 1.6", largeLoad(160, 1.6));
    printAll("skewed 1.0", skewedLoad(1));
    printAll("skewed 1.4", skewedLoad(1.4));
    printAll("skewed 1.8", skewedLoad(1.8));
    printAll("narrow 1.0", narrowLoad(1));
    printAll("narrow 1.4", narrowLoad(1.4));
    printAll("narrow 1.8", narrowLoad(1.8));
}

// Guards against callers that are served worse, or work that is lost, because workers leave at short notice.
TEST_CASE("a load is served while workers leave at notices of 1.6 to 4 s", "[replay][draining]")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        auto load = mediumLoad(1);
        load.seed = seed;
        load.departures.count = 20;
        load.departures.maxSurplus = std::chrono::milliseconds(2000);
        const auto outcome = replay(load);
        INFO("seed " << seed);
        CHECK(outcome.worth() >= targetWorth);
        CHECK(outcome.departureStops > 0);
        // Nearly all runs end, move or save their progress before their worker is gone.
        CHECK(outcome.runsLostWithWorker * 10 <= outcome.departureStops);
    }
}
