#include "core_fixture.hpp"

#include <catch2/catch.hpp>

#include <bit>

using namespace oriole;
using namespace oriole::test;

TEST_CASE("policies and outcomes are converted to and from their names")
{
    REQUIRE(parsePolicy("guarantee") == policy(guarantee_policy {}));
    REQUIRE(parsePolicy("first-fit") == policy(first_fit_policy {}));
    REQUIRE_FALSE(parsePolicy("other"));
    REQUIRE(toString(policy(guarantee_policy {})) == "guarantee");
    REQUIRE(toString(job_outcome::MayHaveRun) == "may-have-run");
}

TEST_CASE("gangs are placed whole and jobs finish under both policies")
{
    for (const policy chosen : { policy(guarantee_policy {}), policy(first_fit_policy {}) }) {
        core_fixture fixture(chosen);
        fixture.addWorkers(3);

        const auto one = only<start_attempt>(fixture.submit(jobNamed("a", "one", gang(8))));
        REQUIRE(one.size() == 1);
        REQUIRE(one[0].attempt.allocations.size() == 1);
        REQUIRE(std::popcount(one[0].attempt.allocations[0].accelerators) == 8);

        const auto two = only<start_attempt>(fixture.submit(jobNamed("a", "two", gang(16, adjacency::Rack))));
        REQUIRE(two.size() == 1);
        REQUIRE(two[0].attempt.allocations.size() == 2);

        REQUIRE(only<start_attempt>(fixture.submit(jobNamed("a", "three", gang(1)))).empty());
        fixture.run(one[0].attempt.id);
        fixture.end(one[0].attempt.id, attempt_outcome::Finished);
        const auto after = fixture.tick();
        REQUIRE(only<finish_job>(after).size() == 1);
        REQUIRE(only<finish_job>(after)[0].outcome == job_outcome::Finished);
        REQUIRE(only<start_attempt>(after).size() == 1);
    }
}

TEST_CASE("a job whose attempt was refused starts again after a back-off")
{
    core_fixture fixture;
    fixture.addWorkers(1);
    const auto first = only<start_attempt>(fixture.submit(jobNamed("a", "job", gang(8))));
    fixture.end(first[0].attempt.id, attempt_outcome::Refused, false, "praha-w0");
    REQUIRE(only<start_attempt>(fixture.tick(1ms)).empty());

    fixture.apply(worker_reported { "praha-w0", {} });
    const auto second = only<start_attempt>(fixture.tick(5000ms));
    REQUIRE(second.size() == 1);
    REQUIRE(second[0].attempt.id.number == 2);
}

TEST_CASE("a stale report does not free a pending attempt")
{
    core_fixture fixture;
    fixture.addWorkers(1);
    REQUIRE(only<start_attempt>(fixture.submit(jobNamed("a", "one", gang(8)))).size() == 1);
    fixture.apply(worker_reported { "praha-w0", {} });
    REQUIRE(only<start_attempt>(fixture.submit(jobNamed("a", "two", gang(1)))).empty());
}

TEST_CASE("a shape that no worker could hold is reported as impossible")
{
    core_fixture fixture;
    REQUIRE_FALSE(fixture.core.impossible(gang(9)));
    fixture.addWorkers(3);
    REQUIRE(fixture.core.impossible(gang(9)));
    REQUIRE_FALSE(fixture.core.impossible(gang(24, adjacency::Rack)));
    REQUIRE(fixture.core.impossible(gang(25, adjacency::Rack)));
    REQUIRE(fixture.core.impossible({ 8, adjacency::Worker, 129, 1 }));
}

TEST_CASE("an unrepeatable job that may have run is not started again")
{
    core_fixture fixture;
    fixture.addWorkers(1);
    auto job = jobNamed("a", "once", gang(1));
    job.repeatable = false;
    const auto started = only<start_attempt>(fixture.submit(job));
    fixture.end(started[0].attempt.id, attempt_outcome::Lost, true);
    const auto after = fixture.tick(5000ms);
    REQUIRE(only<finish_job>(after)[0].outcome == job_outcome::MayHaveRun);
    REQUIRE(only<start_attempt>(after).empty());
}

