#include "core_fixture.hpp"

#include <catch2/catch.hpp>

using namespace fleet;
using namespace fleet::test;

TEST_CASE("a take-over keeps recorded runs of the worker's current incarnation", "[core][take-over]")
{
    core_fixture first;
    first.report("w1", workerReport("r1"));
    first.add(job("a", "batch", { step(1, 2) }));
    first.decide();
    const auto progress = first.core.findJob("a")->progress;
    REQUIRE(progress.occurrences.at(0).steps.at(0).at(0).status == task_status::Live);

    core_fixture next;
    next.add(job("a", "batch", { step(1, 2) }), progress);
    SECTION("the run is reported active: it continues")
    {
        auto report = workerReport("r1");
        report.active.push_back({ { { "a", 0, 0, 0 }, 1 }, {}, 10 });
        next.core.applyReport("w1", report, next.now);
        CHECK(next.decide().empty());
        CHECK(next.core.state().runs.size() == 1);
    }
    SECTION("the end of the run is reported: the job is completed and nothing is restarted")
    {
        next.end("w1", workerReport("r1"), { { "a", 0, 0, 0 }, 1 }, run_outcome::Done);
        CHECK(next.decide().empty());
        CHECK(next.core.findJob("a")->progress.state == job_state::Completed);
    }
    // Guards against a second run of tasks that had ended: a worker lists 500 ends at a time.
    SECTION("the worker's list of ends is truncated: nothing is known of the run until the list is whole")
    {
        auto report = workerReport("r1");
        report.endsTruncated = true;
        next.core.applyReport("w1", report, next.now);
        CHECK(next.decide().empty());
        next.now += milliseconds(5000);
        next.core.applyReport("w1", report, next.now);
        CHECK(next.decide().empty());
        next.end("w1", workerReport("r1"), { { "a", 0, 0, 0 }, 1 }, run_outcome::Done);
        CHECK(next.decide().empty());
        CHECK(next.core.findJob("a")->progress.state == job_state::Completed);
    }
    SECTION("the run is not reported: its start is ordered again, as the same attempt on the same worker")
    {
        next.core.applyReport("w1", workerReport("r1"), next.now);
        const auto effects = next.core.decide(next.now, 0);
        REQUIRE(effects.size() == 1);
        const auto& order = std::get<start_effect>(effects[0]);
        CHECK(order.run.attempt == 1);
        CHECK(order.worker == "w1");
        CHECK(order.isRecorded);
        CHECK(next.core.takeChangedJobs().empty());
        SECTION("it is ordered once")
        {
            next.core.applyReport("w1", workerReport("r1"), next.now);
            CHECK(next.core.decide(next.now, 0).empty());
        }
        SECTION("it is refused, as when the run ended there: it is stopped there before the next attempt starts")
        {
            next.core.startRefused(order.run, false, next.now);
            const auto after = next.core.decide(next.now, 0);
            REQUIRE(after.size() == 1);
            CHECK(std::get<stop_effect>(after[0]).run.attempt == 1);
            next.core.confirmRunAbsent(order.run, next.now);
            const auto starts = core_fixture::only<start_effect>(next.decide());
            REQUIRE(starts.size() == 1);
            CHECK(starts[0].run.attempt == 2);
            CHECK_FALSE(starts[0].isRecorded);
        }
        SECTION("the answer to the order is lost and the worker does not list the run: it is stopped there")
        {
            next.core.markStartUnconfirmed(order.run);
            next.core.applyReport("w1", workerReport("r1"), next.now);
            CHECK(core_fixture::only<stop_effect>(next.core.decide(next.now, 0)).size() == 1);
        }
    }
    SECTION("the run is not reported and may not start there any more: it is stopped there")
    {
        auto report = workerReport("r1");
        SECTION("the job was cancelled") { next.core.cancelJob("a"); }
        SECTION("the worker drains") { report.worker.draining = true; }
        SECTION("the failure domain is out") { next.core.setDomainsOut({ "domain-a" }); }
        next.core.applyReport("w1", report, next.now);
        const auto effects = next.decide();
        REQUIRE(effects.size() == 1);
        CHECK(std::get<stop_effect>(effects[0]).run.attempt == 1);
    }
    SECTION("the worker has a new incarnation: the run is lost and the next attempt starts")
    {
        auto report = workerReport("r1", 8, "another");
        SECTION("its lease has expired") { }
        // Guards against a second run beside the first: an answer of another incarnation does not show that the earlier one ended.
        SECTION("nothing starts while its lease may last")
        {
            report.othersMayRun = true;
            for (int i = 0; i < 10; ++i) {
                next.now += milliseconds(1000);
                next.core.applyReport("w1", report, next.now);
                CHECK(next.decide().empty());
            }
            REQUIRE(next.core.state().runs.size() == 1);
            report.othersMayRun = false;
            CHECK(next.core.canChangeDecision("w1", report));
        }
        next.core.applyReport("w1", report, next.now);
        const auto starts = core_fixture::only<start_effect>(next.decide());
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run.attempt == 2);
        const auto losses = next.core.takeLosses();
        REQUIRE(losses.size() == 1);
        CHECK(losses[0].reason == loss_reason::OtherIncarnation);
        CHECK(losses[0].run.attempt == 1);
    }
    // A start order to the earlier incarnation may reach the later one, which has the same id.
    SECTION("the worker was started again under the same id")
    {
        auto report = workerReport("r1");
        report.worker.incarnation.startedUnixMs = 2;
        SECTION("it does not list the run, which is stopped there before the next attempt starts")
        {
            next.core.applyReport("w1", report, next.now);
            const auto effects = next.decide();
            REQUIRE(effects.size() == 1);
            CHECK(std::get<stop_effect>(effects[0]).run.attempt == 1);
            next.core.confirmRunAbsent({ { "a", 0, 0, 0 }, 1 }, next.now);
            const auto starts = core_fixture::only<start_effect>(next.decide());
            REQUIRE(starts.size() == 1);
            CHECK(starts[0].run.attempt == 2);
        }
        SECTION("it runs it: the run goes on")
        {
            report.active.push_back({ { { "a", 0, 0, 0 }, 1 }, {}, 10 });
            next.core.applyReport("w1", report, next.now);
            CHECK(next.decide().empty());
            CHECK(next.core.state().runs.size() == 1);
        }
    }
}

