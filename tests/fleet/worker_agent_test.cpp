#include "agent_fixture.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <stdexcept>

using namespace fleet;
using namespace fleet::test;

// A scheduler orders again what its predecessor recorded and the worker does not list. A report from before the take-over may
// lack a run that the predecessor ordered meanwhile.
TEST_CASE("after a take-over nothing that was polled before it counts as the worker's state", "[agent][take-over]")
{
    agent_fixture fixture;
    REQUIRE(fixture.link->reports.back().responsive);
    auto next = std::make_shared<fake_link>();
    REQUIRE(fixture.agent.attach({ 6, 1 }, next));
    SECTION("a draining heartbeat is reported before the next poll is answered")
    {
        fixture.heartbeat.worker.draining = true;
        ++fixture.heartbeat.sequence;
        fixture.agent.handleHeartbeat(fixture.heartbeat);
        REQUIRE(next->reports.size() == 1);
        CHECK_FALSE(next->reports.back().responsive);
    }
    SECTION("the first poll fails")
    {
        fixture.record.polls.back().second(oriole::mayHaveRun(oriole::failure_kind::Timeout, "no answer"));
        REQUIRE(next->reports.size() == 1);
        CHECK_FALSE(next->reports.back().responsive);
    }
    fixture.advance(300);
    CHECK(fixture.record.polls.back().first.fence == tokenOf({ 6, 1 }));
    fixture.answerPoll({ { fixture.run, {}, 10 } });
    CHECK(next->reports.back().responsive);
    CHECK(next->reports.back().active.size() == 1);
}

TEST_CASE("a start that was retried after a time-out is never reported as refused", "[agent]")
{
    agent_fixture fixture;
    CHECK(fixture.start({ accepted }) == start_outcome::Accepted);
    CHECK(fixture.start({ refused }) == start_outcome::Refused);
    CHECK(fixture.start({ timedOut, accepted }) == start_outcome::Accepted);
    CHECK(fixture.start({ timedOut, refused }) == start_outcome::Unknown);
    CHECK(fixture.start({ timedOut, timedOut, timedOut }) == start_outcome::Unknown);
}

TEST_CASE("a start is refused for a lower epoch, without permission or on a draining worker", "[agent]")
{
    agent_fixture fixture;
    CHECK(fixture.start({}, 4) == start_outcome::Refused);
    SECTION("the scheduler has not confirmed a report within the permission period")
    {
        fixture.link->answers = false;
        fixture.advance(4100);
        CHECK(fixture.start({}) == start_outcome::Refused);
    }
    SECTION("the worker is draining")
    {
        auto leaving = fixture.heartbeat;
        leaving.worker.draining = true;
        leaving.sequence = 2;
        fixture.agent.handleHeartbeat(leaving);
        CHECK(fixture.start({}) == start_outcome::Refused);
        CHECK(fixture.link->reports.back().worker.draining);
    }
    SECTION("a scheduler with a lower epoch attaches")
    {
        CHECK_FALSE(fixture.agent.attach({ 4, 1 }, fixture.link));
        CHECK(fixture.start({ accepted }) == start_outcome::Accepted);
    }
    CHECK(fixture.record.starts.size() <= 1);
}

TEST_CASE("the lease is extended only while the scheduler confirms reports", "[agent]")
{
    agent_fixture fixture;
    CHECK(fixture.record.polls.back().first.deadlineMs);
    fixture.link->answers = false;
    for (int i = 0; i < 6; ++i) {
        fixture.advance(800);
        fixture.answerPoll();
    }
    CHECK_FALSE(fixture.record.polls.back().first.deadlineMs);
}

