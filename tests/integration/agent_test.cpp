#include "agent_fixture.hpp"

#include <catch2/catch.hpp>

using namespace oriole;
using namespace oriole::harness;

TEST_CASE("agent: a short request is answered by the backend server, under its own id")
{
    agent_fixture all(1);
    REQUIRE(all.waitReady());
    const auto answer = all.dispatch(0, "r-1", R"({"key":"k","work_ms":10})").wait(all.loop.io().waitScope);
    const auto reply = answer.getReply();
    REQUIRE(std::string(reply.getId()) == "r-1");
    REQUIRE(reply.isAnswer());
    REQUIRE(reply.getAnswer().getStatus() == 200);
    const auto body = reply.getAnswer().getBody().asChars();
    REQUIRE(nlohmann::json::parse(body.begin(), body.end()).at("request_id") == "r-1");
    REQUIRE(agent_fixture::get(all.backends[0], "/standin/executions").at("by_key").at("k") == 1);
}

TEST_CASE("agent: a gang of two workers starts and finishes as a whole, and its ends are acknowledged")
{
    agent_fixture all(2);
    REQUIRE(all.waitReady());
    const auto job = all.makeAttempt("j", 2);
    REQUIRE(all.reserve(0, job));
    REQUIRE(all.reserve(1, job));
    REQUIRE(all.commit(0, job));
    REQUIRE(all.countEvents("start") == 0);
    REQUIRE(all.commit(1, job));
    REQUIRE(all.wait([&] { return all.countEvents("finish") == 2; }));
    REQUIRE(all.countEvents("start") == 2);
    REQUIRE(all.wait([&] { return all.worker(0).tasks.empty() && all.worker(1).tasks.empty(); }));
}

TEST_CASE("agent: a member killed while its gang runs ends the gang on the other worker")
{
    agent_fixture all(2);
    REQUIRE(all.waitReady());
    const auto job = all.makeAttempt("j", 2, R"({"standin_never_ends":true})");
    REQUIRE(all.reserve(0, job));
    REQUIRE(all.reserve(1, job));
    REQUIRE(all.commit(0, job));
    REQUIRE(all.commit(1, job));
    REQUIRE(all.wait([&] { return all.countEvents("start") == 2; }));

    all.entry.acknowledge = false;
    all.agents[1]->kill();
    REQUIRE(all.wait([&] { return all.countEvents("stop") + all.countEvents("expire") == 2; }));
    REQUIRE(all.wait([&] { return !all.worker(0).tasks.empty() && isEnd(all.worker(0).tasks[0].phase); }));
    REQUIRE(all.worker(0).tasks[0].phase == task_phase::Lost);
    REQUIRE(all.worker(0).tasks[0].mayHaveRun);
}

TEST_CASE("agent: a restarted agent adopts its task and the task finishes")
{
    agent_fixture all(1);
    REQUIRE(all.waitReady());
    const auto job = all.makeAttempt("j", 1, R"({"standin_run_ms":4000})");
    REQUIRE(all.reserve(0, job));
    REQUIRE(all.commit(0, job));
    REQUIRE(all.wait([&] { return all.countEvents("start") == 1; }));
    all.agents[0]->kill();
    all.startAgent(0);
    REQUIRE(all.wait([&] { return all.countEvents("finish") == 1; }));
    REQUIRE(all.countEvents("start") == 1);
}

TEST_CASE("agent: a planned stop finishes accepted requests and refuses new ones as not run")
{
    agent_fixture all(1);
    REQUIRE(all.waitReady());
    auto running = all.dispatch(0, "long", R"({"work_ms":1500})");
    REQUIRE(all.wait([&] { return agent_fixture::get(all.backends[0], "/standin/executions").at("running") == 1; }));

    all.agents[0]->terminate();
    REQUIRE(all.wait([&] { return all.worker(0).leaving; }));
    const auto refused = all.dispatch(0, "late", "{}").wait(all.loop.io().waitScope);
    REQUIRE(refused.getReply().isFailure());
    REQUIRE(refused.getReply().getFailure().getVerdict() == rpc::Verdict::NOT_RUN);

    const auto answer = running.wait(all.loop.io().waitScope);
    REQUIRE(answer.getReply().getAnswer().getStatus() == 200);
    REQUIRE(all.wait([&] { return !all.agents[0]->running(); }));
    REQUIRE(all.agents[0]->waitForExit() == 0);
}
