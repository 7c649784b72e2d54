#include "fleet.hpp"

using namespace oriole;
using oriole::mocks::fleet;
using namespace std::chrono_literals;

TEST_CASE("a task runs from reservation to its acknowledged end")
{
    fleet cluster(1);
    const auto job = cluster.makeAttempt("j", 1);
    cluster.start(job);
    cluster.advanceTime(100ms);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Running);
    REQUIRE(cluster.report(0, job.id).leads);

    cluster.agents[0]->runtime.endTask(job.id, runtime_state::Finished);
    cluster.advanceTime(500ms);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Finished);

    cluster.agents[0]->tasks->acknowledge({ job.id });
    REQUIRE(cluster.agents[0]->tasks->reports().empty());
    REQUIRE(cluster.agents[0]->runtime.forgotten.contains("org/j/1"));
    REQUIRE(cluster.agents[0]->tasks->idle());
}

TEST_CASE("no member of a gang starts before all are committed")
{
    fleet cluster(3);
    const auto job = cluster.makeAttempt("j", 3);
    for (unsigned i = 0; i < 3; ++i)
        REQUIRE(cluster.reserve(i, job).state == reservation_state::Accepted);
    cluster.agents[0]->tasks->commit(job.id, 1);
    cluster.agents[1]->tasks->commit(job.id, 1);
    cluster.advanceTime(1500ms);
    for (const auto& item : cluster.agents)
        REQUIRE_FALSE(item->runtime.runs(job.id));
    REQUIRE_FALSE(cluster.report(0, job.id).mayHaveRun);

    cluster.agents[2]->tasks->commit(job.id, 1);
    cluster.advanceTime(500ms);
    for (const auto& item : cluster.agents)
        REQUIRE(item->runtime.runs(job.id));

    // The gang is finished only when all its members are.
    cluster.agents[0]->runtime.endTask(job.id, runtime_state::Finished);
    cluster.agents[1]->runtime.endTask(job.id, runtime_state::Finished);
    cluster.advanceTime(1000ms);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Running);
    cluster.agents[2]->runtime.endTask(job.id, runtime_state::Finished);
    cluster.advanceTime(1000ms);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Finished);
}

TEST_CASE("a gang whose last member is never committed is released on all its workers and has not run")
{
    fleet cluster(2);
    const auto job = cluster.makeAttempt("j", 2);
    REQUIRE(cluster.reserve(0, job).state == reservation_state::Accepted);
    REQUIRE(cluster.reserve(1, job).state == reservation_state::Accepted);
    cluster.agents[0]->tasks->commit(job.id, 1);
    cluster.advanceTime(6000ms);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Released);
    REQUIRE(cluster.report(1, job.id).phase == task_phase::Released);
    REQUIRE_FALSE(cluster.report(0, job.id).mayHaveRun);
    REQUIRE(cluster.agents[0]->runtime.starts.empty());
}

TEST_CASE("when a member loses its connection, the gang ends on all workers once the lease has lapsed")
{
    fleet cluster(3);
    const auto job = cluster.makeAttempt("j", 3);
    cluster.start(job);
    cluster.advanceTime(500ms);
    REQUIRE(cluster.agents[2]->runtime.runs(job.id));

    cluster.isolate(2);
    cluster.advanceTime(5000ms);
    for (const auto& item : cluster.agents)
        REQUIRE_FALSE(item->runtime.runs(job.id));
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Lost);
    REQUIRE(cluster.report(2, job.id).phase == task_phase::Lost);
    REQUIRE(cluster.report(0, job.id).mayHaveRun);
}

TEST_CASE("a failed member ends its gang as failed, and counts as a failure on its own worker only")
{
    fleet cluster(2);
    const auto job = cluster.makeAttempt("j", 2);
    cluster.start(job);
    cluster.advanceTime(500ms);
    cluster.agents[1]->runtime.endTask(job.id, runtime_state::Failed);
    cluster.advanceTime(1500ms);
    REQUIRE_FALSE(cluster.agents[0]->runtime.runs(job.id));
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Failed);
    REQUIRE(cluster.report(1, job.id).phase == task_phase::Failed);
    REQUIRE(cluster.agents[0]->tasks->failuresInRow() == 0);
    REQUIRE(cluster.agents[1]->tasks->failuresInRow() == 1);
}

TEST_CASE("a guaranteed reservation evicts a borrowed gang with a checkpoint on all its workers")
{
    fleet cluster(2);
    const auto borrowed = cluster.makeAttempt("borrowed", 2);
    cluster.start(borrowed);
    cluster.advanceTime(500ms);

    auto guaranteed = cluster.makeAttempt("guaranteed", 2);
    guaranteed.allocations.erase(guaranteed.allocations.begin());
    guaranteed.guaranteed = true;
    REQUIRE(cluster.reserve(1, guaranteed, false).state == reservation_state::Refused);
    guaranteed.id.number = 2;
    REQUIRE(cluster.reserve(1, guaranteed, true).state == reservation_state::Accepted);
    cluster.advanceTime(1500ms);
    REQUIRE_FALSE(cluster.agents[0]->runtime.runs(borrowed.id));
    REQUIRE_FALSE(cluster.agents[1]->runtime.runs(borrowed.id));
    REQUIRE(cluster.report(0, borrowed.id).phase == task_phase::Evicted);
    REQUIRE(cluster.agents[0]->runtime.checkpoints.contains("org/borrowed/1"));
    REQUIRE(cluster.agents[1]->runtime.checkpoints.contains("org/borrowed/1"));
}