TEST_CASE("a stop reports a run as absent only after a poll sent after the worker's response", "[agent]")
{
    agent_fixture fixture;
    std::optional<stop_outcome> outcome;
    fixture.agent.stop(5, fixture.heartbeat.worker.incarnation, fixture.run, [&](stop_outcome reported) { outcome = reported; });
    const auto before = fixture.record.polls.size();
    const auto inFlight = fixture.record.polls.back().second;
    fixture.record.stops.back().second(true);
    CHECK(fixture.record.polls.size() == before + 1);
    inFlight(poll_response { {}, 1000, {}, {} });
    CHECK_FALSE(outcome);
    SECTION("the poll does not list the run: absent")
    {
        fixture.answerPoll();
        CHECK(outcome == stop_outcome::Absent);
    }
    SECTION("the poll lists the run: it is ending")
    {
        fixture.answerPoll({ { fixture.run, {}, 10 } });
        CHECK(outcome == stop_outcome::Ending);
    }
    SECTION("the poll's list of ends is truncated: the run may be among those left out")
    {
        const auto answerTruncated = [&] {
            const auto done = fixture.record.polls.back().second;
            poll_response list { {}, 1000, {}, { { 1, { { "other", 0, 0, 0 }, 1 }, run_outcome::Done, {} } } };
            list.endsTruncated = true;
            done(list);
            fixture.advance(100);
        };
        answerTruncated();
        CHECK_FALSE(outcome);
        CHECK(fixture.link->reports.back().endsTruncated);
        SECTION("the whole list follows")
        {
            fixture.answerPoll({}, { { 501, fixture.run, run_outcome::Done, {} } });
            CHECK(outcome == stop_outcome::Ending);
        }
        SECTION("it does not follow in time")
        {
            for (int i = 0; i < 31; ++i)
                answerTruncated();
            CHECK(outcome == stop_outcome::Unanswered);
        }
    }
    SECTION("the worker does not answer: the stop is sent again")
    {
        std::optional<stop_outcome> second;
        fixture.agent.stop(5, fixture.heartbeat.worker.incarnation, fixture.run, [&](stop_outcome reported) { second = reported; });
        const auto asked = fixture.record.stops.size();
        const auto done = fixture.record.stops.back().second;
        done(oriole::mayHaveRun(oriole::failure_kind::Timeout, "no answer"));
        fixture.advance(200);
        CHECK(fixture.record.stops.size() == asked + 1);
        CHECK_FALSE(second);
    }
}

TEST_CASE("ended runs are reported until they are acknowledged", "[agent]")
{
    agent_fixture fixture;
    fixture.advance(10);
    fixture.answerPoll({}, { { 1, fixture.run, run_outcome::Done, {} } });
    CHECK(fixture.link->reports.back().ended.size() == 1);
    fixture.advance(100);
    CHECK(fixture.record.polls.back().first.acknowledgedUpTo == 0);
    fixture.agent.acknowledge(5, { "another", 9 }, 1);
    fixture.answerPoll({}, { { 1, fixture.run, run_outcome::Done, {} } });
    fixture.advance(100);
    CHECK(fixture.record.polls.back().first.acknowledgedUpTo == 0);
    fixture.agent.acknowledge(5, fixture.heartbeat.worker.incarnation, 1);
    fixture.answerPoll({}, { { 1, fixture.run, run_outcome::Done, {} } });
    fixture.advance(100);
    CHECK(fixture.record.polls.back().first.acknowledgedUpTo == 1);
}

TEST_CASE("out-of-order heartbeats and earlier incarnations are rejected; a new incarnation resets the agent", "[agent]")
{
    agent_fixture fixture;
    auto late = fixture.heartbeat;
    late.sequence = 0;
    CHECK_FALSE(fixture.agent.handleHeartbeat(late));
    auto older = fixture.heartbeat;
    older.worker.incarnation.startedUnixMs = 0;
    older.sequence = 50;
    CHECK_FALSE(fixture.agent.handleHeartbeat(older));
    auto restarted = fixture.heartbeat;
    restarted.worker.incarnation.startedUnixMs = 2;
    restarted.sequence = 1;
    CHECK(fixture.agent.handleHeartbeat(restarted));
    fixture.answerPoll();
    CHECK(fixture.start({}) == start_outcome::Refused);
    std::optional<stop_outcome> outcome;
    const auto stopEarlierRun = [&] {
        fixture.agent.stop(
            5, fixture.heartbeat.worker.incarnation, fixture.run, [&](stop_outcome reported) { outcome = reported; });
    };
    stopEarlierRun();
    CHECK(outcome == stop_outcome::Unanswered);
    fixture.advance(leaseMs + 300);
    stopEarlierRun();
    REQUIRE(fixture.record.stops.size() == 1);
    fixture.record.stops.back().second(true);
    fixture.answerPoll();
    CHECK(outcome == stop_outcome::Absent);
}

