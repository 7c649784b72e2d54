#include "mocks.hpp"

#include <oriole/agent/forwarder.hpp>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace std::chrono_literals;

namespace {

struct forwarder_fixture {
    forwarder_fixture()
    {
        backend.answerProbes(http_reply { 200, {}, "" });
        setDomainOut(false);
    }

    void setDomainOut(bool out)
    {
        controlView.failureDomains.revision += 1;
        controlView.failureDomains.out = out ? std::set<std::string> { "fd1" } : std::set<std::string> {};
        view.apply(controlView, timers.now());
    }

    void dispatch(const std::string& id, milliseconds deadline = 1000ms)
    {
        requests.dispatch({ id, "org", "column", false, deadline, "", "" },
            [this, id](const result<http_reply>& reply) { answers.emplace_back(id, reply); });
    }

    void advanceTime(milliseconds duration) { timers.advance(timers.now() + duration); }

    timer_service timers { time_point {} + 1h };
    mocks::backend backend;
    agent_view view { "fd1" };
    rpc::control_view controlView { 0, true, false, {}, { 0, {} }, nullptr };
    forwarder requests { "column", 2, 4, timers, backend, view };
    std::vector<std::pair<std::string, result<http_reply>>> answers;
};

} // namespace

TEST_CASE("requests beyond the slots are queued, and those beyond the connections are refused as overloaded")
{
    forwarder_fixture fixture;
    for (const auto* id : { "1", "2", "3", "4", "5" })
        fixture.dispatch(id);
    REQUIRE(fixture.backend.sent.size() == 2);
    REQUIRE(fixture.requests.queued() == 2);
    REQUIRE(fixture.answers.size() == 1);
    REQUIRE(fixture.answers[0].second.error().kind == failure_kind::Overloaded);
    REQUIRE(fixture.answers[0].second.error().ran == verdict::NotRun);

    fixture.backend.waiting.front()(http_reply { 200, {}, "first" });
    REQUIRE(fixture.backend.sent.size() == 3);
    REQUIRE(fixture.backend.sent[2].headers.at("Orioleway-Request-Id") == "3");
    REQUIRE(fixture.answers[1].first == "1");
    REQUIRE(fixture.answers[1].second.value().body == "first");
}

TEST_CASE("a request whose deadline passes in the queue is answered with a time-out and not-run")
{
    forwarder_fixture fixture;
    fixture.dispatch("1", 5000ms);
    fixture.dispatch("2", 5000ms);
    fixture.dispatch("3", 100ms);
    fixture.advanceTime(200ms);
    REQUIRE(fixture.answers.size() == 1);
    REQUIRE(fixture.answers[0].second.error().kind == failure_kind::Timeout);
    REQUIRE(fixture.answers[0].second.error().ran == verdict::NotRun);
    REQUIRE(fixture.backend.sent.size() == 2);
}

TEST_CASE("when the failure domain goes out, queued requests are refused as not-run and running ones finish")
{
    forwarder_fixture fixture;
    for (const auto* id : { "1", "2", "3" })
        fixture.dispatch(id);
    fixture.setDomainOut(true);
    fixture.dispatch("4");
    fixture.advanceTime(30ms);
    REQUIRE(fixture.answers.size() == 2);
    for (const auto& [id, answer] : fixture.answers)
        REQUIRE(answer.error().ran == verdict::NotRun);
    fixture.backend.waiting.front()(http_reply { 200, {}, "" });
    REQUIRE(fixture.answers[2].second.has_value());
    REQUIRE(fixture.backend.sent.size() == 2);
}

TEST_CASE("a planned stop refuses new requests and finishes queued ones")
{
    forwarder_fixture fixture;
    for (const auto* id : { "1", "2", "3" })
        fixture.dispatch(id);
    fixture.view.setLeaving();
    fixture.dispatch("4");
    REQUIRE(fixture.answers.size() == 1);
    REQUIRE(fixture.answers[0].first == "4");
    fixture.backend.waiting.front()(http_reply { 200, {}, "" });
    REQUIRE(fixture.backend.sent.size() == 3);
}

TEST_CASE("requests are not sent to an unhealthy backend server")
{
    forwarder_fixture fixture;
    fixture.advanceTime(1001ms);
    fixture.backend.answerProbes(mayHaveRun(failure_kind::Timeout, "late once"));
    REQUIRE(fixture.requests.backendHealthy());
    fixture.setDomainOut(false);
    fixture.advanceTime(1001ms);
    fixture.backend.answerProbes(notRun(failure_kind::Unavailable, "refused"));
    REQUIRE_FALSE(fixture.requests.backendHealthy());
    fixture.dispatch("1");
    REQUIRE(fixture.answers.at(0).second.error().ran == verdict::NotRun);
    REQUIRE(fixture.backend.sent.empty());
}
