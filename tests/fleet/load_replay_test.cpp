#include "load_replay.hpp"

#include <catch2/catch.hpp>

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
