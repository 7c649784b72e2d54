#include "core_fixture.hpp"
#include "fake_store.hpp"

#include <fleet/records/job_codec.hpp>
#include <fleet/scheduler/claim_delay.hpp>
#include <fleet/scheduler/leadership.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace fleet;
using namespace fleet::test;

namespace {

/// @brief An entry that takes part in the election.
struct candidate {
    candidate(fake_store& store, oriole::timer_service& timers, const std::string& name, double cores, std::vector<double> others)
        : election(
            store, timers, [&timers] { return timers.now(); }, name,
            { [this](std::uint64_t) { ++won; }, [this](const std::string&) { ++lost; },
                [cores, others = std::move(others)](bool lostRecently) {
                    return std::optional(claimDelay(cores, others, lostRecently));
                } })
    {
        election.start();
        store.run();
    }

    unsigned won = 0;
    unsigned lost = 0;
    leadership election;
};

struct election_fixture {
    void pass(milliseconds time)
    {
        for (auto step = milliseconds(0); step < time; step += milliseconds(50)) {
            timers.advance(timers.now() + milliseconds(50));
            store.run();
        }
    }

    fake_store store;
    oriole::timer_service timers { start };
};

} // namespace

TEST_CASE("the claim delay is bounded and grows with the distance to the strongest entry", "[leadership]")
{
    CHECK(claimDelay(0.5, { 0.12, 0.5 }, false).count() == 0);
    CHECK(claimDelay(0.12, { 0.12, 0.12 }, false).count() == 0);
    CHECK(claimDelay(0.12, {}, false).count() == 0);
    CHECK(claimDelay(0, { 0.5 }, false).count() == 0);
    CHECK(claimDelay(0.12, { 0.5 }, false) > claimDelay(0.4, { 0.5 }, false));
    CHECK(claimDelay(0.01, { 64 }, true) <= milliseconds(1500));
    CHECK(claimDelay(0.5, { 0.5 }, true) > milliseconds(0));
}

// On a large deployment the weakest entry took the record as soon as the strongest, and again right after it had lost it.
TEST_CASE("the strongest entry that runs becomes the scheduler", "[leadership]")
{
    election_fixture fixture;
    candidate weak(fixture.store, fixture.timers, "weak", 0.12, { 0.5 });
    SECTION("the strong entry runs too")
    {
        fixture.pass(milliseconds(200));
        candidate strong(fixture.store, fixture.timers, "strong", 0.5, { 0.12 });
        fixture.pass(milliseconds(1500));
        CHECK(strong.won == 1);
        CHECK(weak.won == 0);
    }
    SECTION("the strong entry is gone: the weak one takes over within a second")
    {
        fixture.pass(milliseconds(1000));
        CHECK(weak.won == 1);
    }
    SECTION("a strong entry that starts later doesn't take the record from one that works")
    {
        fixture.pass(milliseconds(1000));
        candidate strong(fixture.store, fixture.timers, "strong", 0.5, { 0.12 });
        fixture.pass(milliseconds(2000));
        CHECK(strong.won == 0);
        CHECK(weak.lost == 0);
    }
}

TEST_CASE("an entry that lost the record lets another claim it first", "[leadership]")
{
    election_fixture fixture;
    candidate first(fixture.store, fixture.timers, "first", 0.5, { 0.5 });
    REQUIRE(first.won == 1);
    candidate second(fixture.store, fixture.timers, "second", 0.5, { 0.5 });
    fixture.store.records.erase(record_keys::scheduler);
    first.election.stepDown("test");
    fixture.store.run();
    CHECK(first.won == 1);
    SECTION("the other one claims it")
    {
        second.election.recordChanged(false);
        fixture.pass(milliseconds(1500));
        CHECK(second.won == 1);
        CHECK(first.won == 1);
    }
    SECTION("alone, it takes the record again")
    {
        second.election.resign([] {});
        fixture.pass(milliseconds(1500));
        CHECK(first.won == 2);
    }
}
