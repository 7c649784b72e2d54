/// @file
/// @brief What happens to runs on leaving workers.
#include "core_fixture.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace fleet;
using namespace fleet::test;
using namespace std::chrono_literals;

namespace {

worker_report leaving(milliseconds notice)
{
    auto report = workerReport("r1");
    report.worker.draining = true;
    report.worker.drainRemainingMs = notice.count();
    return report;
}

/// @brief One worker with runs that leaves while others may have room.
class leaving_fixture : public core_fixture {
public:
    leaving_fixture() { report("w1", workerReport("r1")); }

    std::size_t stopsAfter(milliseconds time)
    {
        now += time;
        return only<stop_effect>(decide()).size();
    }

    void place(const accepted_job& what)
    {
        add(what);
        REQUIRE(!only<start_effect>(decide()).empty());
    }
};

step_spec saving(step_spec from)
{
    from.checkpointing = true;
    return from;
}

} // namespace

// Guards against work that is discarded although nothing else has room for it.
TEST_CASE("a run that finds no other place continues on a worker that leaves", "[draining]")
{
    leaving_fixture fixture;
    fixture.place(job("a", "batch", { step(1, 8, 20'000) }));
    fixture.report("w1", leaving(2000ms));
    for (int i = 0; i < 12; ++i)
        CHECK(fixture.stopsAfter(200ms) == 0);
    const auto decisions = fixture.core.takeDepartures();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].choice == departure_choice::Continues);
    CHECK(decisions[0].searched);
}

// Guards against stopping all runs of a worker when there is room for some of them.
TEST_CASE("only as many runs are restarted as find a place, and the place is kept for them", "[draining]")
{
    leaving_fixture fixture;
    fixture.place(job("a", "batch", { step(2, 4, 20'000) }));
    fixture.report("w2", workerReport("r1", 4));
    fixture.report("w1", leaving(2000ms));
    const auto stops = core_fixture::only<stop_effect>(fixture.decide());
    REQUIRE(stops.size() == 1);
    CHECK(fixture.core.state().reservations.size() == 1);
    // A job that arrives before the stop has ended does not take the place.
    fixture.add(job("b", "batch", { step(1, 4, 100) }));
    CHECK(core_fixture::only<start_effect>(fixture.decide()).empty());
    fixture.now += 200ms;
    fixture.end("w1", leaving(2000ms), stops[0].run, run_outcome::Stopped);
    const auto starts = core_fixture::only<start_effect>(fixture.decide());
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task == stops[0].run.task);
    CHECK(starts[0].worker == "w2");
}

// Guards against batch work that takes the only place before urgent work on the same worker.
TEST_CASE("urgent work on a leaving worker gets a place first", "[draining]")
{
    leaving_fixture fixture;
    fixture.place(job("a-batch", "batch", { step(1, 4, 20'000) }));
    fixture.place(job("b-urgent", "urgent", { step(1, 4, 20'000) }));
    fixture.report("w2", workerReport("r1", 4));
    fixture.report("w1", leaving(2000ms));
    const auto stops = core_fixture::only<stop_effect>(fixture.decide());
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run.task.job == "b-urgent");
}

// Guards against a gang that is stopped and then can't start, because the room of its own members was not counted.
TEST_CASE("a gang moves as a whole into the room of its members that stay and one more place", "[draining]")
{
    leaving_fixture fixture;
    fixture.report("w2", workerReport("r1"));
    auto gang = step(2, 8, 20'000);
    gang.gang = true;
    fixture.place(job("a", "batch", { gang }));
    fixture.report("w1", leaving(2000ms));
    CHECK(fixture.stopsAfter(0ms) == 0);
    fixture.report("w3", workerReport("r1"));
    CHECK(fixture.stopsAfter(500ms) == 2);
    const auto held = fixture.core.state().reservations.at({ "a", 0, 0, 0 }).workers;
    CHECK(std::set<std::string>(held.begin(), held.end()) == std::set<std::string> { "w2", "w3" });
}

// Guards against stops that follow from a notice which the worker has taken back.
TEST_CASE("nothing is stopped on a worker that says that it leaves and then does not", "[draining]")
{
    leaving_fixture fixture;
    fixture.report("w2", workerReport("r1"));
    fixture.place(job("a", "batch", { saving(step(1, 8, 20'000)) }));
    fixture.report("w1", leaving(4000ms));
    CHECK(fixture.stopsAfter(1000ms) == 0);
    fixture.report("w1", workerReport("r1"));
    CHECK_FALSE(fixture.core.state().workers.at("w1").drainDeadline);
    CHECK(fixture.stopsAfter(5000ms) == 0);
}

// Guards against a deadline that repeated reports of the same notice move into the future.
TEST_CASE("a notice counts from its first report, and a changed one moves the deadline", "[draining]")
{
    leaving_fixture fixture;
    const auto deadline = [&] { return *fixture.core.state().workers.at("w1").drainDeadline - fixture.now; };
    fixture.report("w1", leaving(4000ms));
    fixture.now += 1000ms;
    fixture.report("w1", leaving(4000ms));
    CHECK(deadline() == 3000ms);
    fixture.report("w1", leaving(2500ms));
    CHECK(deadline() == 2500ms);
    fixture.report("w1", leaving(3500ms));
    CHECK(deadline() == 3500ms);
}

// Guards against orders to an agent that can't be reached, and against losing the notice meanwhile.
TEST_CASE("a run is stopped once the agent of its leaving worker can be reached again", "[draining]")
{
    leaving_fixture fixture;
    fixture.place(job("a", "batch", { saving(step(1, 8, 20'000)) }));
    fixture.report("w1", leaving(2000ms));
    fixture.core.setUnreachable("w1");
    CHECK(fixture.stopsAfter(1500ms) == 0);
    fixture.report("w1", leaving(2000ms));
    CHECK(fixture.stopsAfter(0ms) == 1);
}

// Guards against a checkpoint that is not made because the notice had expired when it arrived.
TEST_CASE("a run that saves its progress is stopped at once if the notice is already past", "[draining]")
{
    leaving_fixture fixture;
    fixture.place(job("a", "batch", { saving(step(1, 8, 20'000)) }));
    fixture.report("w1", leaving(0ms));
    CHECK(fixture.stopsAfter(0ms) == 1);
}

// Guards against a restart of a run that would have ended while its worker still served.
TEST_CASE("a run that may end while its worker still serves is restarted only if that is expected to be sooner", "[draining]")
{
    const auto limits = deriveLimits({});
    departing_unit unit;
    unit.timeLeft = 2000ms;
    unit.restartTime = 10'000ms;
    unit.remaining = 2300ms;
    CHECK(chooseDeparture(unit, limits) == departure_choice::Continues);
    unit.remaining = 9000ms;
    CHECK(chooseDeparture(unit, limits) == departure_choice::Restarts);
    CHECK_FALSE(gainsByRestart(unit, 3, limits));
    rc::prop("a longer remaining time never speaks against a restart", [&] {
        departing_unit drawn;
        drawn.timeLeft = milliseconds(*rc::gen::inRange(-2000, 5000));
        drawn.restartTime = milliseconds(*rc::gen::inRange(100, 20'000));
        drawn.remaining = milliseconds(*rc::gen::inRange(0, 20'000));
        const bool restarts = gainsByRestart(drawn, 1, limits);
        drawn.remaining += milliseconds(*rc::gen::inRange(0, 20'000));
        RC_ASSERT(!restarts || gainsByRestart(drawn, 1, limits));
    });
}
