#include "harness/load.hpp"
#include "unit/http/raw_peer.hpp"

#include <catch2/catch.hpp>

#include <future>

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;

namespace {

constexpr auto allowedDelay = 2000ms;

bool answerMore(const request_load& load, std::size_t count)
{
    const auto before = load.answered();
    return eventually([&] { return load.answered() >= before + count; });
}

void requireAllCompleted(const cluster& system, request_load& load)
{
    const auto told = load.stop();
    const auto check = checkVerdicts(told, system.executions());
    for (const auto& [key, reply] : told)
        if (reply.status != 200)
            UNSCOPED_INFO(key << ": " << reply.status << " " << reply.verdict << " " << reply.text);
    CHECK(check.completed == told.size());
    CHECK(check.falseCompleted == 0);
    CHECK(check.doubled == 0);
}

const header_map unrepeatable { { "Orioleway-Unrepeatable", "true" } };

} // namespace

TEST_CASE("an agent that is stopped gets nothing new and interrupts no request")
{
    cluster system;
    request_load load(system, { .callers = 6, .body = { { "work_ms", 40 } }, .headers = unrepeatable });
    REQUIRE(answerMore(load, 200));
    system.agents[0].process->terminate();
    std::this_thread::sleep_for(allowedDelay);
    const auto before = system.executionsAt(0);
    REQUIRE(answerMore(load, 300));
    REQUIRE(system.executionsAt(0) == before);
    REQUIRE(system.agents[0].process->waitForExit() == 0);
    requireAllCompleted(system, load);
}

TEST_CASE("an entry that missed the notice sends nothing to an agent that left")
{
    cluster system;
    request_load load(system, { .callers = 6, .body = { { "work_ms", 20 } } });
    REQUIRE(answerMore(load, 200));
    system.entries[1].rpcLink->set(link_fault::Freeze);
    system.agents[0].process->terminate();
    std::this_thread::sleep_for(allowedDelay);
    const auto before = system.executionsAt(0);
    std::this_thread::sleep_for(1000ms);
    REQUIRE(system.executionsAt(0) == before);
    REQUIRE(system.agents[0].process->waitForExit() == 0);
    system.entries[1].rpcLink->set(link_fault::None);
    REQUIRE(answerMore(load, 100));
    REQUIRE(system.executionsAt(0) == before);
}

TEST_CASE("a backend server that is gone gets nothing new, and its agent comes back with it")
{
    cluster system;
    request_load load(system, { .callers = 6, .body = { { "work_ms", 10 } } });
    REQUIRE(answerMore(load, 200));
    system.agents[0].backendLink->set(link_fault::Cut);
    std::this_thread::sleep_for(allowedDelay);
    const auto before = load.answered();
    std::this_thread::sleep_for(1500ms);
    REQUIRE(load.answered() > before);
    const auto told = load.stop();
    const auto check = checkVerdicts(told, system.executions());
    CHECK(check.falseNotRun == 0);
    CHECK(check.completed + 20 > told.size());

    system.agents[0].backendLink->set(link_fault::None);
    const auto executions = system.executionsAt(0);
    request_load after(system, { .callers = 6 });
    REQUIRE(eventually([&] { return system.executionsAt(0) > executions; }));
}

TEST_CASE("an entry that is stopped interrupts no request and hands its work over")
{
    cluster system;
    std::vector<std::string> ids;
    for (const auto* organisation : { "alpha", "beta", "gamma" }) {
        const auto accepted = system.submitJob(0, organisation, gangJob(2, "worker", 4000));
        REQUIRE(accepted.status == 202);
        ids.push_back(accepted.body.at("job"));
    }
    for (const auto& id : ids)
        REQUIRE(eventually([&] { return !system.runtimeEvents("start", id).empty(); }));

    request_load load(system,
        { .callers = 6, .body = { { "work_ms", 100 } }, .headers = unrepeatable, .entries = { 0 } });
    REQUIRE(answerMore(load, 100));
    system.entries[0].process->terminate();
    REQUIRE(system.entries[0].process->waitForExit() == 0);
    const auto told = load.stop();
    const auto check = checkVerdicts(told, system.executions());
    // What was not taken any more has a refusal or no connection; nothing that was taken is cut off.
    CHECK(check.completed >= 100);
    const auto executions = system.executions();
    for (const auto& [key, reply] : told)
        if (reply.verdict == "may-have-run")
            UNSCOPED_INFO(key << ": " << reply.status << " " << reply.text << ", ran " << executions.count(key));
    CHECK(check.mayHaveRun == 0);
    CHECK(check.falseNotRun == 0);
    CHECK(check.falseCompleted == 0);

    const std::vector<std::string> organisations { "alpha", "beta", "gamma" };
    for (std::size_t i = 0; i < ids.size(); ++i) {
        CHECK(system.waitJob(1, organisations[i], ids[i]) == "finished");
        CHECK(system.runtimeEvents("start", ids[i]).size() == 1);
    }
}

TEST_CASE("a caller that has connected when an entry stops still gets its reply")
{
    static constexpr auto connectEvery = 5ms;
    static constexpr auto sendAfter = 600ms;
    cluster system;
    const auto& entry = system.entries[0];
    entry.process->terminate();

    std::vector<std::future<std::string>> replies;
    try {
        while (true) {
            auto send = [connection = raw::socket_stream(entry.http)] {
                std::this_thread::sleep_for(sendAfter);
                connection.send("POST /v1/organisations/alpha/requests/column HTTP/1.1\r\nHost: a\r\n"
                                "Content-Length: 2\r\nConnection: close\r\n\r\n{}");
                return connection.readAll();
            };
            replies.push_back(std::async(std::launch::async, std::move(send)));
            std::this_thread::sleep_for(connectEvery);
        }
    } catch (const std::runtime_error&) {
        UNSCOPED_INFO("nobody listens any more");
    }

    REQUIRE(replies.size() > 20);
    std::size_t without = 0;
    for (std::size_t i = 0; i < replies.size(); ++i) {
        const auto reply = replies[i].get();
        if (reply.starts_with("HTTP/1.1 "))
            continue;
        ++without;
        UNSCOPED_INFO("connection " << i << " of " << replies.size() << " got '" << reply << "'");
    }
    CHECK(without == 0);
    CHECK(entry.process->waitForExit() == 0);
}

TEST_CASE("an entry that is stopped while the store is down ends all the same")
{
    cluster system;
    system.setStoreMode({ { "mode", "down" } });
    system.entries[0].process->terminate();
    REQUIRE(system.entries[0].process->waitForExit() == 0);
}

TEST_CASE("a stopped agent lets a running gang end or move whole")
{
    cluster system;
    const auto accepted = system.submitJob(0, "alpha", gangJob(8, "worker", 3000));
    const std::string id = accepted.body.at("job");
    REQUIRE(eventually([&] { return !system.runtimeEvents("start", id).empty(); }));
    const std::string worker = system.runtimeEvents("start", id)[0]["worker"];
    for (auto& agent : system.agents)
        if (agent.worker == worker)
            agent.process->terminate();
    REQUIRE(system.waitJob(0, "alpha", id, 60000ms) == "finished");
}
