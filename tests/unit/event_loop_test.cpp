#include <oriole/helpers/event_loop.hpp>

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <stdexcept>
#include <vector>

using oriole::event_loop;
using oriole::milliseconds;
using oriole::time_point;

namespace {

long sleeps()
{
    rusage usage {};
    getrusage(RUSAGE_THREAD, &usage);
    return usage.ru_nvcsw;
}

time_point present()
{
    return std::chrono::steady_clock::now();
}

void pass(event_loop& loop, milliseconds time)
{
    loop.after(time).wait(loop.io().waitScope);
}

} // namespace

TEST_CASE("a loop sleeps until its next timer is due", "[event-loop]")
{
    event_loop loop;
    unsigned fired = 0;
    loop.timers().subscribeEvery(milliseconds(100), [&](time_point) { ++fired; });
    const auto before = sleeps();
    pass(loop, milliseconds(450));
    CHECK(fired >= 3);
    // Four timers, the end, and some for the machine's own doing; a tick of 5 ms would be ninety.
    CHECK(sleeps() - before < 20);
}

TEST_CASE("a timer fires once its delay has passed, also one set while the loop slept", "[event-loop]")
{
    event_loop loop;
    std::vector<std::pair<int, milliseconds>> fired;
    const auto set = [&](int name, milliseconds delay) {
        loop.timers().subscribeOnce(delay, [&fired, name, began = present()](time_point) {
            fired.emplace_back(name, std::chrono::duration_cast<milliseconds>(present() - began));
        });
    };
    set(1, milliseconds(300));
    pass(loop, milliseconds(60));
    // The loop has slept since its start: these count from now, and come before the one it sleeps for.
    set(2, milliseconds(80));
    set(3, milliseconds(40));
    pass(loop, milliseconds(400));
    REQUIRE(fired.size() == 3);
    CHECK(fired[0].first == 3);
    CHECK(fired[1].first == 2);
    CHECK(fired[2].first == 1);
    const std::vector<std::int64_t> delays { 40, 80, 300 };
    for (unsigned i = 0; i < 3; ++i) {
        CHECK(fired[i].second.count() >= delays[i]);
        CHECK(fired[i].second.count() < delays[i] + 200);
    }
}

TEST_CASE("timers set, cancelled and set again by a handler", "[event-loop]")
{
    event_loop loop;
    unsigned fired = 0;
    std::function<void()> again = [&] {
        loop.timers().subscribeOnce(milliseconds(5), [&](time_point) {
            ++fired;
            const auto cancelled = loop.timers().subscribeOnce(milliseconds(1), [&](time_point) { fired += 1000; });
            loop.timers().cancel(cancelled);
            again();
        });
    };
    again();
    pass(loop, milliseconds(200));
    CHECK(fired >= 10);
    CHECK(fired <= 40);
}

// The timers of a process are driven by one chain of promises, which ended with the first exception of a handler.
TEST_CASE("an error in one timer's handler stops neither the other timers nor its own next call", "[event-loop]")
{
    event_loop loop;
    unsigned failed = 0;
    unsigned fired = 0;
    loop.timers().subscribeEvery(milliseconds(20), [&](time_point) {
        ++failed;
        throw std::runtime_error("test");
    });
    loop.timers().subscribeEvery(milliseconds(20), [&](time_point) { ++fired; });
    pass(loop, milliseconds(200));
    CHECK(failed >= 3);
    CHECK(fired >= 3);
}