TEST_CASE("a worker is gone once the lease of everything on it has expired, however its polls fail", "[agent][lost-worker]")
{
    agent_fixture fixture;
    const auto kind = GENERATE(oriole::failure_kind::NotFound, oriole::failure_kind::Timeout, oriole::failure_kind::Unavailable);
    const auto failFor = [&](int ms) {
        for (int passed = 0; passed < ms; passed += 300) {
            const auto done = fixture.record.polls.back().second;
            done(oriole::notRun(kind, "no answer"));
            fixture.advance(300);
        }
    };
    int boundMs = leaseMs;
    SECTION("an earlier process of the agent may have extended the lease, also by the clock of an earlier incarnation") { boundMs = longestLeaseMs; }
    SECTION("this process extended it with its last poll")
    {
        fixture.outlastEarlierProcesses();
        REQUIRE(fixture.record.polls.back().first.deadlineMs);
    }
    failFor(boundMs);
    CHECK_FALSE(fixture.link->reports.back().responsive);
    CHECK_FALSE(fixture.link->reports.back().gone);
    failFor(900);
    CHECK(fixture.link->reports.back().gone);
    for (std::size_t i = 1; i <= 10; ++i)
        CHECK_FALSE(fixture.record.polls.at(fixture.record.polls.size() - i).first.deadlineMs);
}

// Guards against a second run beside the first: two refused connections in a row made the scheduler count all runs of a living
// worker as lost.
TEST_CASE("a worker that can't be reached for a moment is not reported as gone", "[agent][lost-worker]")
{
    agent_fixture fixture;
    fixture.answerPoll({ { fixture.run, {}, 10 } });
    const auto failure = GENERATE(as<result<poll_response>> {},
        oriole::notRun(oriole::failure_kind::NotFound, "connection refused"),
        oriole::notRun(oriole::failure_kind::NotFound, "another incarnation of the worker"),
        poll_response { { {}, 7 }, 1000, {}, {} });
    for (int i = 0; i < 4; ++i) {
        const auto done = fixture.record.polls.back().second;
        done(failure);
        fixture.advance(300);
    }
    fixture.answerPoll({ { fixture.run, {}, 12 } });
    for (const auto& report : fixture.link->reports) {
        CHECK_FALSE(report.gone);
        CHECK(report.worker.incarnation == fixture.heartbeat.worker.incarnation);
    }
    CHECK(fixture.link->reports.back().responsive);
    CHECK(fixture.link->reports.back().active.size() == 1);
}

// A heartbeat of another writer can name an address that no client can be made for.
TEST_CASE("a heartbeat that can't be served changes nothing, and the worker's next one is taken", "[agent]")
{
    oriole::timer_service timers { test::start };
    runtime_record record;
    worker_agent agent(
        timers, [&] { return timers.now(); }, {}, [&](const worker_heartbeat& heartbeat) {
        if (heartbeat.address == "bad")
            throw std::invalid_argument("not an IPv4 address");
        return std::make_unique<fake_runtime>(record); });
    auto heartbeat = agent_fixture::makeHeartbeat();
    REQUIRE(agent.handleHeartbeat(heartbeat));
    record.polls.back().second(poll_response { {}, 1000, {}, {} });
    auto foreign = heartbeat;
    foreign.worker.incarnation.startedUnixMs += 1000;
    foreign.address = "bad";
    CHECK_FALSE(agent.handleHeartbeat(foreign));
    ++heartbeat.sequence;
    CHECK(agent.handleHeartbeat(heartbeat));
}

// Guards against a second run beside the first: the scheduler counted all runs of a worker as lost once a heartbeat of
// another writer had named another incarnation.
TEST_CASE("a heartbeat displaces no incarnation until the worker has confirmed it", "[agent][incarnation]")
{
    agent_fixture fixture;
    fixture.answerPoll({ { fixture.run, {}, 10 } });
    const auto reportsBefore = fixture.link->reports.size();
    auto foreign = fixture.heartbeat;
    foreign.worker.incarnation = { "i-foreign", 1001 };
    foreign.worker.service = "unknown";
    foreign.address = "127.0.0.1:2";
    foreign.sequence = 4;
    fixture.agent.handleHeartbeat(foreign);
    const auto probe = fixture.record.polls.back();
    const auto isPresent = [&] { return fixture.link->reports.back().worker == fixture.heartbeat.worker; };
    SECTION("nothing listens at its address")
    {
        probe.second(oriole::notRun(oriole::failure_kind::NotFound, "connection refused"));
    }
    SECTION("another worker listens at its address")
    {
        probe.second(oriole::notRun(oriole::failure_kind::NotFound, "another life of the backend server"));
    }
    SECTION("the answer gives another start time")
    {
        probe.second(poll_response { { {}, 7 }, 1000, {}, {} });
    }
    SECTION("its address does not answer") { }
    SECTION("another address answers for it while the present incarnation still answers")
    {
        probe.second(poll_response { { {}, 1001 }, 1000, {}, {} });
    }
    CHECK_FALSE(probe.first.deadlineMs);
    CHECK(probe.first.acknowledgedUpTo == 0);
    CHECK(fixture.link->reports.size() == reportsBefore);
    ++fixture.heartbeat.sequence;
    CHECK(fixture.agent.handleHeartbeat(fixture.heartbeat));
    CHECK(fixture.start({ accepted }) == start_outcome::Accepted);
    fixture.heartbeat.worker.draining = true;
    ++fixture.heartbeat.sequence;
    CHECK(fixture.agent.handleHeartbeat(fixture.heartbeat));
    fixture.agent.handleDeregistration(fixture.heartbeat.worker.incarnation.instance);
    CHECK(isPresent());
    CHECK(fixture.start({}) == start_outcome::Refused);
}

