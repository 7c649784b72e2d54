#include "harness/cluster.hpp"
#include "harness/oracle.hpp"

#include <catch2/catch.hpp>

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;

namespace {

json endless(unsigned accelerators)
{
    auto job = gangJob(accelerators, "worker", 600000);
    job["payload"] = json { { "standin_never_ends", true } }.dump();
    return job;
}

/// @brief Fills every worker with borrowed work of an organisation without guarantees.
void fill(const cluster& system)
{
    for (std::size_t i = 0; i < system.agents.size() * 2; ++i)
        REQUIRE(system.submitJob(0, i % 2 == 0 ? "gamma" : "delta", endless(4)).status == 202);
    const auto running = [&] {
        std::size_t starts = 0;
        for (const auto& event : system.runtimeEvents())
            starts += event["event"] == "start" ? 1 : 0;
        return starts >= system.agents.size() * 2;
    };
    REQUIRE(eventually(running));
}

std::string reclaim(const cluster& system, std::size_t entry, const std::string& organisation)
{
    const auto accepted = system.submitJob(entry, organisation, gangJob(8, "worker", 500));
    INFO(accepted.text);
    REQUIRE(accepted.status == 202);
    return accepted.body.at("job");
}

} // namespace

TEST_CASE("guaranteed shapes are reclaimed by several organisations at once from a full system")
{
    cluster system;
    fill(system);
    const auto alpha = reclaim(system, 0, "alpha");
    const auto beta = reclaim(system, 1, "beta");
    REQUIRE(system.waitJob(0, "alpha", alpha) == "finished");
    REQUIRE(system.waitJob(0, "beta", beta) == "finished");
    REQUIRE(partialGangs(system.runtimeEvents(), 6000ms).empty());
}

TEST_CASE("guaranteed shapes are reclaimed while a failure domain is out")
{
    cluster system;
    fill(system);
    REQUIRE(system.setFailureDomain(0, "praha", true).status == 200);
    const auto alpha = reclaim(system, 0, "alpha");
    const auto beta = reclaim(system, 1, "beta");
    REQUIRE(system.waitJob(0, "alpha", alpha) == "finished");
    REQUIRE(system.waitJob(0, "beta", beta) == "finished");
}

TEST_CASE("a guaranteed shape is reclaimed although agents do not answer evictions")
{
    cluster system;
    fill(system);
    const auto silent = GENERATE(0, 1, 2);
    system.agents[silent].process->freeze();
    const auto alpha = reclaim(system, 0, "alpha");
    CHECK(system.waitJob(0, "alpha", alpha) == "finished");
    system.agents[silent].process->thaw();
}

TEST_CASE("evicted work runs again after the guarantee is given back")
{
    cluster system({ .entries = 2, .workersPerDomain = { 1, 1 } });
    std::vector<std::string> borrowed;
    for (unsigned i = 0; i < 2; ++i)
        borrowed.push_back(system.submitJob(0, "gamma", gangJob(8, "worker", 4000)).body.at("job"));
    for (const auto& id : borrowed)
        REQUIRE(eventually([&] { return !system.runtimeEvents("start", id).empty(); }));
    const auto alpha = reclaim(system, 0, "alpha");
    REQUIRE(system.waitJob(0, "alpha", alpha) == "finished");
    for (const auto& id : borrowed)
        CHECK(system.waitJob(0, "gamma", id, 60000ms) == "finished");
}