TEST_CASE("runs that may go on on an earlier incarnation take no room on the present one", "[core][lost-worker]")
{
    core_fixture fixture;
    fixture.report("w1", workerReport("r1"));
    fixture.add(job("a", "batch", { step(1, 8) }));
    REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 1);
    fixture.add(job("b", "batch", { step(1, 8) }));
    REQUIRE(fixture.decide().empty());
    auto later = workerReport("r1", 8, "another");
    later.othersMayRun = true;
    fixture.core.applyReport("w1", later, fixture.now);
    const auto starts = core_fixture::only<start_effect>(fixture.decide());
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task.job == "b");
    CHECK(fixture.core.state().runs.size() == 2);
    SECTION("the run is lost once its lease has expired")
    {
        later.othersMayRun = false;
        later.active.push_back({ starts[0].run, {}, 5 });
        fixture.core.applyReport("w1", later, fixture.now);
        REQUIRE(fixture.core.state().runs.size() == 1);
        CHECK(fixture.core.state().workers.at("w1").used.accelerators == 8);
    }
    SECTION("the earlier incarnation is present again: its run takes its room again")
    {
        auto earlier = workerReport("r1");
        earlier.othersMayRun = true;
        earlier.active.push_back({ { { "a", 0, 0, 0 }, 1 }, {}, 5 });
        fixture.core.applyReport("w1", earlier, fixture.now);
        CHECK(fixture.core.state().workers.at("w1").used.accelerators == 8);
        CHECK(fixture.core.state().runs.at({ { "a", 0, 0, 0 }, 1 }).need.accelerators == 8);
    }
}

// Guards against a start after an end as done that was acknowledged: the end of a run that counted as lost was ignored.
TEST_CASE("a task whose lost run is listed as done is not started again", "[core][lost-worker]")
{
    core_fixture fixture;
    const bool isGang = GENERATE(false, true);
    auto only = step(1, 2);
    only.gang = isGang;
    fixture.report("w1", workerReport("r1"));
    fixture.add(job("a", "batch", { only }));
    REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 1);
    fixture.core.markWorkerLost("w1", fixture.now);
    const run_id first { { "a", 0, 0, 0 }, 1 };
    SECTION("before its next attempt was placed")
    {
        fixture.core.takeChangedJobs();
        fixture.end("w1", workerReport("r1"), first, run_outcome::Done);
        CHECK(fixture.core.takeChangedJobs().contains("a"));
        CHECK(fixture.decide().empty());
        CHECK(fixture.core.findJob("a")->progress.state == job_state::Completed);
    }
    SECTION("after that the next attempt goes on")
    {
        REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 1);
        fixture.end("w1", workerReport("r1"), first, run_outcome::Done);
        CHECK(fixture.core.findJob("a")->progress.state == job_state::Running);
        CHECK(fixture.core.state().runs.size() == 1);
    }
    SECTION("another outcome changes nothing")
    {
        fixture.end("w1", workerReport("r1"), first, run_outcome::Stopped);
        CHECK(core_fixture::only<start_effect>(fixture.decide()).size() == 1);
    }
}

