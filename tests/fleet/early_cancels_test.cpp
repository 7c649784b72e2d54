#include "core_fixture.hpp"
#include "fake_store.hpp"

#include <fleet/entry/job_service.hpp>

#include <catch2/catch.hpp>

using namespace fleet;
using namespace fleet::test;

namespace {

const std::string id = "0123456789abcdef";
const std::string jobKey = record_keys::jobs + id;

/// @brief Two entries on one store; watches are answered only when a test asks for it.
struct two_entries {
    two_entries()
    {
        first.start();
        second.start();
        store.run();
    }

    submit_outcome submit(job_service& entry)
    {
        std::optional<submit_outcome> outcome;
        entry.submit(job(id, "batch", { step(1, 1) }), { "control", 0 }, [&](submit_outcome given) { outcome = given; });
        store.run();
        return outcome.value();
    }

    result<std::optional<job_state>> cancel(job_service& entry, const std::string& which = id)
    {
        std::optional<result<std::optional<job_state>>> outcome;
        entry.cancel(which, [&](const auto& given) { outcome = given; });
        store.run();
        return outcome.value();
    }

    fake_store store;
    oriole::timer_service timers { start };
    job_service first { store, timers };
    job_service second { store, timers };
};

} // namespace

// Guards against a job that runs after its cancellation was answered with 410 (review/7).
TEST_CASE("a submission that is carried out late fails once its job was cancelled", "[intake][early-cancel]")
{
    two_entries entries;
    auto& canceller = GENERATE(true, false) ? entries.first : entries.second;
    entries.store.next = fake_store::write_fate::Late;
    REQUIRE(entries.submit(entries.first) == submit_outcome::MayBeStored);
    CHECK(entries.cancel(canceller).value() == std::nullopt);
    CHECK(entries.cancel(canceller).value() == std::nullopt);
    entries.store.commitLate();
    CHECK_FALSE(entries.store.records.contains(jobKey));
    CHECK(entries.submit(entries.second) == submit_outcome::Cancelled);
    // A client may use the id again after that.
    entries.store.endLease(entries.store.lastLease);
    CHECK(entries.submit(entries.second) == submit_outcome::Accepted);
}

TEST_CASE("a job that is stored before its cancellation is cancelled, known to the entry or not", "[intake][early-cancel]")
{
    two_entries entries;
    REQUIRE(entries.submit(entries.first) == submit_outcome::Accepted);
    CHECK(entries.cancel(entries.second).value() == job_state::Cancelled);
    CHECK(entries.store.records.at(record_keys::cancels + id).lease == 0);
    CHECK(entries.submit(entries.second) == submit_outcome::Accepted);
}

// Guards against a late cancellation that cancels a later submission, or keeps it out for good.
TEST_CASE("a cancellation that is carried out late leaves a job alone that is stored by then", "[intake][early-cancel]")
{
    two_entries entries;
    static_cast<void>(entries.cancel(entries.second, "ffffffffffffffff"));
    entries.store.next = fake_store::write_fate::Late;
    REQUIRE(entries.cancel(entries.second).error().ran == oriole::verdict::MayHaveRun);
    REQUIRE(entries.submit(entries.first) == submit_outcome::Accepted);
    entries.store.commitLate();
    CHECK_FALSE(entries.store.records.contains(record_keys::cancels + id));
}

// Guards against callers that fill the store with cancellations of ids that nobody submits.
TEST_CASE("early cancellations are limited in number and time", "[intake][early-cancel]")
{
    two_entries entries;
    unsigned recorded = 0;
    while (entries.cancel(entries.first, std::to_string(recorded)))
        ++recorded;
    CHECK(recorded == 1000);
    const auto refused = entries.cancel(entries.first);
    CHECK(refused.error().ran == oriole::verdict::NotRun);
    CHECK(refused.error().kind == oriole::failure_kind::Overloaded);
    entries.timers.advance(start + milliseconds(30'000));
    CHECK(entries.cancel(entries.first));
    CHECK(entries.store.leases.size() == 2);

    // The store may end leases early while it is down.
    entries.store.endLease(entries.store.lastLease);
    CHECK(entries.cancel(entries.first).error().ran == oriole::verdict::NotRun);
    CHECK(entries.cancel(entries.first));
}
