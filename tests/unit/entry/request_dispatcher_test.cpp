#include <oriole/entry/request_dispatcher.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace std::chrono_literals;

namespace {

/// @brief Keeps what was dispatched; the test answers.
class recording_gateway : public oriole::agent_gateway {
public:
    struct sent_call {
        std::string worker;
        oriole::backend_call call;
        handler done;
    };

    void dispatch(const oriole::worker_info& worker, oriole::backend_call call, handler done) override
    {
        sent.push_back({ worker.name, std::move(call), std::move(done) });
        if (answerFirstAtOnce && sent.size() == 1)
            answer(0, 200, "");
    }

    void answer(std::size_t index, unsigned status, const std::string& body)
    {
        const auto done = sent.at(index).done;
        done({ sent.at(index).call.id, oriole::backend_answer { status, "text/plain", body } });
    }

    void fail(std::size_t index, const oriole::failure& error)
    {
        const auto done = sent.at(index).done;
        done({ sent.at(index).call.id, error });
    }

    std::vector<sent_call> sent;
    bool answerFirstAtOnce = false;
};

oriole::worker_info makeWorker(const std::string& name, const std::string& rack = "r1")
{
    oriole::worker_info worker;
    worker.name = name;
    worker.region = "praha";
    worker.failureDomain = "praha-1";
    worker.rack = rack;
    worker.service = "column";
    worker.slots = 8;
    worker.connections = 64;
    worker.incarnation = 1;
    return worker;
}

struct fixture {
    fixture()
    {
        for (const auto* name : { "w1", "w2", "w3", "w4" })
            routes.upsert(makeWorker(name));
    }

    static oriole::dispatcher_settings settings()
    {
        oriole::dispatcher_settings wanted;
        wanted.idPrefix = "e1";
        wanted.log = [](auto, auto, const auto&) {};
        return wanted;
    }

    void submit(bool repeatable = true)
    {
        oriole::request_submission submission;
        submission.organisation = "editors";
        submission.service = "column";
        submission.repeatable = repeatable;
        submission.timeout = 1000ms;
        submission.body = "licence";
        dispatcher.submit(submission, [this](oriole::request_outcome outcome) { outcomes.push_back(std::move(outcome)); });
    }

    void advance(oriole::milliseconds step) { timers.advance(timers.now() + step); }

    oriole::timer_service timers { oriole::time_point {} };
    oriole::metrics_registry metrics;
    oriole::worker_health health;
    oriole::router routes { { .region = "praha" }, health };
    recording_gateway gateway;
    oriole::request_dispatcher dispatcher { settings(), routes, health, gateway, timers, metrics };
    std::vector<oriole::request_outcome> outcomes;
};

const auto refused = oriole::notRun(oriole::failure_kind::Broken, "no connection");
const auto lost = oriole::mayHaveRun(oriole::failure_kind::Broken, "connection closed");
const auto full = oriole::notRun(oriole::failure_kind::Overloaded, "busy");

} // namespace

TEST_CASE("a request gets the backend server's answer")
{
    fixture f;
    f.submit();
    f.gateway.answer(0, 201, "granted");
    REQUIRE(f.outcomes.size() == 1);
    REQUIRE(f.outcomes[0].ran == oriole::verdict::Completed);
    REQUIRE(f.outcomes[0].status == 201);
    REQUIRE(f.outcomes[0].body == "granted");
}

TEST_CASE("a refused attempt is retried on another worker, also when unrepeatable")
{
    fixture f;
    f.submit(false);
    f.gateway.fail(0, refused);
    REQUIRE(f.gateway.sent.size() == 2);
    REQUIRE(f.gateway.sent[0].worker != f.gateway.sent[1].worker);
    REQUIRE(f.gateway.sent[1].call.id == "e1-1.2");
    f.gateway.answer(1, 200, "ok");
    REQUIRE(f.outcomes.at(0).ran == oriole::verdict::Completed);
}