// Each holder of the record stopped what the one before it had recorded and not ordered, and placed it anew. Holders that
// changed every 2 s never got to the orders.
TEST_CASE("after a take-over a gang that was recorded and not ordered starts as a whole", "[core][take-over][gang]")
{
    auto gang = step(2, 8);
    gang.gang = true;
    core_fixture first;
    first.report("w1", workerReport("r1"));
    first.report("w2", workerReport("r1"));
    first.add(job("a", "batch", { gang }));
    REQUIRE(core_fixture::only<start_effect>(first.decide()).size() == 2);

    core_fixture next;
    next.add(job("a", "batch", { gang }), first.core.findJob("a")->progress);
    next.core.applyReport("w1", workerReport("r1"), next.now);
    // It is not known yet whether the other member runs.
    CHECK(next.core.decide(next.now, 0).empty());
    const auto memberOn = [&](const std::string& worker) {
        for (const auto& [id, run] : next.core.state().runs) {
            if (run.worker == worker)
                return id;
        }
        return run_id {};
    };
    SECTION("neither member was ordered: both are")
    {
        next.core.applyReport("w2", workerReport("r1"), next.now);
        const auto starts = core_fixture::only<start_effect>(next.core.decide(next.now, 0));
        REQUIRE(starts.size() == 2);
        CHECK(starts[0].run.attempt == 1);
        CHECK(starts[1].run.attempt == 1);
    }
    SECTION("the other member waits at its worker: the missing one is ordered")
    {
        auto report = workerReport("r1");
        report.active.push_back({ memberOn("w2"), {}, 0 });
        next.core.applyReport("w2", report, next.now);
        const auto starts = core_fixture::only<start_effect>(next.core.decide(next.now, 0));
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].worker == "w1");
    }
    SECTION("the other worker does not report in time: the member here is stopped")
    {
        next.now += milliseconds(1500);
        const auto stops = core_fixture::only<stop_effect>(next.core.decide(next.now, 0));
        REQUIRE(stops.size() == 1);
        CHECK(stops[0].worker == "w1");
    }
}

TEST_CASE("all tasks of a gang start together or none does", "[core][gang]")
{
    core_fixture fixture;
    fixture.report("w1", workerReport("r1", 4));
    auto gang = step(2, 3);
    gang.gang = true;
    fixture.add(job("a", "batch", { gang }));
    CHECK(fixture.decide().empty());
    fixture.report("w2", workerReport("r1", 4));
    CHECK(core_fixture::only<start_effect>(fixture.decide()).size() == 2);

    SECTION("if a member ends the others are stopped, and all restart together")
    {
        fixture.end("w1", workerReport("r1", 4), { { "a", 0, 0, 0 }, 1 }, run_outcome::Lost);
        const auto stops = core_fixture::only<stop_effect>(fixture.decide());
        REQUIRE(stops.size() == 1);
        fixture.end("w2", workerReport("r1", 4), { { "a", 0, 0, 1 }, 1 }, run_outcome::Stopped);
        const auto starts = core_fixture::only<start_effect>(fixture.decide());
        REQUIRE(starts.size() == 2);
        CHECK(starts[0].run.attempt == 2);
        CHECK(starts[1].run.attempt == 2);
    }
    SECTION("one member reported as done completes the gang")
    {
        fixture.end("w1", workerReport("r1", 4), { { "a", 0, 0, 0 }, 1 }, run_outcome::Done);
        CHECK(fixture.core.findJob("a")->progress.state == job_state::Completed);
        fixture.end("w2", workerReport("r1", 4), { { "a", 0, 0, 1 }, 1 }, run_outcome::Lost);
        CHECK(fixture.decide().empty());
    }
    SECTION("members that fail in the same attempt count as one failure")
    {
        fixture.end("w1", workerReport("r1", 4), { { "a", 0, 0, 0 }, 1 }, run_outcome::Failed);
        fixture.end("w2", workerReport("r1", 4), { { "a", 0, 0, 1 }, 1 }, run_outcome::Failed);
        CHECK(fixture.core.findJob("a")->progress.occurrences[0].steps[0][0].failures == 1);
    }
}

TEST_CASE("a step starts only after the steps it depends on are done", "[core]")
{
    core_fixture fixture;
    fixture.report("w1", workerReport("r1"));
    auto second = step(1, 1);
    second.after = { 0 };
    fixture.add(job("a", "batch", { step(2, 1), second }));
    CHECK(core_fixture::only<start_effect>(fixture.decide()).size() == 2);
    fixture.end("w1", workerReport("r1"), { { "a", 0, 0, 0 }, 1 }, run_outcome::Done);
    CHECK(core_fixture::only<start_effect>(fixture.decide()).empty());
    fixture.end("w1", workerReport("r1"), { { "a", 0, 0, 1 }, 1 }, run_outcome::Done);
    CHECK(core_fixture::only<start_effect>(fixture.decide()).size() == 1);
}

