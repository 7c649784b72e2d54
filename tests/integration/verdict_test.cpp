#include "harness/load.hpp"

#include <catch2/catch.hpp>

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;

namespace {

const header_map unrepeatable { { "Orioleway-Unrepeatable", "true" }, { "Orioleway-Timeout-Ms", "1500" } };

void answerMore(const request_load& load, std::size_t count)
{
    const auto before = load.answered();
    REQUIRE(eventually([&] { return load.answered() >= before + count; }, 60000ms));
}

verdict_check settle(const cluster& system, request_load& load)
{
    const auto told = load.stop();
    // What was handed over before the end may still be under way at a backend server.
    std::this_thread::sleep_for(500ms);
    const auto check = checkVerdicts(told, system.executions());
    INFO("completed " << check.completed << ", not-run " << check.notRun << ", may-have-run " << check.mayHaveRun);
    CHECK(check.completed > 0);
    CHECK(check.falseNotRun == 0);
    for (const auto& [key, reply] : told)
        if (reply.verdict == "completed" && reply.status != 200)
            UNSCOPED_INFO(key << " told completed: " << reply.status << " " << reply.text.substr(0, 100));
    CHECK(check.falseCompleted == 0);
    return check;
}

/// @brief Strikes links and processes on the way of a request, one after the other, under load.
void strikeEachStep(cluster& system, const request_load& load)
{
    constexpr std::size_t step = 40;
    for (const auto fault : { link_fault::Cut, link_fault::LoseReply, link_fault::Freeze, link_fault::Drop }) {
        for (auto* link : { system.agents[0].backendLink.get(), system.entries[0].rpcLink.get() }) {
            link->set(fault);
            answerMore(load, step);
            link->set(link_fault::None);
            answerMore(load, step);
        }
    }
    system.agents[1].process->kill();
    answerMore(load, step);
    system.startAgent(1);
    system.agents[2].process->freeze();
    answerMore(load, step);
    system.agents[2].process->thaw();
    system.entries[1].process->kill();
    answerMore(load, step);
    system.startEntry(1);
    answerMore(load, step);
}

} // namespace

TEST_CASE("verdicts of unrepeatable requests are true while links and processes fail")
{
    cluster system;
    request_load load(system, { .callers = 8, .body = { { "work_ms", 5 } }, .headers = unrepeatable });
    strikeEachStep(system, load);
    REQUIRE(settle(system, load).doubled == 0);
}

TEST_CASE("verdicts of repeatable requests are true while links and processes fail")
{
    cluster system;
    request_load load(
        system, { .callers = 8, .body = { { "work_ms", 5 } }, .headers = { { "Orioleway-Timeout-Ms", "1500" } } });
    strikeEachStep(system, load);
    settle(system, load);
}

TEST_CASE("verdicts are true while an agent is cut off from one of two entries")
{
    // One region, so that both entries choose among all agents.
    cluster system({ .entries = 2, .workersPerDomain = { 3 } });
    request_load load(system, { .callers = 8, .body = { { "work_ms", 5 } }, .headers = unrepeatable });
    for (const auto fault : { link_fault::Cut, link_fault::LoseReply, link_fault::Freeze, link_fault::Drop }) {
        for (std::size_t i = 0; i < system.agents.size(); ++i) {
            auto& link = *system.entries[i % 2].rpcLink;
            link.set(link_state { .fault = fault, .clients = { system.agents[i].process->pid() } });
            answerMore(load, 40);
            // Long enough for the entry to miss heartbeats, while the other one goes on with the agent.
            const auto before = system.executionsAt(i);
            REQUIRE(eventually([&] { return system.executionsAt(i) > before + 10; }));
            link.set(link_fault::None);
            answerMore(load, 40);
        }
    }
    REQUIRE(settle(system, load).doubled == 0);
}

TEST_CASE("requests to a full system are refused without having run")
{
    cluster system({ .entries = 1, .workersPerDomain = { 1 } });
    request_load load(system,
        { .callers = 120, .body = { { "work_ms", 200 } }, .headers = { { "Orioleway-Unrepeatable", "true" }, { "Orioleway-Timeout-Ms", "300" } } });
    answerMore(load, 600);
    const auto check = settle(system, load);
    REQUIRE(check.notRun > 0);
    REQUIRE(check.doubled == 0);
}