TEST_CASE("a confirmed incarnation takes the place of one that has ended", "[agent][incarnation]")
{
    agent_fixture fixture;
    fixture.outlastEarlierProcesses();
    auto next = fixture.heartbeat;
    next.worker.incarnation = { "i-next", 1001 };
    const auto propose = [&] {
        ++next.sequence;
        fixture.agent.handleHeartbeat(next);
        const auto probe = fixture.record.polls.back().second;
        probe(poll_response { { {}, 1001 }, 5000, {}, {} });
    };
    const auto requireReplaced = [&] {
        const auto list = fixture.record.polls.back();
        CHECK(list.first.deadlineMs == 5000 + leaseMs);
        list.second(poll_response { { {}, 1001 }, 5001, {}, {} });
        CHECK(fixture.link->reports.back().worker == next.worker);
        CHECK(fixture.link->reports.back().responsive);
    };
    SECTION("at the same address; what the earlier one ran may go on until its lease has expired")
    {
        propose();
        requireReplaced();
        CHECK(fixture.link->reports.back().othersMayRun);
        fixture.advance(leaseMs + 300);
        fixture.answerPoll();
        CHECK_FALSE(fixture.link->reports.back().othersMayRun);
    }
    SECTION("at another address, once the lease of the present one has expired")
    {
        next.address = "127.0.0.1:2";
        propose();
        auto unanswered = fixture.record.polls.at(fixture.record.polls.size() - 2).second;
        for (int i = 0; i <= leaseMs / 300; ++i) {
            unanswered(oriole::notRun(oriole::failure_kind::NotFound, "connection refused"));
            if (i == leaseMs / 300 - 2)
                propose();
            CHECK(fixture.link->reports.back().worker.incarnation == fixture.heartbeat.worker.incarnation);
            fixture.advance(300);
            unanswered = fixture.record.polls.back().second;
        }
        unanswered(oriole::notRun(oriole::failure_kind::NotFound, "connection refused"));
        REQUIRE(fixture.link->reports.back().gone);
        propose();
        requireReplaced();
        CHECK_FALSE(fixture.link->reports.back().othersMayRun);
    }
}

TEST_CASE("an incarnation that answers at another address keeps its runs and its ends", "[agent][incarnation]")
{
    agent_fixture fixture;
    fixture.agent.acknowledge(5, fixture.heartbeat.worker.incarnation, 3);
    fixture.heartbeat.address = "127.0.0.1:2";
    ++fixture.heartbeat.sequence;
    CHECK(fixture.agent.handleHeartbeat(fixture.heartbeat));
    fixture.answerPoll({ { fixture.run, {}, 10 } });
    CHECK(fixture.record.polls.back().first.acknowledgedUpTo == 3);
    fixture.answerPoll({ { fixture.run, {}, 10 } });
    CHECK(fixture.link->reports.back().active.size() == 1);
    CHECK(fixture.start({ accepted }) == start_outcome::Accepted);
}

// Before it is attached, a restarted agent knows no epoch, and a worker that has seen one answers none of its polls.
TEST_CASE("a restarted agent confirms its worker under the epoch of the scheduler that attaches", "[agent][incarnation]")
{
    oriole::timer_service timers { test::start };
    runtime_record record;
    worker_agent agent(
        timers, [&] { return timers.now(); }, {}, [&](const worker_heartbeat&) { return std::make_unique<fake_runtime>(record); });
    auto link = std::make_shared<fake_link>();
    agent.handleHeartbeat(agent_fixture::makeHeartbeat());
    record.polls.back().second(oriole::notRun(oriole::failure_kind::Unavailable, "hold answered 409"));
    agent.handleDeregistration("");
    CHECK(agent.attach({ 5, 1 }, link));
    CHECK(link->reports.empty());
    CHECK(record.polls.back().first.fence == tokenOf({ 5, 1 }));
    for (int i = 0; i < 2; ++i) {
        const auto done = record.polls.back().second;
        done(poll_response { { {}, 1 }, 1000, {}, {} });
    }
    CHECK(link->reports.back().responsive);
}

