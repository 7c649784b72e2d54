#include "core_fixture.hpp"

#include <fleet/core/load_admission.hpp>
#include <fleet/core/objective.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>
#include <string>

using namespace fleet;
using namespace fleet::test;

namespace {

/// @brief A service of 100 accelerators, and work that waits.
struct load_fixture {
    load_fixture()
    {
        known.condition = known_backlog::state::Usable;
        known.record.epoch = 5;
        auto& sums = known.record.content.services[service];
        sums.capacity = { 1000, 100 };
        sums.freedPerSecond = { 100, 10 };
    }

    /// @brief Makes so many seconds of the service's capacity wait.
    void wait(unsigned priority, double seconds, const std::string& largest = "", double secondsOfLargest = 0)
    {
        known.record.content.services[service].waiting[priority]
            = { { 0, seconds * 100 }, largest, { 0, secondsOfLargest * 100 } };
    }

    load_decision decide() const { return decideLoad(known, { waiting, rule, organisation }); }
    load_verdict verdict() const { return decide().verdict; }

    known_backlog known;
    queue_rule rule = queue("q", 1, 3, 1000);
    /// Its objective is 13 s, so that a completion is of no use after 39 s.
    accepted_job waiting = job("0123456789abcdef", "q", { step(2, 1, 4000) });
    const organisation_rule* organisation = nullptr;
};

} // namespace

TEST_CASE("a job is refused only if it is too late beyond doubt", "[admission]")
{
    load_fixture fixture;
    CHECK(fixture.verdict() == load_verdict::Accepted);
    // Late, but of use.
    fixture.wait(1, 34);
    CHECK(fixture.verdict() == load_verdict::Accepted);
    // Run times may be half of what was declared.
    fixture.wait(1, 70);
    CHECK(fixture.verdict() == load_verdict::Uncertain);
    fixture.wait(1, 75);
    const auto decision = fixture.decide();
    CHECK(decision.verdict == load_verdict::Refused);
    CHECK(decision.wait == std::chrono::seconds(75));
    CHECK(decision.lastUseful == std::chrono::seconds(39));
    CHECK(decision.path == std::chrono::seconds(4));
    CHECK(decision.retryAfterSeconds >= 1);
}

TEST_CASE("only work that is placed before a job counts against it", "[admission]")
{
    load_fixture fixture;
    fixture.wait(2, 1000);
    CHECK(fixture.verdict() == load_verdict::Accepted);
    fixture.wait(0, 50);
    fixture.wait(1, 50);
    CHECK(fixture.verdict() == load_verdict::Refused);
    // Other organisations go before the one from which most of the work comes.
    fixture.wait(1, 50, "large", 45);
    fixture.waiting.organisation = "small";
    CHECK(fixture.verdict() == load_verdict::Uncertain);
    fixture.waiting.organisation = "large";
    CHECK(fixture.verdict() == load_verdict::Refused);
}

TEST_CASE("a job is accepted if the backlog can't be used", "[admission]")
{
    load_fixture fixture;
    fixture.wait(1, 1000);
    // Its scheduler was killed between two writes.
    fixture.known.age = std::chrono::milliseconds(8000);
    CHECK(fixture.verdict() == load_verdict::Refused);
    fixture.known.age = std::chrono::milliseconds(8001);
    CHECK(fixture.verdict() == load_verdict::OldBacklog);
    fixture.known.age = {};
    // No worker of the service is known.
    fixture.known.record.content.services[service].capacity = {};
    CHECK(fixture.verdict() == load_verdict::Uncertain);
    fixture.known.record.content.services.clear();
    CHECK(fixture.verdict() == load_verdict::Accepted);
    fixture.known.condition = known_backlog::state::Missing;
    CHECK(fixture.verdict() == load_verdict::NoBacklog);
    fixture.known.condition = known_backlog::state::Unreadable;
    CHECK(fixture.verdict() == load_verdict::UnreadableBacklog);
    fixture.known.condition = known_backlog::state::EarlierEpoch;
    CHECK(fixture.verdict() == load_verdict::EarlierEpoch);
}