TEST_CASE("an unrepeatable request is not sent again once it may have run")
{
    fixture f;
    f.submit(false);
    f.gateway.fail(0, lost);
    REQUIRE(f.gateway.sent.size() == 1);
    REQUIRE(f.outcomes.at(0).ran == oriole::verdict::MayHaveRun);
    REQUIRE(f.outcomes.at(0).status == 502);
}

TEST_CASE("a request whose attempt is outstanding at the deadline may have run")
{
    fixture f;
    f.submit();
    f.advance(1000ms);
    REQUIRE(f.outcomes.at(0).status == 504);
    REQUIRE(f.outcomes.at(0).ran == oriole::verdict::MayHaveRun);
    f.gateway.answer(0, 200, "late");
    REQUIRE(f.outcomes.size() == 1);
    REQUIRE(f.metrics.counter("oriole_request_replies_dropped_total", { { "why", "late" } }).value() == 1);
}

TEST_CASE("a reply with another attempt's id is dropped and its own attempt may have run")
{
    fixture f;
    f.submit(false);
    const auto done = f.gateway.sent.at(0).done;
    done({ "e1-9.1", refused });
    CHECK(f.outcomes.at(0).ran == oriole::verdict::MayHaveRun);
    CHECK(f.metrics.counter("oriole_request_replies_dropped_total", { { "why", "crossed" } }).value() == 1);
}

TEST_CASE("a request without a worker waits shortly and is then refused as not-run")
{
    fixture f;
    for (const auto* name : { "w1", "w2", "w3", "w4" })
        f.routes.remove(name);
    f.submit();
    CHECK(f.dispatcher.waiting() == 1);
    f.submit();
    f.routes.upsert(makeWorker("w5"));
    f.dispatcher.workersChanged();
    CHECK(f.gateway.sent.size() == 2);

    f.routes.remove("w5");
    f.submit();
    f.advance(250ms);
    REQUIRE(f.outcomes.size() == 1);
    CHECK(f.outcomes[0].status == 503);
    CHECK(f.outcomes[0].ran == oriole::verdict::NotRun);
    CHECK(f.outcomes[0].retryAfterMs > 0);
}

TEST_CASE("waiting requests are sent once when a worker answers within the dispatch call")
{
    fixture f;
    for (const auto* name : { "w1", "w2", "w3", "w4" })
        f.routes.remove(name);
    f.submit(false);
    f.submit(false);
    f.gateway.answerFirstAtOnce = true;
    f.routes.upsert(makeWorker("w5"));
    f.dispatcher.workersChanged();
    CHECK(f.gateway.sent.size() == 2);
}

TEST_CASE("an organisation over its limit of requests at once is refused")
{
    fixture f;
    oriole::configuration config;
    config.organisations.emplace_back();
    config.organisations[0].policy.name = "editors";
    config.organisations[0].requestsAtOnce = 1;
    f.dispatcher.configure(config);
    f.submit();
    f.submit();
    CHECK(f.outcomes.at(0).status == 429);
    CHECK(f.outcomes.at(0).ran == oriole::verdict::NotRun);
    f.gateway.answer(0, 200, "");
    f.submit();
    CHECK(f.gateway.sent.size() == 2);
}

TEST_CASE("a repeatable request leaves a worker that fell silent, within the limit of attempts")
{
    fixture f;
    f.submit();
    for (std::size_t attempt = 0; attempt < 3; ++attempt) {
        REQUIRE(f.gateway.sent.size() == attempt + 1);
        f.dispatcher.workerLost(f.gateway.sent[attempt].worker);
    }
    CHECK(f.gateway.sent.size() == 3);
    CHECK(f.outcomes.at(0).status == 502);
    CHECK(f.outcomes.at(0).attempts == 3);
}

TEST_CASE("a full worker is no failure and all refusals together are not-run")
{
    fixture f;
    f.submit();
    for (std::size_t attempt = 0; attempt < 3; ++attempt)
        f.gateway.fail(attempt, full);
    CHECK(f.outcomes.at(0).status == 503);
    CHECK(f.outcomes.at(0).ran == oriole::verdict::NotRun);
    CHECK(f.outcomes.at(0).retryAfterMs > 0);
}