TEST_CASE("urgent work evicts batch work when no resources are free", "[core][eviction]")
{
    core_fixture fixture;
    fixture.report("w1", workerReport("r1"));
    fixture.add(job("batch", "batch", { step(1, 8) }));
    fixture.decide();
    fixture.add(job("urgent", "urgent", { step(1, 8) }));
    const auto stops = core_fixture::only<stop_effect>(fixture.decide());
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run.task.job == "batch");
    fixture.end("w1", workerReport("r1"), stops[0].run, run_outcome::Stopped);
    const auto starts = core_fixture::only<start_effect>(fixture.decide());
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.task.job == "urgent");
}

TEST_CASE("a job fails only after all of its attempts have failed", "[core]")
{
    core_fixture fixture;
    for (const auto* name : { "w1", "w2", "w3", "w4" })
        fixture.report(name, workerReport("r1"));
    fixture.add(job("a", "batch", { step(1, 1) }));
    for (unsigned attempt = 1; attempt <= 3; ++attempt) {
        const auto starts = core_fixture::only<start_effect>(fixture.decide());
        REQUIRE(starts.size() == 1);
        CHECK(fixture.core.findJob("a")->progress.state == job_state::Running);
        fixture.end(starts[0].worker, workerReport("r1"), starts[0].run, run_outcome::Failed);
    }
    CHECK(fixture.core.findJob("a")->progress.state == job_state::Failed);
    CHECK(fixture.decide().empty());
}

TEST_CASE("a cancelled job is stopped and not restarted", "[core]")
{
    core_fixture fixture;
    fixture.report("w1", workerReport("r1"));
    fixture.add(job("a", "batch", { step(1, 1) }));
    fixture.decide();
    fixture.core.cancelJob("a");
    CHECK(core_fixture::only<stop_effect>(fixture.decide()).size() == 1);
    fixture.core.confirmRunAbsent({ { "a", 0, 0, 0 }, 1 }, fixture.now);
    CHECK(fixture.decide().empty());
    CHECK(fixture.core.findJob("a")->progress.state == job_state::Cancelled);
}

TEST_CASE("nothing starts on draining workers or in a failure domain that is out", "[core]")
{
    core_fixture fixture;
    auto leaving = workerReport("r1");
    leaving.worker.draining = true;
    fixture.report("w1", leaving);
    fixture.report("w2", workerReport("r1"));
    fixture.core.setDomainsOut({ "domain-a" });
    fixture.add(job("a", "batch", { step(1, 1) }));
    CHECK(fixture.decide().empty());
    fixture.core.setDomainsOut({});
    const auto starts = core_fixture::only<start_effect>(fixture.decide());
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].worker == "w2");
}

namespace {

/// @brief Advances the time in steps of half a second and returns all stops. @p percentOf returns a run's progress to report.
template <typename PercentOf>
std::vector<stop_effect> passTime(
    core_fixture& fixture, const std::vector<std::string>& workers, double seconds, PercentOf percentOf)
{
    std::vector<stop_effect> stops;
    const auto end = fixture.now + milliseconds(static_cast<std::int64_t>(seconds * 1000));
    while (fixture.now < end) {
        fixture.now += milliseconds(500);
        for (const auto& worker : workers) {
            auto report = workerReport("r1");
            for (const auto& [id, run] : fixture.core.state().runs) {
                if (run.worker == worker)
                    report.active.push_back({ id, {}, percentOf(run) });
            }
            fixture.core.applyReport(worker, report, fixture.now);
        }
        for (auto& order : core_fixture::only<stop_effect>(fixture.decide()))
            stops.push_back(order);
    }
    return stops;
}

double secondsSince(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

TEST_CASE("a gang member that has finished and waits for the others does not count as stalled", "[core][stragglers]")
{
    core_fixture fixture;
    for (const auto* name : { "w1", "w2", "w3", "w4" })
        fixture.report(name, workerReport("r1"));
    auto gang = step(2, 8, 8000);
    gang.gang = true;
    fixture.add(job("a", "batch", { gang }));
    REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 2);
    const auto began = fixture.now;
    const auto stops = passTime(fixture, { "w1", "w2", "w3", "w4" }, 14, [&](const live_run& run) {
        const double rate = run.id.task.index == 0 ? 14 : 7;
        return std::min(100.0, secondsSince(began, fixture.now) * rate);
    });
    CHECK(stops.empty());
}

TEST_CASE("runs that all take twice the estimate continue, one that is slow or stalled on its worker is stopped",
    "[core][stragglers]")
{
    core_fixture fixture;
    for (const auto* name : { "w1", "w2", "w3" })
        fixture.report(name, workerReport("r1"));
    fixture.add(job("a", "batch", { step(2, 8, 4000) }));
    REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 2);
    const auto began = fixture.now;
    SECTION("both take twice the estimated time")
    {
        CHECK(passTime(fixture, { "w1", "w2", "w3" }, 8, [&](const live_run&) {
            return std::min(99.0, secondsSince(began, fixture.now) * 12);
        }).empty());
    }
    SECTION("one takes six times as long as the other")
    {
        const auto stops = passTime(fixture, { "w1", "w2", "w3" }, 3, [&](const live_run& run) {
            return std::min(99.0, secondsSince(began, fixture.now) * (run.id.task.index == 0 ? 24 : 4));
        });
        REQUIRE(stops.size() == 1);
        CHECK(stops[0].run.task.index == 1);
    }
    SECTION("one makes no progress")
    {
        const auto stops = passTime(fixture, { "w1", "w2", "w3" }, 4, [&](const live_run& run) {
            return run.id.task.index == 0 ? std::min(99.0, secondsSince(began, fixture.now) * 24) : 3.0;
        });
        REQUIRE(stops.size() == 1);
        CHECK(stops[0].run.task.index == 1);
    }
}