TEST_CASE("a job that failed on three workers ends as failed")
{
    core_fixture fixture;
    fixture.addWorkers(4);
    fixture.apply(job_added { jobNamed("a", "bad", gang(8)) });
    for (int failures = 0; failures < 3; ++failures) {
        const auto started = only<start_attempt>(fixture.tick(5000ms));
        REQUIRE(started.size() == 1);
        fixture.run(started[0].attempt.id);
        fixture.end(started[0].attempt.id, attempt_outcome::Failed, true, started[0].attempt.allocations[0].worker);
    }
    REQUIRE(only<finish_job>(fixture.tick(5000ms))[0].outcome == job_outcome::Failed);
}

TEST_CASE("cancelling ends a waiting job at once and stops an active one")
{
    core_fixture fixture;
    fixture.addWorkers(1);
    const auto started = only<start_attempt>(fixture.submit(jobNamed("a", "active", gang(8))));
    fixture.submit(jobNamed("a", "waiting", gang(8)));
    fixture.apply(job_cancelled { "a", "waiting" });
    fixture.apply(job_cancelled { "a", "active" });
    const auto commands = fixture.tick();
    REQUIRE(only<finish_job>(commands).size() == 1);
    REQUIRE(only<stop_attempt>(commands).size() == 1);

    fixture.end(started[0].attempt.id, attempt_outcome::Released, true);
    REQUIRE(only<finish_job>(fixture.tick())[0].outcome == job_outcome::Cancelled);
}

TEST_CASE("a stale report does not bring back an attempt that has ended")
{
    core_fixture fixture;
    fixture.addWorkers(1);
    const auto started = only<start_attempt>(fixture.submit(jobNamed("a", "one", gang(8))));
    task_report running;
    running.attempt = started[0].attempt;
    running.phase = task_phase::Running;
    fixture.end(started[0].attempt.id, attempt_outcome::Finished);
    fixture.apply(worker_reported { "praha-w0", { running } });
    REQUIRE(only<start_attempt>(fixture.submit(jobNamed("a", "two", gang(8)))).size() == 1);
}

TEST_CASE("memory in use beyond the declared amount limits new starts")
{
    core_fixture fixture;
    fixture.addWorkers(1);
    task_report heavy;
    heavy.attempt.id = { "b", "heavy", 1 };
    heavy.attempt.allocations = { { "praha-w0", "", 1, 1, 8 } };
    heavy.phase = task_phase::Running;
    heavy.usedMemoryGb = 500;
    fixture.apply(worker_reported { "praha-w0", { heavy } });
    REQUIRE(only<start_attempt>(fixture.submit(jobNamed("a", "large", { 2, adjacency::Worker, 2, 64 }))).empty());
    REQUIRE(only<start_attempt>(fixture.submit(jobNamed("a", "small", { 2, adjacency::Worker, 2, 8 }))).size() == 1);
}

TEST_CASE("a guaranteed job evicts borrowed work from a full fleet")
{
    core_fixture fixture;
    fixture.addWorkers(1);
    fixture.addOrganisations({ { .name = "owner", .guarantees = { { gang(8), 1 } } }, { .name = "other", .guarantees = {} } });
    REQUIRE(only<start_attempt>(fixture.submit(jobNamed("other", "borrower", gang(8)))).size() == 1);
    const auto started = only<start_attempt>(fixture.submit(jobNamed("owner", "sweep", gang(8))));
    REQUIRE(started.size() == 1);
    REQUIRE(started[0].attempt.guaranteed);
    REQUIRE(started[0].evictBorrowed);
    REQUIRE(started[0].reason.rule == "reclaim");
}

TEST_CASE("attempts leave a failure domain that is out, and none starts there")
{
    core_fixture fixture;
    fixture.addWorkers(1);
    const auto started = only<start_attempt>(fixture.submit(jobNamed("a", "job", gang(8))));
    fixture.run(started[0].attempt.id);
    fixture.apply(failure_domain_changed { "praha", true });
    REQUIRE(only<evict_attempt>(fixture.tick()).size() == 1);
    fixture.end(started[0].attempt.id, attempt_outcome::Evicted);
    REQUIRE(only<start_attempt>(fixture.tick(5000ms)).empty());
    fixture.apply(failure_domain_changed { "praha", false });
    REQUIRE(only<start_attempt>(fixture.tick()).size() == 1);
}