TEST_CASE("when the failure domain goes out before the start, the gang is released and no task starts")
{
    fleet cluster(2);
    const auto job = cluster.makeAttempt("j", 2);
    REQUIRE(cluster.reserve(0, job).state == reservation_state::Accepted);
    REQUIRE(cluster.reserve(1, job).state == reservation_state::Accepted);
    cluster.agents[0]->tasks->commit(job.id, 1);

    cluster.view.failureDomains = { 2, { "fd1" } };
    cluster.refreshViews();
    REQUIRE_FALSE(cluster.agents[1]->tasks->commit(job.id, 1).accepted);
    cluster.advanceTime(1000ms);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Released);
    REQUIRE_FALSE(cluster.report(0, job.id).mayHaveRun);
    REQUIRE(cluster.reserve(0, cluster.makeAttempt("other", 1)).state == reservation_state::Refused);
    REQUIRE(cluster.agents[0]->runtime.starts.empty());
    REQUIRE(cluster.agents[1]->runtime.starts.empty());
}

TEST_CASE("a stale control view prevents new starts")
{
    fleet cluster(2);
    const auto job = cluster.makeAttempt("j", 2);
    REQUIRE(cluster.reserve(0, job).state == reservation_state::Accepted);
    REQUIRE(cluster.reserve(1, job).state == reservation_state::Accepted);
    cluster.agents[0]->tasks->commit(job.id, 1);
    cluster.viewFresh = false;
    cluster.advanceTime(2100ms);
    REQUIRE_FALSE(cluster.agents[1]->tasks->commit(job.id, 1).accepted);
    REQUIRE(cluster.reserve(1, cluster.makeAttempt("other", 1)).reason == "stale control view");
    REQUIRE(cluster.agents[0]->runtime.starts.empty());
}

TEST_CASE("a start whose reply is lost may have run, and is not started twice")
{
    fleet cluster(1);
    const auto job = cluster.makeAttempt("j", 1);
    cluster.agents[0]->runtime.loseStartReplies = true;
    cluster.start(job);
    cluster.advanceTime(30ms);
    REQUIRE(cluster.report(0, job.id).mayHaveRun);
    const auto reports = cluster.release(0, job.id);
    REQUIRE(reports.at(0).mayHaveRun);
    REQUIRE(isTerminal(reports.at(0).phase));
    REQUIRE_FALSE(cluster.agents[0]->runtime.runs(job.id));
}

TEST_CASE("after the release of an unknown attempt, its late reservation is refused")
{
    fleet cluster(1);
    const auto job = cluster.makeAttempt("j", 1);
    const auto reports = cluster.release(0, job.id);
    REQUIRE_FALSE(reports.at(0).mayHaveRun);
    REQUIRE(cluster.reserve(0, job).state == reservation_state::Refused);
    REQUIRE_FALSE(cluster.agents[0]->tasks->commit(job.id, 1).accepted);
}

TEST_CASE("a restarted lead and a restarted member adopt their tasks, and the gang continues")
{
    fleet cluster(2);
    const auto job = cluster.makeAttempt("j", 2);
    cluster.start(job);
    cluster.advanceTime(500ms);
    cluster.agents[0]->restart(cluster.timers);
    cluster.advanceTime(1500ms);
    cluster.agents[1]->restart(cluster.timers);
    cluster.advanceTime(4000ms);
    REQUIRE(cluster.agents[0]->runtime.runs(job.id));
    REQUIRE(cluster.agents[1]->runtime.runs(job.id));

    cluster.agents[0]->runtime.endTask(job.id, runtime_state::Finished);
    cluster.agents[1]->runtime.endTask(job.id, runtime_state::Finished);
    cluster.advanceTime(2000ms);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Finished);
    REQUIRE(cluster.agents[0]->runtime.starts.at("org/j/1") == 1);
}

TEST_CASE("a task is lost if the runtime does not answer for a lease, and no renewals are sent without running tasks")
{
    fleet cluster(1);
    cluster.advanceTime(1000ms);
    REQUIRE(cluster.agents[0]->runtime.renewals == 0);
    const auto job = cluster.makeAttempt("j", 1);
    cluster.start(job);
    cluster.advanceTime(500ms);
    REQUIRE(cluster.agents[0]->runtime.renewals > 0);
    cluster.agents[0]->runtime.down = true;
    cluster.advanceTime(3500ms);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Evicting);
    cluster.advanceTime(4000ms);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Lost);
}

TEST_CASE("a task far over its declared memory is throttled, then evicted")
{
    fleet cluster(1);
    const auto job = cluster.makeAttempt("j", 1);
    cluster.start(job);
    cluster.advanceTime(300ms);
    auto& task = cluster.agents[0]->runtime.tasks.at("org/j/1").task;
    task.usedMemoryGb = 16;
    cluster.advanceTime(600ms);
    REQUIRE(cluster.agents[0]->runtime.throttled.size() == 1);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Running);
    task.usedMemoryGb = 25;
    cluster.advanceTime(1000ms);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Evicted);
    REQUIRE(cluster.agents[0]->runtime.checkpoints.contains("org/j/1"));
}

TEST_CASE("a leaving worker evicts its tasks and refuses reservations")
{
    fleet cluster(2);
    const auto job = cluster.makeAttempt("j", 2);
    cluster.start(job);
    cluster.advanceTime(500ms);
    cluster.agents[1]->view.setLeaving();
    cluster.agents[1]->tasks->evictAll(500ms, "worker is leaving");
    cluster.advanceTime(1500ms);
    REQUIRE(cluster.report(0, job.id).phase == task_phase::Evicted);
    REQUIRE(cluster.agents[1]->tasks->idle());
    REQUIRE_FALSE(cluster.agents[0]->runtime.runs(job.id));
    REQUIRE(cluster.reserve(1, cluster.makeAttempt("other", 2, 1)).state == reservation_state::Refused);
}
