#include "core_fixture.hpp"

#include <catch2/catch.hpp>

using namespace fleet;
using namespace fleet::test;

namespace {

const std::string dataRack = "r1";

/// @brief A scheduler with workers in the rack of the data and elsewhere, whose clock the test moves.
struct near_data_fixture : core_fixture {
    near_data_fixture()
    {
        for (const auto* name : { "near-1", "near-2" })
            report(name, workerReport(dataRack));
        for (const auto* name : { "far-1", "far-2", "far-3" })
            report(name, workerReport("r2"));
    }

    accepted_job nearJob(const std::string& id, std::int64_t runTimeMs, std::int64_t accelerators = 8)
    {
        auto task = step(1, accelerators, runTimeMs);
        task.affinityRack = dataRack;
        return job(id, "batch", { task });
    }

    /// @brief Lets the scheduler decide for a while.
    /// @return The workers on which something was started, in order.
    std::vector<std::string> startsWithin(int ms)
    {
        std::vector<std::string> workers;
        for (int passed = 0; passed <= ms; passed += 100) {
            const auto unixMs = std::chrono::duration_cast<milliseconds>(now - start).count();
            for (const auto& entry : only<start_effect>(core.decide(now, unixMs))) {
                core.startAccepted(entry.run, now);
                workers.push_back(entry.worker);
            }
            now += milliseconds(100);
        }
        return workers;
    }

    void loseNearWorkers()
    {
        auto lost = workerReport(dataRack);
        lost.responsive = false;
        lost.gone = true;
        for (const auto* name : { "near-1", "near-2" })
            core.applyReport(name, lost, now);
    }

    void occupyNearWorkers()
    {
        for (const auto* id : { "x", "y" }) {
            auto held = nearJob(id, 4000);
            held.spec.steps[0].lasting = true;
            add(held);
        }
        REQUIRE(startsWithin(0).size() == 2);
    }
};

} // namespace

// Guards against a scheduled job that never runs again once the rack of its data is lost (review/10).
TEST_CASE("occurrences that fall due do not begin the wait of earlier ones anew", "[core][near-data]")
{
    near_data_fixture fixture;
    auto scheduled = fixture.nearJob("a", 3000, 1);
    scheduled.spec.repeatCount = 40;
    scheduled.spec.intervalMs = 500;
    fixture.loseNearWorkers();
    fixture.add(scheduled);
    CHECK(fixture.startsWithin(900).empty());
    CHECK(fixture.startsWithin(3000).size() >= 5);
}

// Guards against the same by runs of the job that end.
TEST_CASE("the end of a run does not begin the wait of other tasks anew", "[core][near-data]")
{
    near_data_fixture fixture;
    auto wide = fixture.nearJob("a", 3000, 8);
    wide.spec.steps[0].count = 8;
    fixture.add(wide);
    REQUIRE(fixture.startsWithin(0).size() == 2);
    std::size_t elsewhere = 0;
    for (int turn = 0; turn < 8; ++turn) {
        for (const auto& worker : fixture.startsWithin(400))
            elsewhere += worker.starts_with("far") ? 1 : 0;
        for (const auto& [id, run] : std::map(fixture.core.state().runs)) {
            if (run.worker == "near-1")
                fixture.end("near-1", workerReport(dataRack), id, run_outcome::Failed);
        }
    }
    CHECK(elsewhere > 0);
}

// Guards against a wait for workers that can't take the task, however long its run time is.
TEST_CASE("a rack whose workers can't take a task is waited for only briefly", "[core][near-data]")
{
    near_data_fixture fixture;
    SECTION("they are lost") { fixture.loseNearWorkers(); }
    SECTION("they drain")
    {
        auto leaving = workerReport(dataRack);
        leaving.worker.draining = true;
        leaving.worker.drainRemainingMs = 60'000;
        fixture.report("near-1", leaving);
        fixture.report("near-2", leaving);
    }
    SECTION("their failure domain is out")
    {
        auto elsewhere = workerReport(dataRack);
        elsewhere.worker.failureDomain = "domain-b";
        fixture.report("near-1", elsewhere);
        fixture.report("near-2", elsewhere);
        fixture.core.setDomainsOut({ "domain-b" });
    }
    SECTION("they serve another service")
    {
        auto other = workerReport(dataRack);
        other.worker.service = "other";
        fixture.report("near-1", other);
        fixture.report("near-2", other);
    }
    SECTION("they are too small")
    {
        fixture.report("near-1", workerReport(dataRack, 1));
        fixture.report("near-2", workerReport(dataRack, 1));
    }
    fixture.startsWithin(5000);
    fixture.add(fixture.nearJob("a", 600'000));
    CHECK(fixture.startsWithin(900).empty());
    CHECK(fixture.startsWithin(600).size() == 1);
}

TEST_CASE("a task waits for room near its data, but not for as long as its run time may be", "[core][near-data]")
{
    near_data_fixture fixture;
    fixture.occupyNearWorkers();
    SECTION("most of the service is idle: it starts within the 3 s that the platform allows")
    {
        fixture.add(fixture.nearJob("a", 600'000));
        CHECK(fixture.startsWithin(1900).empty());
        CHECK(fixture.startsWithin(700) == std::vector<std::string> { "far-1" });
    }
    SECTION("the service is busy: room elsewhere is given only after a longer wait")
    {
        auto other = step(2, 8);
        other.need.millicores = 128'000;
        other.lasting = true;
        fixture.add(job("b", "batch", { other }));
        REQUIRE(fixture.startsWithin(0).size() == 2);
        fixture.add(fixture.nearJob("a", 600'000));
        CHECK(fixture.startsWithin(11'000).empty());
        CHECK(fixture.startsWithin(2000).size() == 1);
    }
    SECTION("a short task waits no longer than its run elsewhere would cost")
    {
        fixture.add(fixture.nearJob("a", 500));
        CHECK(fixture.startsWithin(900).empty());
        CHECK(fixture.startsWithin(300).size() == 1);
    }
}

// Guards against a gang that a new scheduler spreads over racks because it has not heard of all workers yet.
TEST_CASE("a new scheduler waits for the workers near the data to be reported", "[core][near-data]")
{
    core_fixture fixture;
    fixture.report("far-1", workerReport("r2"));
    auto task = step(1, 8, 600'000);
    task.affinityRack = dataRack;
    fixture.core.addJob(job("a", "batch", { task }), {}, fixture.now - milliseconds(60'000), fixture.now);
    CHECK(core_fixture::only<start_effect>(fixture.decide()).empty());
    fixture.now += milliseconds(700);
    fixture.report("near-1", workerReport(dataRack));
    const auto starts = core_fixture::only<start_effect>(fixture.decide());
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].worker == "near-1");
}
