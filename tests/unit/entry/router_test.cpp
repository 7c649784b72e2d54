#include <oriole/entry/retry_budget.hpp>
#include <oriole/entry/router.hpp>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

oriole::worker_info makeWorker(const std::string& name, const std::string& region, const std::string& rack = "r1")
{
    oriole::worker_info worker;
    worker.name = name;
    worker.region = region;
    worker.failureDomain = region + "-1";
    worker.rack = rack;
    worker.service = "column";
    worker.slots = 8;
    worker.connections = 64;
    worker.incarnation = 1;
    return worker;
}

struct fixture {
    oriole::routing_decision choose(const std::set<std::string>& excluded = {}, bool repeatable = true)
    {
        return routes.choose("column", excluded, repeatable, now, random);
    }

    std::string chosen(const std::set<std::string>& excluded = {})
    {
        const auto decision = choose(excluded);
        return decision.worker ? decision.worker->name : "";
    }

    /// @brief Fails several different requests on a worker while others succeed elsewhere.
    void breakWorker(const std::string& worker, const std::string& peer)
    {
        for (int i = 0; i < 4; ++i) {
            const auto number = std::to_string(i);
            health.succeeded(peer, "good " + number, now);
            health.failed(worker, std::string("bad ").append(worker).append(number), now);
        }
    }

    oriole::time_point now;
    std::mt19937_64 random { 7 };
    oriole::worker_health health;
    oriole::router routes { { .region = "praha", .queueLimit = 2 }, health };
};

} // namespace

TEST_CASE("the own region comes first, another one only when the own has none free")
{
    fixture f;
    f.routes.upsert(makeWorker("p1", "praha"));
    f.routes.upsert(makeWorker("b1", "brno"));
    for (int i = 0; i < 10; ++i) {
        REQUIRE(f.chosen() == "p1");
        f.routes.sent("p1");
    }
    const auto decision = f.choose();
    CHECK(decision.worker->name == "b1");
    CHECK(decision.reason == "other-region");
    f.routes.answered("p1", 1);
    CHECK(f.chosen() == "p1");
}

TEST_CASE("of two candidates the less loaded one is chosen, other entries' requests included")
{
    fixture f;
    f.routes.upsert(makeWorker("p1", "praha"));
    f.routes.upsert(makeWorker("p2", "praha"));
    f.routes.report("p1", { .running = 3 });
    f.routes.sent("p2");
    CHECK(f.chosen() == "p2");
    // Own requests in a report are not counted twice.
    f.routes.report("p2", { .running = 1 });
    CHECK(f.choose().weighed.size() == 2);
    f.routes.sent("p2");
    CHECK(f.chosen() == "p2");
}

TEST_CASE("a worker that is leaving, unhealthy, out, full or excluded is no candidate")
{
    fixture f;
    f.routes.upsert(makeWorker("p1", "praha"));
    const auto change = GENERATE(0, 1, 2, 3, 4, 5);
    if (change == 0)
        f.routes.report("p1", { .leaving = true });
    if (change == 1)
        f.routes.report("p1", { .backendHealthy = false });
    if (change == 2)
        f.routes.setFailureDomainsOut({ "praha-1" });
    if (change == 3)
        f.routes.report("p1", { .running = 8, .queued = 2 });
    if (change == 4)
        f.routes.busy("p1", f.now);
    if (change == 5)
        f.routes.remove("p1");
    INFO(change);
    CHECK(f.chosen().empty());
    CHECK(f.chosen({ "p1" }).empty());
}

TEST_CASE("a retry goes to another failure domain or rack before the same one")
{
    fixture f;
    f.routes.upsert(makeWorker("p1", "praha", "r1"));
    f.routes.upsert(makeWorker("p2", "praha", "r1"));
    f.routes.upsert(makeWorker("p3", "praha", "r2"));
    for (int i = 0; i < 20; ++i)
        CHECK(f.chosen({ "p1" }) == "p3");
}

TEST_CASE("a worker on probation gets a bounded share, of repeatable requests only")
{
    fixture f;
    for (const auto* name : { "p1", "p2", "p3" })
        f.routes.upsert(makeWorker(name, "praha"));
    f.breakWorker("p1", "p2");
    REQUIRE(f.health.onProbation("p1"));
    unsigned probes = 0;
    for (int i = 0; i < 1000; ++i) {
        f.now += 10ms;
        CHECK((f.choose({}, false).worker->name != "p1"));
        if (f.chosen() == "p1") {
            ++probes;
            f.health.failed("p1", "probe " + std::to_string(i), f.now);
        }
    }
    CHECK(probes > 0);
    CHECK(probes <= 10);
}

TEST_CASE("a worker returns from probation after probes that succeed")
{
    fixture f;
    for (const auto* name : { "p1", "p2", "p3" })
        f.routes.upsert(makeWorker(name, "praha"));
    f.breakWorker("p1", "p2");
    for (int i = 0; i < 1000 && f.health.onProbation("p1"); ++i) {
        f.now += 10ms;
        if (f.chosen() == "p1")
            f.health.succeeded("p1", "probe " + std::to_string(i), f.now);
    }
    CHECK_FALSE(f.health.onProbation("p1"));
}

TEST_CASE("work that fails everywhere is charged to nobody, and only a share goes on probation")
{
    fixture f;
    for (const auto* name : { "p1", "p2", "p3", "p4", "p5", "p6" })
        f.routes.upsert(makeWorker(name, "praha"));
    for (int i = 0; i < 10; ++i) {
        f.health.succeeded("p6", "good " + std::to_string(i), f.now);
        for (const auto* name : { "p1", "p2", "p3" })
            f.health.failed(name, "never runs " + std::to_string(i), f.now);
    }
    CHECK(f.health.workersOnProbation().empty());

    for (const auto* name : { "p1", "p2", "p3", "p4" })
        f.breakWorker(name, "p6");
    CHECK(f.health.workersOnProbation().size() == 2);
}

TEST_CASE("a fleet that fails as a whole puts nobody on probation")
{
    fixture f;
    for (const auto* name : { "p1", "p2", "p3" })
        f.routes.upsert(makeWorker(name, "praha"));
    for (int i = 0; i < 30; ++i)
        f.health.failed("p" + std::to_string(1 + i % 3), "w " + std::to_string(i), f.now);
    CHECK(f.health.workersOnProbation().empty());
}

TEST_CASE("retries are a share of the requests")
{
    oriole::retry_budget budget(0.1, 2);
    unsigned taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.deposit();
        taken += budget.take() ? 1 : 0;
    }
    CHECK(taken >= 100);
    CHECK(taken <= 102);
}