TEST_CASE("a heartbeat that describes the present incarnation differently is taken only when it is repeated", "[agent][incarnation]")
{
    agent_fixture fixture;
    auto foreign = fixture.heartbeat;
    foreign.worker.service = "unknown";
    foreign.sequence = 900;
    CHECK_FALSE(fixture.agent.handleHeartbeat(foreign));
    CHECK_FALSE(fixture.agent.handleHeartbeat(foreign));
    ++fixture.heartbeat.sequence;
    CHECK(fixture.agent.handleHeartbeat(fixture.heartbeat));
    CHECK_FALSE(fixture.agent.handleHeartbeat(foreign));
    CHECK_FALSE(fixture.agent.handleHeartbeat(foreign));
    CHECK(fixture.agent.handleHeartbeat(foreign));
    CHECK(fixture.link->reports.back().worker.service == "unknown");
}

// Guards against a second run: a start order that a cut had held up arrived after the task had been started elsewhere.
// Guards against a worker that counts as leaving for good after one heartbeat of another writer (review/12).
TEST_CASE("a sequence that another writer has set does not shut out the worker for longer than a call may be late", "[agent][foreign-sequence]")
{
    agent_fixture fixture;
    auto foreign = fixture.heartbeat;
    foreign.sequence = 100'000;
    foreign.worker.draining = true;
    REQUIRE(fixture.agent.handleHeartbeat(foreign));
    const auto beatsUntilTaken = [&] {
        for (int beats = 1; beats <= 20; ++beats) {
            fixture.advance(1500);
            ++fixture.heartbeat.sequence;
            if (fixture.agent.handleHeartbeat(fixture.heartbeat))
                return beats;
        }
        return 0;
    };
    SECTION("the worker's own heartbeats go on")
    {
        // More than 12 s of them.
        CHECK(beatsUntilTaken() == 10);
        fixture.answerPoll();
        CHECK_FALSE(fixture.link->reports.back().worker.draining);
    }
    SECTION("heartbeats that were held up come again and again")
    {
        for (int i = 0; i < 20; ++i) {
            fixture.advance(1500);
            CHECK_FALSE(fixture.agent.handleHeartbeat(fixture.heartbeat));
        }
    }
    SECTION("the other writer goes on")
    {
        for (int i = 0; i < 10; ++i) {
            fixture.advance(1500);
            ++fixture.heartbeat.sequence;
            CHECK_FALSE(fixture.agent.handleHeartbeat(fixture.heartbeat));
            ++foreign.sequence;
            CHECK(fixture.agent.handleHeartbeat(foreign));
        }
        CHECK(beatsUntilTaken() == 10);
    }
}

TEST_CASE("an order or attachment that was held up on a replaced connection changes nothing", "[agent][attachment]")
{
    agent_fixture fixture;
    auto next = std::make_shared<fake_link>();
    REQUIRE(fixture.agent.attach({ 5, 2 }, next));
    fixture.answerPoll();
    std::vector<std::pair<start_outcome, std::string>> outcomes;
    const auto order = [&](std::uint64_t attachment) {
        fixture.agent.start({ 5, attachment }, fixture.heartbeat.worker.incarnation, { fixture.run, "text", "" },
            [&](start_outcome outcome, const std::string& reason) { outcomes.emplace_back(outcome, reason); });
    };
    order(1);
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0] == std::pair(start_outcome::Refused, std::string("the connection was replaced")));
    CHECK(fixture.record.starts.empty());
    CHECK_FALSE(fixture.agent.attach({ 5, 1 }, fixture.link));
    order(2);
    CHECK(fixture.record.starts.size() == 1);
}

