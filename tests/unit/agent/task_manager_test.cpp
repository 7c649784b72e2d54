#include "fleet.hpp"

using namespace oriole;
using oriole::mocks::fleet;
using namespace std::chrono_literals;

TEST_CASE("a task runs from reservation to its acknowledged end")
{
    fleet all(1);
    const auto job = all.makeAttempt("j", 1);
    all.start(job);
    all.pass(100ms);
    REQUIRE(all.report(0, job.id).phase == task_phase::Running);
    REQUIRE(all.report(0, job.id).leads);

    all.agents[0]->runtime.endTask(job.id, runtime_state::Finished);
    all.pass(500ms);
    REQUIRE(all.report(0, job.id).phase == task_phase::Finished);

    all.agents[0]->tasks->acknowledge({ job.id });
    REQUIRE(all.agents[0]->tasks->reports().empty());
    REQUIRE(all.agents[0]->runtime.forgotten.contains("org/j/1"));
    REQUIRE(all.agents[0]->tasks->idle());
}

TEST_CASE("no member of a gang starts before all are committed")
{
    fleet all(3);
    const auto job = all.makeAttempt("j", 3);
    for (unsigned i = 0; i < 3; ++i)
        REQUIRE(all.reserve(i, job).state == reservation_state::Accepted);
    all.agents[0]->tasks->commit(job.id, 1);
    all.agents[1]->tasks->commit(job.id, 1);
    all.pass(1500ms);
    for (const auto& item : all.agents)
        REQUIRE_FALSE(item->runtime.runs(job.id));
    REQUIRE_FALSE(all.report(0, job.id).mayHaveRun);

    all.agents[2]->tasks->commit(job.id, 1);
    all.pass(500ms);
    for (const auto& item : all.agents)
        REQUIRE(item->runtime.runs(job.id));

    // The gang is finished only when each member is.
    all.agents[0]->runtime.endTask(job.id, runtime_state::Finished);
    all.agents[1]->runtime.endTask(job.id, runtime_state::Finished);
    all.pass(1000ms);
    REQUIRE(all.report(0, job.id).phase == task_phase::Running);
    all.agents[2]->runtime.endTask(job.id, runtime_state::Finished);
    all.pass(1000ms);
    REQUIRE(all.report(0, job.id).phase == task_phase::Finished);
}

TEST_CASE("a gang whose last member is never committed is released everywhere and has not run")
{
    fleet all(2);
    const auto job = all.makeAttempt("j", 2);
    REQUIRE(all.reserve(0, job).state == reservation_state::Accepted);
    REQUIRE(all.reserve(1, job).state == reservation_state::Accepted);
    all.agents[0]->tasks->commit(job.id, 1);
    all.pass(6000ms);
    REQUIRE(all.report(0, job.id).phase == task_phase::Released);
    REQUIRE(all.report(1, job.id).phase == task_phase::Released);
    REQUIRE_FALSE(all.report(0, job.id).mayHaveRun);
    REQUIRE(all.agents[0]->runtime.starts.empty());
}

TEST_CASE("a member that is cut off ends the gang on both sides within the lease")
{
    fleet all(3);
    const auto job = all.makeAttempt("j", 3);
    all.start(job);
    all.pass(500ms);
    REQUIRE(all.agents[2]->runtime.runs(job.id));

    all.cut(2);
    all.pass(5000ms);
    for (const auto& item : all.agents)
        REQUIRE_FALSE(item->runtime.runs(job.id));
    REQUIRE(all.report(0, job.id).phase == task_phase::Lost);
    REQUIRE(all.report(2, job.id).phase == task_phase::Lost);
    REQUIRE(all.report(0, job.id).mayHaveRun);
}

TEST_CASE("a failed member ends its gang as failed, and only it counts as failing")
{
    fleet all(2);
    const auto job = all.makeAttempt("j", 2);
    all.start(job);
    all.pass(500ms);
    all.agents[1]->runtime.endTask(job.id, runtime_state::Failed);
    all.pass(1500ms);
    REQUIRE_FALSE(all.agents[0]->runtime.runs(job.id));
    REQUIRE(all.report(0, job.id).phase == task_phase::Failed);
    REQUIRE(all.report(1, job.id).phase == task_phase::Failed);
    REQUIRE(all.agents[0]->tasks->failuresInRow() == 0);
    REQUIRE(all.agents[1]->tasks->failuresInRow() == 1);
}

TEST_CASE("a guaranteed reservation evicts a borrowed gang everywhere with a checkpoint")
{
    fleet all(2);
    const auto borrowed = all.makeAttempt("borrowed", 2);
    all.start(borrowed);
    all.pass(500ms);

    auto guaranteed = all.makeAttempt("guaranteed", 2);
    guaranteed.allocations.erase(guaranteed.allocations.begin());
    guaranteed.guaranteed = true;
    REQUIRE(all.reserve(1, guaranteed, false).state == reservation_state::Refused);
    guaranteed.id.number = 2;
    REQUIRE(all.reserve(1, guaranteed, true).state == reservation_state::Accepted);
    all.pass(1500ms);
    REQUIRE_FALSE(all.agents[0]->runtime.runs(borrowed.id));
    REQUIRE_FALSE(all.agents[1]->runtime.runs(borrowed.id));
    REQUIRE(all.report(0, borrowed.id).phase == task_phase::Evicted);
    REQUIRE(all.agents[0]->runtime.checkpoints.contains("org/borrowed/1"));
    REQUIRE(all.agents[1]->runtime.checkpoints.contains("org/borrowed/1"));
}

