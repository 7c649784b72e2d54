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
    const auto job = all.startEndless("j", 2);

    all.entry.acknowledge = false;
    all.agents[1]->kill();
    REQUIRE(all.wait([&] { return all.countEvents("stop") + all.countEvents("expire") == 2; }));
    REQUIRE(all.waitForEnd(0, job.id, task_phase::Lost));
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

TEST_CASE("agent: a member frozen before its commit is heard starts nothing when it thaws")
{
    agent_fixture all(2);
    REQUIRE(all.waitReady());
    all.entry.acknowledge = false;
    const auto job = all.makeAttempt("j", 2, R"({"standin_never_ends":true})");
    REQUIRE(all.reserve(0, job));
    REQUIRE(all.reserve(1, job));
    all.agents[1]->freeze();
    REQUIRE(all.commit(0, job));
    auto request = all.agent(1).commitRequest();
    rpc::write(request.initId(), job.id);
    request.setEpoch(job.epoch);
    const auto pending = request.send();

    REQUIRE(all.waitForEnd(0, job.id, task_phase::Released));
    REQUIRE_FALSE(all.worker(0).tasks[0].mayHaveRun);
    all.agents[1]->thaw();
    REQUIRE(all.waitForEnd(1, job.id, task_phase::Released));
    REQUIRE_FALSE(all.worker(1).tasks[0].mayHaveRun);
    REQUIRE(all.countEvents("start") == 0);
}

TEST_CASE("agent: a running member frozen past its lease ends the gang everywhere and reports it when it thaws")
{
    agent_fixture all(2);
    REQUIRE(all.waitReady());
    all.entry.acknowledge = false;
    const auto job = all.startEndless("j", 2);
    all.agents[1]->freeze();
    REQUIRE(all.waitForEnd(0, job.id, task_phase::Lost));
    REQUIRE(all.wait([&] { return all.countEvents("expire") == 1; }));
    all.agents[1]->thaw();
    REQUIRE(all.waitForEnd(1, job.id, task_phase::Lost));
    REQUIRE(all.countEvents("start") == 2);
    REQUIRE(all.countEvents("stop") == 1);
}

TEST_CASE("agent: a guaranteed reservation evicts a borrowed gang from all its workers")
{
    agent_fixture all(2);
    REQUIRE(all.waitReady());
    all.entry.acknowledge = false;
    const auto borrowed = all.startEndless("borrowed", 2);
    auto guaranteed = all.makeAttempt("guaranteed", 1);
    guaranteed.guaranteed = true;
    REQUIRE(all.reserve(0, guaranteed, true));
    REQUIRE(all.waitForEnd(0, borrowed.id, task_phase::Evicted));
    REQUIRE(all.waitForEnd(1, borrowed.id, task_phase::Evicted));
    REQUIRE(all.countEvents("checkpoint") == 2);
    REQUIRE(all.commit(0, guaranteed));
    REQUIRE(all.wait([&] { return all.countEvents("finish") == 1; }));
}

TEST_CASE("agent: a failure domain that a push takes out gets no start and no request")
{
    agent_fixture all(1);
    REQUIRE(all.waitReady());
    REQUIRE(all.reserve(0, all.makeAttempt("before", 1)));
    all.entry.state.offer(failure_domain_states { 2, { "fd1" } });
    auto push = all.agent(0).applyViewRequest();
    rpc::write(push.initView(), all.entry.state, {}, true, false, 0);
    REQUIRE(push.send().wait(all.loop.io().waitScope).getRevision().getFailureDomains() == 2);

    REQUIRE_FALSE(all.commit(0, all.makeAttempt("before", 1)));
    REQUIRE_FALSE(all.reserve(0, all.makeAttempt("after", 1)));
    const auto refused = all.dispatch(0, "r", "{}").wait(all.loop.io().waitScope);
    REQUIRE(refused.getReply().getFailure().getVerdict() == rpc::Verdict::NOT_RUN);
    REQUIRE(all.countEvents("start") == 0);
}

TEST_CASE("agent: entries that a view names are announced to as well")
{
    agent_fixture all(1);
    REQUIRE(all.waitReady());
    played_entry second;
    const auto address = freeEndpoint();
    rpc::serve(all.loop, address, kj::heap<played_entry_server>(second)).wait(all.loop.io().waitScope);
    all.entry.entries = { { "e2", toString(address), "r1" } };
    REQUIRE(all.wait([&] { return second.workers["w0"].heartbeats > 0; }));
}

TEST_CASE("agent: what waited for a frozen agent is refused when its control view has become stale")
{
    agent_fixture all(1);
    REQUIRE(all.waitReady());
    REQUIRE(all.reserve(0, all.makeAttempt("j", 1)));
    all.agents[0]->freeze();
    auto dispatched = all.dispatch(0, "r", "{}");
    auto commit = all.agent(0).commitRequest();
    rpc::write(commit.initId(), all.makeAttempt("j", 1).id);
    commit.setEpoch(1);
    auto committed = commit.send();
    all.entry.state.offer(failure_domain_states { 2, { "fd1" } });
    all.loop.after(milliseconds(2500)).wait(all.loop.io().waitScope);

    all.agents[0]->thaw();
    REQUIRE(dispatched.wait(all.loop.io().waitScope).getReply().isFailure());
    REQUIRE_FALSE(committed.wait(all.loop.io().waitScope).getAccepted());
    REQUIRE(agent_fixture::get(all.backends[0], "/standin/executions").at("total") == 0);
    REQUIRE(all.countEvents("start") == 0);
}

TEST_CASE("agent: without seeds it finds the entries in the store, also when the store comes later")
{
    agent_fixture all(1, false);
    REQUIRE(all.wait([&] { return all.agents[0]->running(); }));
    all.startStore();
    REQUIRE(all.waitReady());
}