// A gang of 19 whose estimate was a sixth of its run time was restarted seven times, each time because another member was taken
// as slow, though all members progressed alike on 19 workers.
TEST_CASE("a gang is not restarted as slow while its members progress alike, and once at most", "[core][stragglers][gang]")
{
    core_fixture fixture;
    const std::vector<std::string> workers { "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9", "wa", "wb", "wc" };
    for (const auto& name : workers)
        fixture.report(name, workerReport("r1"));
    auto gang = step(4, 8, 1600);
    gang.gang = true;
    fixture.add(job("a", "batch", { gang }));
    REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 4);
    const auto began = fixture.now;
    SECTION("all members take seven times the estimate, give or take a fifth")
    {
        CHECK(passTime(fixture, workers, 10, [&](const live_run& run) {
            return std::min(99.0, secondsSince(began, fixture.now) * (7.1 + 0.6 * run.id.task.index));
        }).empty());
    }
    SECTION("one member is slow, and after the restart another one")
    {
        const auto isSlowMember = [](const live_run& run) { return run.id.task.index == run.id.attempt; };
        const auto percentOf = [&](const live_run& run) {
            return std::min(99.0, secondsSince(run.placedAt, fixture.now) * (isSlowMember(run) ? 1 : 9));
        };
        const auto stops = passTime(fixture, workers, 4, percentOf);
        REQUIRE(stops.size() == 4);
        for (const auto& order : stops)
            fixture.core.confirmRunAbsent(order.run, fixture.now);
        REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 4);
        CHECK(passTime(fixture, workers, 8, percentOf).empty());
    }
}

TEST_CASE("a long task on a healthy worker is not stopped, tasks on a slow worker are", "[core][stragglers]")
{
    core_fixture fixture;
    for (const auto* name : { "w1", "w2", "w3" })
        fixture.report(name, workerReport("r1"));
    fixture.add(job("a", "batch", { step(8, 2, 4000) }));
    REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 8);
    const auto began = fixture.now;
    SECTION("one of four tasks on a worker takes four times as long as the others")
    {
        CHECK(passTime(fixture, { "w1", "w2", "w3" }, 3.5, [&](const live_run& run) {
            return std::min(99.0, secondsSince(began, fixture.now) * (run.id.task.index == 0 ? 6 : 24));
        }).empty());
    }
    SECTION("all tasks on one worker take four times as long")
    {
        const auto slowWorker = fixture.core.state().runs.begin()->second.worker;
        const auto stops = passTime(fixture, { "w1", "w2", "w3" }, 3.5, [&](const live_run& run) {
            return std::min(99.0, secondsSince(began, fixture.now) * (run.worker == slowWorker ? 6 : 24));
        });
        CHECK(stops.size() == 4);
    }
}

