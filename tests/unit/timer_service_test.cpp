#include <oriole/helpers/timer_service.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

TEST_CASE("a periodic subscriber that was missed several times is called once")
{
    const oriole::time_point start {};
    oriole::timer_service timers(start);
    int calls = 0;
    const auto id = timers.subscribeEvery(10ms, [&](auto) { ++calls; });

    timers.advance(start + 35ms);
    REQUIRE(calls == 1);
    timers.advance(start + 45ms);
    REQUIRE(calls == 2);

    timers.cancel(id);
    timers.advance(start + 100ms);
    REQUIRE(calls == 2);
}