TEST_CASE("a domain that goes out before the start releases the gang, and nothing starts")
{
    fleet all(2);
    const auto job = all.makeAttempt("j", 2);
    REQUIRE(all.reserve(0, job).state == reservation_state::Accepted);
    REQUIRE(all.reserve(1, job).state == reservation_state::Accepted);
    all.agents[0]->tasks->commit(job.id, 1);

    all.view.failureDomains = { 2, { "fd1" } };
    all.hearView();
    REQUIRE_FALSE(all.agents[1]->tasks->commit(job.id, 1).accepted);
    all.pass(1000ms);
    REQUIRE(all.report(0, job.id).phase == task_phase::Released);
    REQUIRE_FALSE(all.report(0, job.id).mayHaveRun);
    REQUIRE(all.reserve(0, all.makeAttempt("other", 1)).state == reservation_state::Refused);
    REQUIRE(all.agents[0]->runtime.starts.empty());
    REQUIRE(all.agents[1]->runtime.starts.empty());
}

TEST_CASE("a stale control view stops new starts")
{
    fleet all(2);
    const auto job = all.makeAttempt("j", 2);
    REQUIRE(all.reserve(0, job).state == reservation_state::Accepted);
    REQUIRE(all.reserve(1, job).state == reservation_state::Accepted);
    all.agents[0]->tasks->commit(job.id, 1);
    all.viewFresh = false;
    all.pass(2100ms);
    REQUIRE_FALSE(all.agents[1]->tasks->commit(job.id, 1).accepted);
    REQUIRE(all.reserve(1, all.makeAttempt("other", 1)).reason == "stale control view");
    REQUIRE(all.agents[0]->runtime.starts.empty());
}

TEST_CASE("a start whose reply is lost may have run, and is not started twice")
{
    fleet all(1);
    const auto job = all.makeAttempt("j", 1);
    all.agents[0]->runtime.loseStartReplies = true;
    all.start(job);
    all.pass(30ms);
    REQUIRE(all.report(0, job.id).mayHaveRun);
    const auto reports = all.release(0, job.id);
    REQUIRE(reports.at(0).mayHaveRun);
    REQUIRE(isEnd(reports.at(0).phase));
    REQUIRE_FALSE(all.agents[0]->runtime.runs(job.id));
}

TEST_CASE("a release of an unknown attempt refuses its late reservation")
{
    fleet all(1);
    const auto job = all.makeAttempt("j", 1);
    const auto reports = all.release(0, job.id);
    REQUIRE_FALSE(reports.at(0).mayHaveRun);
    REQUIRE(all.reserve(0, job).state == reservation_state::Refused);
    REQUIRE_FALSE(all.agents[0]->tasks->commit(job.id, 1).accepted);
}

TEST_CASE("a restarted lead and a restarted member adopt their tasks and the gang goes on")
{
    fleet all(2);
    const auto job = all.makeAttempt("j", 2);
    all.start(job);
    all.pass(500ms);
    all.agents[0]->restart(all.timers);
    all.pass(1500ms);
    all.agents[1]->restart(all.timers);
    all.pass(4000ms);
    REQUIRE(all.agents[0]->runtime.runs(job.id));
    REQUIRE(all.agents[1]->runtime.runs(job.id));

    all.agents[0]->runtime.endTask(job.id, runtime_state::Finished);
    all.agents[1]->runtime.endTask(job.id, runtime_state::Finished);
    all.pass(2000ms);
    REQUIRE(all.report(0, job.id).phase == task_phase::Finished);
    REQUIRE(all.agents[0]->runtime.starts.at("org/j/1") == 1);
}

TEST_CASE("a runtime that does not answer for a lease means a lost task, and nothing is asked when idle")
{
    fleet all(1);
    all.pass(1000ms);
    REQUIRE(all.agents[0]->runtime.renewals == 0);
    const auto job = all.makeAttempt("j", 1);
    all.start(job);
    all.pass(500ms);
    REQUIRE(all.agents[0]->runtime.renewals > 0);
    all.agents[0]->runtime.down = true;
    all.pass(3500ms);
    REQUIRE(all.report(0, job.id).phase == task_phase::Evicting);
    all.pass(4000ms);
    REQUIRE(all.report(0, job.id).phase == task_phase::Lost);
}

TEST_CASE("a task far over its declared memory is throttled, then evicted")
{
    fleet all(1);
    const auto job = all.makeAttempt("j", 1);
    all.start(job);
    all.pass(300ms);
    auto& task = all.agents[0]->runtime.tasks.at("org/j/1").task;
    task.usedMemoryGb = 16;
    all.pass(600ms);
    REQUIRE(all.agents[0]->runtime.throttled.size() == 1);
    REQUIRE(all.report(0, job.id).phase == task_phase::Running);
    task.usedMemoryGb = 25;
    all.pass(1000ms);
    REQUIRE(all.report(0, job.id).phase == task_phase::Evicted);
    REQUIRE(all.agents[0]->runtime.checkpoints.contains("org/j/1"));
}

TEST_CASE("a leaving worker moves its tasks and reserves nothing")
{
    fleet all(2);
    const auto job = all.makeAttempt("j", 2);
    all.start(job);
    all.pass(500ms);
    all.agents[1]->view.setLeaving();
    all.agents[1]->tasks->evictAll(500ms, "worker is leaving");
    all.pass(1500ms);
    REQUIRE(all.report(0, job.id).phase == task_phase::Evicted);
    REQUIRE(all.agents[1]->tasks->idle());
    REQUIRE_FALSE(all.agents[0]->runtime.runs(job.id));
    REQUIRE(all.reserve(1, all.makeAttempt("other", 2, 1)).state == reservation_state::Refused);
}