TEST_CASE("work waits for the rack of its data for at most the time that running elsewhere would cost", "[core][placement]")
{
    core_fixture fixture;
    fixture.report("w1", workerReport("r1"));
    fixture.report("w2", workerReport("r2"));
    fixture.add(job("holds", "urgent", { step(1, 8, 60'000) }));
    const auto first = core_fixture::only<start_effect>(fixture.decide());
    REQUIRE(first.size() == 1);
    const auto rack = first[0].worker == "w1" ? "r1" : "r2";
    auto near = step(1, 8, 4000);
    near.affinityRack = rack;
    fixture.add(job("waits", "urgent", { near }));
    CHECK(core_fixture::only<start_effect>(fixture.decide()).empty());
    const auto startsAfter = [&](std::int64_t ms) {
        fixture.now = start + milliseconds(ms);
        fixture.report("w1", workerReport("r1"));
        fixture.report("w2", workerReport("r2"));
        return core_fixture::only<start_effect>(fixture.decide());
    };
    SECTION("two run times, since a task takes three times as long away from its data")
    {
        CHECK(startsAfter(7900).empty());
        const auto starts = startsAfter(8100);
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].slowdown == 3);
    }
    SECTION("less within a guarantee, since the work has to start within 2.7 s")
    {
        auto rules = fixture.core.state().rules;
        rules.organisations = { { "o", {}, 8 } };
        fixture.core.configure(rules);
        auto guaranteed = job("guaranteed", "urgent", { near });
        guaranteed.organisation = "o";
        fixture.add(guaranteed);
        CHECK(core_fixture::only<start_effect>(fixture.decide()).empty());
        // Each decision evaluates guarantees by the state before that decision.
        CHECK(startsAfter(1900).empty());
        const auto starts = startsAfter(2100);
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run.task.job == "guaranteed");
    }
}

TEST_CASE("a gang leaves a draining worker that its slowest member will outlive, though the member there has finished", "[core][gang]")
{
    core_fixture fixture;
    for (const auto* name : { "w1", "w2" })
        fixture.report(name, workerReport("r1"));
    auto gang = step(2, 8, 8000);
    gang.gang = true;
    fixture.add(job("a", "batch", { gang }));
    REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 2);
    // Room for the member that leaves; a gang that finds no place continues.
    fixture.report("w3", workerReport("r1"));
    const auto began = fixture.now;
    const auto percentOf = [&](const live_run& run) {
        return std::min(100.0, secondsSince(began, fixture.now) * (run.id.task.index == 0 ? 25 : 8));
    };
    REQUIRE(passTime(fixture, { "w1", "w2", "w3" }, 4.5, percentOf).empty());
    const auto& finished = fixture.core.state().runs.at({ { "a", 0, 0, 0 }, 1 });
    REQUIRE(finished.percent == 100);
    auto leaving = workerReport("r1");
    leaving.worker.draining = true;
    leaving.worker.drainRemainingMs = 3000;
    fixture.report(finished.worker, leaving);
    CHECK(core_fixture::only<stop_effect>(fixture.decide()).size() == 2);
}

TEST_CASE("the progress jump of a run that resumes from a checkpoint does not count as speed", "[core][stragglers]")
{
    core_fixture fixture;
    for (const auto* name : { "w1", "w2", "w3" })
        fixture.report(name, workerReport("r1"));
    auto saving = step(2, 8, 8000);
    saving.checkpointing = true;
    fixture.add(job("a", "batch", { saving }));
    REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 2);
    const auto began = fixture.now;
    const auto stops = passTime(fixture, { "w1", "w2", "w3" }, 9, [&](const live_run& run) {
        const double seconds = secondsSince(began, fixture.now);
        // The first run reports the progress of its checkpoint only after half a second.
        const double saved = run.id.task.index == 0 && seconds > 0.6 ? 60 : 0;
        return std::min(100.0, saved + seconds * 10);
    });
    CHECK(stops.empty());
}

TEST_CASE("a unit is evicted for urgent work twice, then only for a guarantee", "[core][eviction]")
{
    core_fixture fixture;
    const auto worker = workerReport("r1");
    fixture.report("w1", worker);
    fixture.add(job("batch", "batch", { step(1, 8) }));
    for (int round = 0; round < 2; ++round) {
        fixture.decide();
        const auto name = "urgent" + std::to_string(round);
        fixture.add(job(name, "urgent", { step(1, 8) }));
        const auto stops = core_fixture::only<stop_effect>(fixture.decide());
        REQUIRE(stops.size() == 1);
        fixture.end("w1", worker, stops[0].run, run_outcome::Stopped);
        const auto starts = core_fixture::only<start_effect>(fixture.decide());
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run.task.job == name);
        fixture.end("w1", worker, starts[0].run, run_outcome::Done);
    }
    fixture.decide();
    auto late = job("urgent2", "urgent", { step(1, 8) });
    late.organisation = "holder";
    fixture.add(late);
    SECTION("without a guarantee it is not evicted")
    {
        CHECK(fixture.decide().empty());
    }
    SECTION("a guarantee evicts it")
    {
        auto rules = fixture.core.state().rules;
        rules.organisations = { { "holder", {}, 8 } };
        fixture.core.configure(rules);
        CHECK(core_fixture::only<stop_effect>(fixture.decide()).size() == 1);
    }
}