// The stop was confirmed by the earlier incarnation; the list of another one does not show that its run has ended.
TEST_CASE("another incarnation's list does not complete a stop of an earlier one", "[agent][lost-worker]")
{
    agent_fixture fixture;
    std::optional<stop_outcome> outcome;
    fixture.agent.stop(5, fixture.heartbeat.worker.incarnation, fixture.run, [&](stop_outcome reported) { outcome = reported; });
    REQUIRE(fixture.record.stops.size() == 1);
    const auto confirm = fixture.record.stops.back().second;
    const bool confirmedBefore = GENERATE(true, false);
    if (confirmedBefore)
        confirm(true);
    REQUIRE_FALSE(outcome);
    auto next = fixture.heartbeat;
    next.worker.incarnation = { "i-next", 1001 };
    ++next.sequence;
    fixture.agent.handleHeartbeat(next);
    const auto probe = fixture.record.polls.back().second;
    probe(poll_response { { {}, 1001 }, 5000, {}, {} });
    if (!confirmedBefore)
        confirm(true);
    const auto list = fixture.record.polls.back().second;
    list(poll_response { { {}, 1001 }, 5001, {}, {} });
    REQUIRE(fixture.link->reports.back().worker.incarnation == next.worker.incarnation);
    REQUIRE(fixture.link->reports.back().othersMayRun);
    CHECK(outcome != stop_outcome::Absent);
}

// The scheduler ends all runs on such a report, also one whose order is under way.
TEST_CASE("no start is accepted after a report that the worker is gone until it answers", "[agent][lost-worker]")
{
    agent_fixture fixture;
    auto link = std::make_shared<slow_link>();
    fixture.agent.attach({ 5, 1 }, link);
    for (int i = 0; i < 40; ++i) {
        fixture.answerPoll();
        fixture.advance(300);
    }
    fixture.answerPoll();
    REQUIRE(link->reports.back().responsive);
    REQUIRE_FALSE(link->reports.back().gone);
    const auto answered = link->handlers.back();
    const auto poll = fixture.record.polls.back().second;
    poll(oriole::notRun(oriole::failure_kind::NotFound, "connection refused"));
    REQUIRE(link->reports.back().gone);
    answered(true);
    std::optional<start_outcome> outcome;
    fixture.agent.start({ 5, 1 }, fixture.heartbeat.worker.incarnation, { fixture.run, "text", "" },
        [&](start_outcome reported, const std::string&) { outcome = reported; });
    CHECK(fixture.record.starts.empty());
    CHECK(outcome == start_outcome::Refused);
}

// A worker that is started again under its id counts its clock anew, so that a deadline of before exceeds every lease there:
// the worker shortens it to the longest lease (10 s in one of the deployments).
TEST_CASE("a deadline that reaches a restarted worker of the same id may last for the longest lease", "[agent][lost-worker]")
{
    agent_fixture fixture;
    const auto answer = [&](std::int64_t born, std::int64_t clock) {
        const auto done = fixture.record.polls.back().second;
        done(poll_response { { {}, born }, clock, {}, {} });
    };
    const auto born = fixture.heartbeat.worker.incarnation.startedUnixMs;
    answer(born, 500'000);
    REQUIRE(fixture.record.polls.back().first.deadlineMs == 500'000 + leaseMs);
    const bool taken = GENERATE(false, true);
    // The restarted worker has carried out the poll, and with it the deadline.
    answer(born + 1, 5);
    if (taken) {
        ++fixture.heartbeat.worker.incarnation.startedUnixMs;
        ++fixture.heartbeat.sequence;
        fixture.agent.handleHeartbeat(fixture.heartbeat);
        answer(born + 1, 6);
        answer(born + 1, 7);
        REQUIRE(fixture.link->reports.back().worker.incarnation.startedUnixMs == born + 1);
    }
    for (int passed = 0; passed < longestLeaseMs - 300; passed += 300) {
        const auto done = fixture.record.polls.back().second;
        done(oriole::notRun(oriole::failure_kind::NotFound, "connection refused"));
        fixture.advance(300);
    }
    for (const auto& report : fixture.link->reports)
        CHECK_FALSE(report.gone);
}

// Guards against runs that stay in the scheduler's tables for good: each answer moved the end of the lease.
TEST_CASE("a worker that answers under another start time and sends no heartbeat is gone once every lease has expired", "[agent][lost-worker]")
{
    // The longest lease counts from the second answer, which excludes earlier calls.
    constexpr int boundMs = longestLeaseMs + 300;
    constexpr int marginMs = 600;
    agent_fixture fixture;
    for (int passed = 0; passed < boundMs + marginMs; passed += 300) {
        const auto done = fixture.record.polls.back().second;
        done(poll_response { { {}, 7 }, 1000, {}, {} });
        fixture.advance(300);
        if (passed < boundMs - marginMs)
            CHECK_FALSE(fixture.link->reports.back().gone);
    }
    CHECK(fixture.link->reports.back().gone);
}
