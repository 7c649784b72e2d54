#include "harness/cluster.hpp"
#include "harness/oracle.hpp"

#include <random>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;

namespace {

// Lease of a task, plus the time in which the runtime and the agents notice its end.
constexpr auto aloneBound = 6000ms;

std::string submitPair(const cluster& system, std::size_t entry, unsigned runMs)
{
    // While a killed owner is replaced, a refusal is right; the key makes the next submission the same job.
    static unsigned number = 0;
    const auto key = "gang-" + std::to_string(++number);
    caller_reply accepted;
    eventually([&] {
        accepted = system.submitJob(entry, "alpha", gangJob(16, "rack", runMs), key);
        return accepted.status == 202;
    });
    INFO(accepted.text);
    REQUIRE(accepted.status == 202);
    return accepted.body.at("job");
}

bool startedOn(const cluster& system, const std::string& id, std::size_t workers)
{
    return eventually([&] { return system.runtimeEvents("start", id).size() >= workers; });
}

unsigned wholeRuns(const cluster& system, const std::string& job)
{
    unsigned count = 0;
    for (const auto& [name, attempt] : readAttempts(system.runtimeEvents()))
        if (attempt.job == job && attempt.wholeFinished())
            ++count;
    return count;
}

void requireWhole(const cluster& system)
{
    const auto partial = partialGangs(system.runtimeEvents(), aloneBound);
    for (const auto& name : partial)
        UNSCOPED_INFO("partial gang " << name);
    REQUIRE(partial.empty());
}

} // namespace

TEST_CASE("a gang whose member is killed ends everywhere and runs again whole")
{
    // Two racks of two, so that the gang finds another place.
    cluster system({ .entries = 2, .workersPerDomain = { 2, 2 }, .workersPerRack = 2 });
    const auto victim = GENERATE(0, 1);
    const auto id = submitPair(system, 0, 6000);
    REQUIRE(startedOn(system, id, 2));
    const auto workers = system.runtimeEvents("start", id);
    const std::string worker = workers[victim]["worker"];
    for (std::size_t i = 0; i < system.agents.size(); ++i)
        if (system.agents[i].worker == worker)
            system.agents[i].process->kill();
    REQUIRE(system.waitJob(0, "alpha", id, 60000ms) == "finished");
    REQUIRE(wholeRuns(system, id) == 1);
    requireWhole(system);
}

TEST_CASE("a gang whose member is frozen past its lease and comes back does not run partially")
{
    cluster system({ .entries = 2, .workersPerDomain = { 2, 2 }, .workersPerRack = 2 });
    const auto id = submitPair(system, 0, 8000);
    REQUIRE(startedOn(system, id, 2));
    const std::string worker = system.runtimeEvents("start", id)[0]["worker"];
    auto& agent = *std::find_if(
        system.agents.begin(), system.agents.end(), [&](const auto& each) { return each.worker == worker; });
    agent.process->freeze();
    REQUIRE(eventually([&] { return !system.runtimeEvents("expire", id).empty(); }));
    agent.process->thaw();
    REQUIRE(system.waitJob(0, "alpha", id, 60000ms) == "finished");
    REQUIRE(wholeRuns(system, id) == 1);
    requireWhole(system);
}

TEST_CASE("gangs are whole when agents and owners are killed at any moment of their start")
{
    cluster system({ .entries = 2, .workersPerDomain = { 2, 2 }, .workersPerRack = 2 });
    std::mt19937 random(20261204);
    std::vector<std::string> ids;
    for (unsigned round = 0; round < 8; ++round) {
        const std::size_t entry = round % 2;
        ids.push_back(submitPair(system, entry, 200));
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % 120));
        if (round % 4 < 2) {
            const auto victim = random() % system.agents.size();
            system.agents[victim].process->kill();
            system.startAgent(victim);
        } else {
            const std::size_t victim = random() % 2;
            system.entries[victim].process->kill();
            system.startEntry(victim);
            REQUIRE(eventually([&] { return system.get(victim, "/readyz").status == 200; }));
        }
    }
    for (const auto& id : ids) {
        INFO(id << " " << system.job(0, "alpha", id).text);
        CHECK(system.waitJob(0, "alpha", id, 60000ms) == "finished");
        CHECK(wholeRuns(system, id) >= 1);
    }
    requireWhole(system);
}

TEST_CASE("a gang between agents that cannot reach each other does not run partially")
{
    cluster system({ .entries = 2, .workersPerDomain = { 2 }, .workersPerRack = 2 });
    const auto fault = GENERATE(link_fault::Cut, link_fault::Drop, link_fault::LoseReply);
    for (auto& agent : system.agents)
        agent.rpcLink->set(fault);
    const auto id = submitPair(system, 0, 500);
    std::this_thread::sleep_for(2000ms);
    requireWhole(system);
    for (auto& agent : system.agents)
        agent.rpcLink->set(link_fault::None);
    REQUIRE(system.waitJob(0, "alpha", id, 60000ms) == "finished");
    requireWhole(system);
}

TEST_CASE("a running gang goes on while the store is down")
{
    cluster system({ .entries = 2, .workersPerDomain = { 2 }, .workersPerRack = 2 });
    const auto id = submitPair(system, 0, 5000);
    REQUIRE(startedOn(system, id, 2));
    system.setStoreMode({ { "mode", "down" } });
    REQUIRE(eventually([&] { return system.runtimeEvents("finish", id).size() == 2; }));
    system.setStoreMode({ { "mode", "up" } });
    REQUIRE(system.waitJob(0, "alpha", id) == "finished");
    REQUIRE(system.runtimeEvents("start", id).size() == 2);
    requireWhole(system);
}
