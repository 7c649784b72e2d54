#include "../store/fake_store.hpp"

#include <oriole/agent/entry_finder.hpp>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace std::chrono_literals;

TEST_CASE("the store is read only while no entry is connected, with increasing back-off")
{
    timer_service timers { time_point {} + 1h };
    test::fake_keys keys;
    test::fake_store store(keys);
    control_store controlStore(store, "env");
    controlStore.announceEntry({ "e1", "127.0.0.1:1", "r1" }, 0, [](const auto&) {});
    store.stepAll();

    unsigned connected = 0;
    unsigned found = 0;
    entry_finder finder(
        timers, store, "env", 0ms, 1, [&] { return connected; },
        [&](const std::vector<entry_address>& entries) {
            REQUIRE(entries.size() == 1);
            REQUIRE(entries[0].rpc == "127.0.0.1:1");
            ++found;
        });
    const auto advanceTime = [&](milliseconds duration) {
        for (auto passed = 0ms; passed < duration; passed += 100ms) {
            timers.advance(timers.now() + 100ms);
            store.stepAll();
        }
    };

    advanceTime(100ms);
    REQUIRE(found == 1);

    connected = 1;
    advanceTime(60s);
    REQUIRE(found == 1);

    connected = 0;
    advanceTime(60s);
    REQUIRE(found > 4);
    REQUIRE(found < 20);

    const auto before = found;
    store.faults = [] { return test::fake_fault::NotSent; };
    advanceTime(60s);
    REQUIRE(found == before);
    store.faults = [] { return test::fake_fault::None; };
    advanceTime(20s);
    REQUIRE(found > before);
}
