#include <oriole/core/run_time_estimate.hpp>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace std::chrono_literals;

TEST_CASE("the declared run time is used while few runs are known")
{
    run_time_estimate estimate;
    for (unsigned run = 0; run < 4; ++run)
        estimate.addRun(100ms, 200ms);
    REQUIRE(estimate.correct(1000ms) == 1000ms);
}

TEST_CASE("declarations that are wrong by a constant factor are corrected by it")
{
    run_time_estimate estimate;
    for (unsigned run = 0; run < 64; ++run)
        estimate.addRun((100 + 100 * (run % 10)) * 1ms, (200 + 200 * (run % 10)) * 1ms);
    for (const auto declared : { 100ms, 500ms, 2000ms }) {
        REQUIRE(estimate.correct(declared) > declared * 19 / 10);
        REQUIRE(estimate.correct(declared) < declared * 21 / 10);
    }
}

TEST_CASE("declarations that do not correlate with the run time have little effect")
{
    run_time_estimate estimate;
    for (unsigned run = 0; run < 64; ++run)
        estimate.addRun(run % 2 == 0 ? 100ms : 10000ms, run % 4 < 2 ? 900ms : 1100ms);
    REQUIRE(estimate.correct(100ms) > 800ms);
    REQUIRE(estimate.correct(10000ms) < 1500ms);
}