TEST_CASE("a run with a slow record write is not counted as missing by reports from before its start", "[core]")
{
    core_fixture fixture;
    fixture.report("w1", workerReport("r1"));
    fixture.add(job("a", "batch", { step(1, 1) }));
    const auto starts = core_fixture::only<start_effect>(fixture.core.decide(fixture.now, 0));
    REQUIRE(starts.size() == 1);
    for (int i = 0; i < 8; ++i) {
        fixture.now += milliseconds(500);
        fixture.core.applyReport("w1", workerReport("r1"), fixture.now);
    }
    fixture.core.startAccepted(starts[0].run, fixture.now);
    fixture.core.applyReport("w1", workerReport("r1"), fixture.now);
    CHECK(fixture.decide().empty());
}

TEST_CASE("work that is about to end is not evicted", "[core][eviction]")
{
    core_fixture fixture;
    for (const auto* name : { "w1", "w2" })
        fixture.report(name, workerReport("r1"));
    fixture.add(job("batch", "batch", { step(2, 8, 8000) }));
    fixture.decide();
    const auto began = fixture.now;
    // One run has half a second left, the other half of its work.
    passTime(fixture, { "w1", "w2" }, 6, [&](const live_run& run) {
        return secondsSince(began, fixture.now) * (run.id.task.index == 0 ? 15.5 : 8);
    });
    auto gang = step(2, 8);
    gang.gang = true;
    fixture.add(job("urgent", "urgent", { gang }));
    const auto stops = core_fixture::only<stop_effect>(fixture.decide());
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run.task.index == 1);
}

// In bursts of urgent gangs the fleet was emptied for gangs that could not meet their objective any more.
TEST_CASE("urgent work that can't meet its objective evicts nothing unless it is guaranteed", "[core][eviction]")
{
    core_fixture fixture;
    fixture.report("w1", workerReport("r1"));
    fixture.add(job("batch-job", "batch", { step(8, 1, 8000) }));
    REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 8);
    fixture.now += milliseconds(3000);
    auto urgent = job("urgent-job", "urgent", { step(1, 8, 2000) });
    urgent.organisation = "holder";
    SECTION("in time: the batch tasks give way")
    {
        fixture.core.addJob(urgent, {}, fixture.now, fixture.now);
        CHECK(core_fixture::only<stop_effect>(fixture.decide()).size() == 8);
    }
    // Half of its run time and 300 ms are to spare.
    fixture.core.addJob(urgent, {}, fixture.now - milliseconds(1400), fixture.now - milliseconds(1400));
    SECTION("too late: it waits for room")
    {
        CHECK(core_fixture::only<stop_effect>(fixture.decide()).empty());
        const auto deferrals = fixture.core.takeDeferrals();
        REQUIRE(deferrals.size() == 1);
        CHECK(deferrals[0].reason == deferral_reason::TooLate);
    }
    SECTION("too late, within a guarantee: the batch tasks give way")
    {
        configuration rules;
        rules.queues = { queue("urgent", 0, 1.5, 300), queue("batch", 2) };
        rules.organisations = { { "holder", {}, 8 } };
        fixture.core.configure(rules);
        CHECK(core_fixture::only<stop_effect>(fixture.decide()).size() == 8);
    }
}