TEST_CASE("work that may be within a guarantee is never refused for load", "[admission]")
{
    load_fixture fixture;
    fixture.rule.priority = 0;
    fixture.wait(0, 10'000);
    CHECK(fixture.verdict() == load_verdict::Refused);
    organisation_rule organisation { "o", {}, 2 };
    fixture.organisation = &organisation;
    CHECK(fixture.verdict() == load_verdict::WithinGuarantee);
    organisation.guaranteedAccelerators = 1;
    CHECK(fixture.verdict() == load_verdict::Refused);
    // Guarantees are for priority 0.
    organisation.guaranteedAccelerators = 2;
    fixture.rule.priority = 1;
    CHECK(fixture.verdict() == load_verdict::Refused);
}

TEST_CASE("jobs without a last useful moment are never refused for load", "[admission]")
{
    load_fixture fixture;
    fixture.wait(1, 10'000);
    SECTION("recurring") { fixture.waiting.spec.repeatCount = 3; }
    SECTION("a run time that is not declared") { fixture.waiting.spec.steps[0].runTimeMs = 0; }
    SECTION("lasting") { fixture.waiting.spec.steps[0].lasting = true; }
    CHECK(fixture.verdict() == load_verdict::Accepted);
}

TEST_CASE("callers are told to come back while a completion is still of use", "[admission]")
{
    rc::check([] {
        load_fixture fixture;
        fixture.rule.priority = *rc::gen::inRange(0U, 4U);
        fixture.rule.targetLatencyMs = *rc::gen::inRange(100, 20'000);
        fixture.waiting.spec.steps[0].runTimeMs = *rc::gen::inRange(100, 20'000);
        fixture.waiting.id = *rc::gen::arbitrary<std::string>();
        fixture.known.record.content.services[service].freedPerSecond = { 1, *rc::gen::inRange(0, 100) / 10.0 };
        fixture.wait(0, *rc::gen::inRange(1, 100'000));
        const auto decision = fixture.decide();
        if (decision.verdict != load_verdict::Refused)
            return RC_ASSERT(decision.retryAfterSeconds == 0U);
        const auto left = std::chrono::duration<double>(decision.lastUseful - decision.path).count();
        RC_ASSERT(decision.retryAfterSeconds >= 1U);
        RC_ASSERT(decision.retryAfterSeconds <= 30U);
        RC_ASSERT(decision.retryAfterSeconds <= std::max(2.0, left / 2 + 1));
    });
}

TEST_CASE("callers come back spread out, in the order of priority, then small jobs first", "[admission]")
{
    load_fixture fixture;
    fixture.rule.slackFactor = 10;
    fixture.wait(0, 1000);
    const auto retryOf = [&](unsigned priority, unsigned tasks, const std::string& id) {
        fixture.rule.priority = priority;
        fixture.waiting.id = id;
        fixture.waiting.spec.steps[0].count = tasks;
        const auto decision = fixture.decide();
        REQUIRE(decision.verdict == load_verdict::Refused);
        return decision.retryAfterSeconds;
    };
    std::set<unsigned> times;
    for (unsigned i = 0; i < 200; ++i) {
        const auto id = "job" + std::to_string(i);
        const auto urgent = retryOf(0, 2, id);
        CHECK(urgent <= retryOf(1, 2, id));
        CHECK(retryOf(1, 2, id) <= retryOf(2, 2, id));
        CHECK(retryOf(2, 2, id) <= retryOf(2, 2000, id));
        CHECK(urgent == retryOf(0, 2, id));
        times.insert({ urgent, retryOf(1, 2, id), retryOf(2, 2, id), retryOf(2, 2000, id) });
    }
    CHECK(times.size() >= 6);
    CHECK(retryOf(0, 2, "a") < retryOf(2, 2000, "a"));
}
