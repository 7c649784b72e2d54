#include "harness/cluster.hpp"

#include <set>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace oriole::harness;

TEST_CASE("a request and gangs go through entry and agents to their end")
{
    cluster system({ .entries = 2, .workersPerDomain = { 2, 1 } });

    const auto told = system.request(0, "alpha", { { "key", "check-1" } });
    INFO(told.text);
    REQUIRE(told.status == 200);
    REQUIRE(told.verdict == "completed");
    REQUIRE(told.body.value("key", "") == "check-1");
    REQUIRE(system.executions("check-1") == 1);

    const auto run = [&](unsigned accelerators, const std::string& adjacency) {
        const auto accepted = system.submitJob(0, "alpha", gangJob(accelerators, adjacency, 300));
        INFO(accepted.text);
        REQUIRE(accepted.status == 202);
        const auto id = accepted.body.at("job").get<std::string>();
        REQUIRE(system.waitJob(1, "alpha", id) == "finished");
        return system.runtimeEvents("start", id);
    };

    const auto single = run(8, "worker");
    REQUIRE(single.size() == 1);
    REQUIRE(single[0]["accelerators"].size() == 8);

    const auto pair = run(16, "rack");
    REQUIRE(pair.size() == 2);
    std::set<std::string> workers;
    for (const auto& event : pair) {
        REQUIRE(event["accelerators"].size() == 8);
        workers.insert(event["worker"]);
    }
    REQUIRE(workers == std::set<std::string> { "praha-1", "praha-2" });
}

TEST_CASE("a job is accepted at every entry, whatever a header says that only requests have")
{
    cluster system;
    for (const auto& entry : system.entries) {
        const auto accepted = call(entry.http, "POST", "/v1/organisations/alpha/jobs", gangJob(1, "worker", 10).dump(),
            { { "Orioleway-Timeout-Ms", "soon" } });
        CHECK(accepted.status == 202);
    }
}
