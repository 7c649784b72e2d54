#include <oriole/entry/scheduler_pacer.hpp>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace std::chrono_literals;

TEST_CASE("the core runs when something changed, and else at a coarse period")
{
    const time_point start { 1h };
    scheduler_pacer pacer;
    REQUIRE(pacer.due(start, 0));
    pacer.ran(start, 0, false);
    REQUIRE_FALSE(pacer.due(start + 999ms, 0));
    REQUIRE(pacer.due(start + 1000ms, 0));
    REQUIRE_FALSE(pacer.due(start + 240ms, 1));
    REQUIRE(pacer.due(start + 250ms, 1));
    pacer.changed();
    REQUIRE(pacer.due(start + 20ms, 0));
}

TEST_CASE("the core runs on while its searches do not reach all waiting jobs, or it still decides")
{
    const time_point start { 1h };
    scheduler_pacer pacer;
    pacer.ran(start, 100, false);
    REQUIRE(pacer.due(start + 20ms, 100));
    pacer.ran(start + 20ms, 100, false);
    REQUIRE(pacer.due(start + 40ms, 100));
    pacer.ran(start + 40ms, 100, false);
    REQUIRE_FALSE(pacer.due(start + 60ms, 100));

    pacer.changed();
    pacer.ran(start + 60ms, 0, true);
    REQUIRE(pacer.due(start + 80ms, 0));
}

TEST_CASE("the core runs at each turn while a back-off may end")
{
    const time_point start { 1h };
    scheduler_pacer pacer;
    pacer.backedOff(start);
    pacer.ran(start, 1, false);
    REQUIRE(pacer.due(start + 20ms, 1));
    REQUIRE_FALSE(pacer.due(start + 20ms, 0));
    pacer.ran(start + 3000ms, 1, false);
    REQUIRE_FALSE(pacer.due(start + 3020ms, 1));
}
