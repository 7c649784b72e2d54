#include "mocks.hpp"

#include <oriole/agent/forwarder.hpp>

#include <catch2/catch.hpp>

using namespace oriole;
using namespace std::chrono_literals;

namespace {

struct forwarding {
    forwarding()
    {
        backend.answerProbes(http_reply { 200, {}, "" });
        hear(false);
    }

    void hear(bool out)
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

    void pass(milliseconds duration) { timers.advance(timers.now() + duration); }

    timer_service timers { time_point {} + 1h };
    mocks::backend backend;
    agent_view view { "fd1" };
    rpc::control_view controlView { 0, true, false, {}, { 0, {} }, nullptr };
    forwarder requests { "column", 2, 4, timers, backend, view };
    std::vector<std::pair<std::string, result<http_reply>>> answers;
};

} // namespace

TEST_CASE("requests beyond the slots wait, those beyond the connections are busy")
{
    forwarding all;
    for (const auto* id : { "1", "2", "3", "4", "5" })
        all.dispatch(id);
    REQUIRE(all.backend.sent.size() == 2);
    REQUIRE(all.requests.queued() == 2);
    REQUIRE(all.answers.size() == 1);
    REQUIRE(all.answers[0].second.error().kind == failure_kind::Overloaded);
    REQUIRE(all.answers[0].second.error().ran == verdict::NotRun);

    all.backend.waiting.front()(http_reply { 200, {}, "first" });
    REQUIRE(all.backend.sent.size() == 3);
    REQUIRE(all.backend.sent[2].headers.at("Orioleway-Request-Id") == "3");
    REQUIRE(all.answers[1].first == "1");
    REQUIRE(all.answers[1].second.value().body == "first");
}

TEST_CASE("a deadline that passes in the queue is a timeout that has not run")
{
    forwarding all;
    all.dispatch("1", 5000ms);
    all.dispatch("2", 5000ms);
    all.dispatch("3", 100ms);
    all.pass(200ms);
    REQUIRE(all.answers.size() == 1);
    REQUIRE(all.answers[0].second.error().kind == failure_kind::Timeout);
    REQUIRE(all.answers[0].second.error().ran == verdict::NotRun);
    REQUIRE(all.backend.sent.size() == 2);
}

TEST_CASE("a domain that goes out refuses queued requests as not run and lets running ones finish")
{
    forwarding all;
    for (const auto* id : { "1", "2", "3" })
        all.dispatch(id);
    all.hear(true);
    all.dispatch("4");
    all.pass(30ms);
    REQUIRE(all.answers.size() == 2);
    for (const auto& [id, answer] : all.answers)
        REQUIRE(answer.error().ran == verdict::NotRun);
    all.backend.waiting.front()(http_reply { 200, {}, "" });
    REQUIRE(all.answers[2].second.has_value());
    REQUIRE(all.backend.sent.size() == 2);
}

TEST_CASE("a planned stop refuses new requests and finishes queued ones")
{
    forwarding all;
    for (const auto* id : { "1", "2", "3" })
        all.dispatch(id);
    all.view.setLeaving();
    all.dispatch("4");
    REQUIRE(all.answers.size() == 1);
    REQUIRE(all.answers[0].first == "4");
    all.backend.waiting.front()(http_reply { 200, {}, "" });
    REQUIRE(all.backend.sent.size() == 3);
}

TEST_CASE("an unhealthy backend server gets nothing")
{
    forwarding all;
    all.pass(1001ms);
    all.backend.answerProbes(mayHaveRun(failure_kind::Timeout, "late once"));
    REQUIRE(all.requests.backendHealthy());
    all.hear(false);
    all.pass(1001ms);
    all.backend.answerProbes(notRun(failure_kind::Unavailable, "refused"));
    REQUIRE_FALSE(all.requests.backendHealthy());
    all.dispatch("1");
    REQUIRE(all.answers.at(0).second.error().ran == verdict::NotRun);
    REQUIRE(all.backend.sent.empty());
}