// Wide gangs of a middle priority starved beside steps of many small tasks: each task that ended made room for another one.
TEST_CASE("room that small tasks free is collected for a gang that waits, not filled with more small tasks", "[core][gang]")
{
    core_fixture fixture;
    configuration rules;
    rules.queues = { queue("urgent", 0, 1.5, 300), queue("middle", 1, 8, 4000), queue("batch", 2) };
    fixture.core.configure(rules);
    const std::vector<std::string> workers { "w1", "w2" };
    for (const auto& name : workers)
        fixture.report(name, workerReport("r1"));
    fixture.add(job("small", "batch", { step(60, 2, 4000) }));
    REQUIRE(core_fixture::only<start_effect>(fixture.decide()).size() == 8);
    auto gang = step(2, 8, 4000);
    gang.gang = true;
    fixture.add(job("wide", "middle", { gang }));

    // The tasks end at different times, one on each worker every second.
    std::optional<time_point> startedAt;
    const auto began = fixture.now;
    while (!startedAt && fixture.now - began < milliseconds(10'000)) {
        fixture.now += milliseconds(500);
        for (const auto& worker : workers) {
            auto report = workerReport("r1");
            for (const auto& [id, run] : fixture.core.state().runs) {
                if (run.worker != worker)
                    continue;
                const double runTimeMs = 2000 + 1000 * (id.task.index % 4);
                const double percent = std::chrono::duration<double, std::milli>(fixture.now - run.placedAt).count() / runTimeMs * 100;
                if (percent >= 100)
                    report.ended.push_back({ ++fixture.endCount, id, run_outcome::Done, {} });
                else
                    report.active.push_back({ id, {}, percent });
            }
            fixture.core.applyReport(worker, report, fixture.now);
        }
        for (const auto& order : core_fixture::only<start_effect>(fixture.decide())) {
            if (order.run.task.job == "wide")
                startedAt = fixture.now;
        }
    }
    REQUIRE(startedAt);
    CHECK(*startedAt - began <= milliseconds(6000));
    // The room is kept within one decision only, so it never holds up urgent work.
    for (const auto& name : workers)
        CHECK(fixture.core.state().workers.at(name).reserved == resources {});
}

// Guards against a job that stays unfinished for good: its last attempt was kept from every worker on which it had failed.
// Guards against a gang that never runs again once it has ended done (review/14).
TEST_CASE("a gang that lasts is started again however it ends", "[core][gang][lasting]")
{
    core_fixture fixture;
    const auto worker = workerReport("r1");
    fixture.report("w1", worker);
    fixture.report("w2", worker);
    auto gang = step(2, 8);
    gang.gang = true;
    gang.lasting = true;
    fixture.add(job("a", "batch", { gang }));
    const auto how = GENERATE(run_outcome::Done, run_outcome::Failed, run_outcome::Stopped);
    for (unsigned attempt = 1; attempt <= 5; ++attempt) {
        const auto starts = core_fixture::only<start_effect>(fixture.decide());
        REQUIRE(starts.size() == 2);
        for (const auto& started : starts) {
            CHECK(started.run.attempt == attempt);
            fixture.end(started.worker, worker, started.run, how);
        }
        CHECK(fixture.core.findJob("a")->progress.state == job_state::Running);
        fixture.now += milliseconds(20'000);
    }
}

// Guards against more or fewer attempts than a job was accepted with, once the route of its queue is removed (review/8).
TEST_CASE("a job whose queue is removed keeps the terms of its acceptance", "[core][removed-queue]")
{
    core_fixture fixture;
    const auto worker = workerReport("r1");
    fixture.report("w1", worker);
    fixture.report("w2", worker);
    auto accepted = job("a", "batch", { step(1, 8) });
    const unsigned attempts = GENERATE(1U, 5U);
    accepted.terms = acceptance_terms { 2, attempts, 3, 1000 };
    fixture.add(accepted);
    auto rules = fixture.core.state().rules;
    std::erase_if(rules.queues, [](const queue_rule& rule) { return rule.name == "batch"; });
    fixture.core.configure(rules);
    CHECK(fixture.core.findJob("a")->rule.priority == 2);
    unsigned starts = 0;
    for (int turn = 0; turn < 40; ++turn) {
        fixture.now += milliseconds(1000);
        for (const auto& started : core_fixture::only<start_effect>(fixture.decide())) {
            ++starts;
            fixture.end(started.worker, worker, started.run, run_outcome::Failed);
        }
    }
    CHECK(starts == attempts);
    CHECK(fixture.core.findJob("a")->progress.state == job_state::Failed);
}

TEST_CASE("a last attempt waits for a healthy worker, but not for good", "[core][last-attempt]")
{
    core_fixture fixture;
    fixture.report("w1", workerReport("r1"));
    fixture.report("w2", workerReport("r1"));
    fixture.add(job("a", "batch", { step(1, 8) }));
    const auto placedWithin = [&](int ms) {
        for (int passed = 0; passed < ms; passed += 200) {
            fixture.now += milliseconds(200);
            if (const auto starts = core_fixture::only<start_effect>(fixture.decide()); !starts.empty())
                return starts.front().worker;
        }
        return std::string();
    };
    for (unsigned attempt = 1; attempt < 3; ++attempt) {
        const auto starts = core_fixture::only<start_effect>(fixture.decide());
        REQUIRE(starts.size() == 1);
        fixture.end(starts[0].worker, workerReport("r1"), starts[0].run, run_outcome::Failed);
    }
    SECTION("no healthy worker could run it: it starts within the 3 s that the platform allows")
    {
        CHECK(placedWithin(1800).empty());
        CHECK_FALSE(placedWithin(1200).empty());
    }
    SECTION("a healthy worker could run it and is busy: the wait for its room is longer, and ends as well")
    {
        fixture.report("w3", workerReport("r1"));
        auto lasting = step(1, 8);
        lasting.lasting = true;
        fixture.add(job("b", "urgent", { lasting }));
        REQUIRE(core_fixture::only<start_effect>(fixture.decide()).at(0).worker == "w3");
        CHECK(placedWithin(10'000).empty());
        CHECK_FALSE(placedWithin(4000).empty());
    }
    SECTION("a healthy worker becomes free: it is taken")
    {
        fixture.report("w3", workerReport("r1"));
        CHECK(placedWithin(200) == "w3");
    }
}
