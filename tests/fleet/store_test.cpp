#include "core_fixture.hpp"
#include "fake_store.hpp"

#include <fleet/entry/job_service.hpp>
#include <fleet/records/job_codec.hpp>
#include <fleet/scheduler/leadership.hpp>
#include <fleet/scheduler/progress_writer.hpp>
#include <fleet/store/store_mirror.hpp>

#include <catch2/catch.hpp>
#include <kj/debug.h>
#include <rapidcheck/catch.h>

using namespace fleet;
using namespace fleet::test;

TEST_CASE("a mirror loads by page, watches changes, and loads again when the history was compacted", "[store]")
{
    fake_store store;
    store.pageSize = 2;
    oriole::timer_service timers(start);
    for (const auto* key : { "a/1", "a/2", "a/3", "b/1" })
        store.put(key, "x");
    store_mirror mirror(store, timers, "a/");
    unsigned changes = 0;
    mirror.start([&](const record_change&) { ++changes; }, {});
    store.run();
    REQUIRE(mirror.loaded());
    CHECK(mirror.records().size() == 3);

    store.put("a/4", "y");
    store.answerWatches();
    CHECK(mirror.records().size() == 4);

    store.records.erase("a/1");
    store.history.clear();
    store.answerWatches(true);
    CHECK(mirror.records().size() == 3);
    CHECK_FALSE(mirror.records().contains("a/1"));
    CHECK(changes == 5);
}

// Guards against machines that stop following a list because of one odd entry in it.
TEST_CASE("a record that its reader can't take holds up no other", "[store][odd-record]")
{
    fake_store store;
    oriole::timer_service timers(start);
    for (const auto* key : { "a/1", "a/odd-1", "a/z" })
        store.put(key, "x");
    store_mirror mirror(store, timers, "a/");
    std::vector<std::string> taken;
    mirror.start(
        [&](const record_change& change) {
            if (change.item.key == "a/odd-1")
                throw std::invalid_argument("deeply nested");
            if (change.item.key == "a/odd-2")
                kj::throwFatalException(KJ_EXCEPTION(FAILED, "port out of range"));
            taken.push_back(change.item.key);
        },
        {});
    store.run();
    CHECK(taken == std::vector<std::string> { "a/1", "a/z" });
    store.put("a/odd-2", "y");
    store.put("a/y", "y");
    store.answerWatches();
    store.put("a/x", "y");
    store.answerWatches();
    CHECK(taken == std::vector<std::string> { "a/1", "a/z", "a/y", "a/x" });
}

TEST_CASE("a mirror retries while the store is down", "[store]")
{
    fake_store store;
    oriole::timer_service timers(start);
    store.put("a/1", "x");
    store.down = true;
    store_mirror mirror(store, timers, "a/");
    mirror.start({}, {});
    store.run();
    CHECK_FALSE(mirror.loaded());
    store.down = false;
    timers.advance(start + milliseconds(300));
    store.run();
    CHECK(mirror.loaded());
}

namespace {

struct writer_fixture {
    writer_fixture()
    {
        store.put(record_keys::scheduler, "me");
        epoch = store.revision;
        writer = std::make_unique<progress_writer>(
            store, timers, [this] { return timers.now(); }, epoch,
            progress_writer::handlers {
                [this](const std::string&) { return progress_writer::source { &progress, "q" }; },
                [this](const std::string&) { ++recorded; },
                [this](const std::string&) { leadershipLost = true; },
                [](time_point) {},
            });
    }

    void pass(milliseconds time)
    {
        timers.advance(timers.now() + time);
        store.run();
    }

    fake_store store;
    oriole::timer_service timers { start };
    revision_number epoch = 0;
    job_progress progress;
    unsigned recorded = 0;
    bool leadershipLost = false;
    std::unique_ptr<progress_writer> writer;
};

} // namespace

TEST_CASE("a job is clean only after a write of its progress was acknowledged, also when an answer is lost", "[store][progress]")
{
    writer_fixture fixture;
    const auto lost = GENERATE(fake_store::write_fate::Lost, fake_store::write_fate::Late, fake_store::write_fate::Refused);
    fixture.store.next = lost;
    fixture.progress.state = job_state::Running;
    fixture.writer->markDirty("j");
    fixture.pass(milliseconds(1));
    CHECK_FALSE(fixture.writer->isClean("j"));
    CHECK(fixture.recorded == 0);

    for (int i = 0; i < 5; ++i)
        fixture.pass(milliseconds(200));
    CHECK(fixture.writer->isClean("j"));
    CHECK(fixture.recorded == 1);
    CHECK_FALSE(fixture.leadershipLost);

    // The delayed write fails its revision condition and changes nothing.
    fixture.progress.state = job_state::Completed;
    fixture.writer->markDirty("j");
    fixture.pass(milliseconds(1));
    fixture.store.commitLate();
    const auto stored = decodeProgress(fixture.store.records.at(record_keys::progress + "j").value);
    REQUIRE(stored);
    CHECK(stored->state == job_state::Completed);
}

// Guards against one job that stops all scheduling: its record was refused for ever, with those of up to nine other jobs.
TEST_CASE("a record that the store refuses for good holds up no other job", "[store][progress][record-size]")
{
    writer_fixture fixture;
    fixture.store.invalidKey = record_keys::progress + "j5";
    for (int i = 0; i < 25; ++i)
        fixture.writer->markDirty("j" + std::to_string(i));
    fixture.pass(milliseconds(1));
    fixture.pass(milliseconds(1));
    fixture.pass(milliseconds(200));
    CHECK(fixture.recorded == 24);
    CHECK_FALSE(fixture.writer->isClean("j5"));
    const auto calls = fixture.store.calls;
    for (int i = 0; i < 10; ++i)
        fixture.pass(milliseconds(100));
    CHECK(fixture.store.calls == calls);
    fixture.store.invalidKey.clear();
    fixture.pass(milliseconds(2000));
    CHECK(fixture.writer->isClean("j5"));
    CHECK_FALSE(fixture.leadershipLost);
}

TEST_CASE("a scheduler that was replaced writes no progress", "[store][progress]")
{
    writer_fixture fixture;
    fixture.store.put(record_keys::scheduler, "another");
    fixture.writer->markDirty("j");
    fixture.pass(milliseconds(1));
    CHECK(fixture.leadershipLost);
    CHECK_FALSE(fixture.store.records.contains(record_keys::progress + "j"));
}

TEST_CASE("one of two entries becomes the scheduler, the other takes over when the record is gone", "[store][leadership]")
{
    fake_store store;
    oriole::timer_service timers(start);
    const auto clock = [&] { return timers.now(); };
    unsigned firstWon = 0;
    unsigned secondWon = 0;
    unsigned firstLost = 0;
    leadership first(store, timers, clock, "e1", { [&](std::uint64_t) { ++firstWon; }, [&](const std::string&) { ++firstLost; } });
    leadership second(store, timers, clock, "e2", { [&](std::uint64_t) { ++secondWon; }, [](const std::string&) {} });
    SECTION("a claim that was applied without an answer is read back")
    {
        store.next = fake_store::write_fate::Lost;
    }
    SECTION("without faults")
    {
    }
    first.start();
    store.run();
    second.start();
    store.run();
    CHECK(firstWon == 1);
    CHECK(secondWon == 0);

    store.leaseValid = false;
    store.records.erase(record_keys::scheduler);
    timers.advance(start + milliseconds(600));
    store.run();
    CHECK(firstLost == 1);
    second.recordChanged(false);
    timers.advance(start + milliseconds(2000));
    store.run();
    CHECK(firstWon + secondWon == 2);
}

TEST_CASE("a restarted entry does not wait for the lease of its earlier process", "[store][leadership]")
{
    fake_store store;
    oriole::timer_service timers(start);
    const auto clock = [&] { return timers.now(); };
    std::optional<std::uint64_t> epoch;
    leadership restarted(store, timers, clock, "e1", { [&](std::uint64_t won) { epoch = won; }, [](const std::string&) {} });
    SECTION("the record of its earlier process is removed")
    {
        store.putUnderLease(record_keys::scheduler, "e1/earlier");
        const auto before = static_cast<std::uint64_t>(store.revision);
        restarted.start();
        store.run();
        REQUIRE(epoch);
        CHECK(*epoch > before);
    }
    SECTION("the record of another entry stays until its lease has expired")
    {
        store.putUnderLease(record_keys::scheduler, "e10/earlier");
        restarted.start();
        store.run();
        timers.advance(start + milliseconds(1500));
        store.run();
        CHECK_FALSE(epoch);
    }
    SECTION("the record of its earlier process is replaced by another entry meanwhile")
    {
        store.putUnderLease(record_keys::scheduler, "e1/earlier");
        store.next = fake_store::write_fate::Late;
        restarted.start();
        store.run();
        store.putUnderLease(record_keys::scheduler, "e2/new");
        store.commitLate();
        timers.advance(start + milliseconds(1500));
        store.run();
        CHECK_FALSE(epoch);
        CHECK(store.records[record_keys::scheduler].value == "e2/new");
    }
}

TEST_CASE("a job is stored once, however often it is submitted and whichever answer is lost", "[store][intake]")
{
    fake_store store;
    oriole::timer_service timers(start);
    store.put("control", "1");
    const record_condition control { "control", store.revision };
    job_service desk(store, timers);
    desk.start();
    store.run();
    auto submitted = job("0123456789abcdef", "batch", { step(1, 1) });
    submitted.bodyDigest = 5;
    std::optional<submit_outcome> outcome;
    const auto submit = [&](accepted_job what) {
        outcome.reset();
        desk.submit(std::move(what), control, [&](submit_outcome given) { outcome = given; });
        store.run();
    };

    SECTION("submitting again is accepted with the same body and refused with another")
    {
        submit(submitted);
        CHECK(outcome == submit_outcome::Accepted);
        submit(submitted);
        CHECK(outcome == submit_outcome::Accepted);
        submitted.bodyDigest = 6;
        submit(submitted);
        CHECK(outcome == submit_outcome::IdConflict);
        CHECK(desk.pending("batch") == 1);
    }
    SECTION("a lost answer leaves the outcome unknown, a refusal by the store does not")
    {
        store.next = fake_store::write_fate::Lost;
        submit(submitted);
        CHECK(outcome == submit_outcome::MayBeStored);
        submit(submitted);
        CHECK(outcome == submit_outcome::Accepted);
        submitted.id = "fedcba9876543210";
        store.next = fake_store::write_fate::Refused;
        submit(submitted);
        CHECK(outcome == submit_outcome::NotStored);
        CHECK_FALSE(store.records.contains(record_keys::jobs + submitted.id));
    }
    SECTION("nothing is stored if the configuration changed meanwhile")
    {
        store.put("control", "2");
        submit(submitted);
        CHECK(outcome == submit_outcome::ConfigurationChanged);
        CHECK_FALSE(store.records.contains(record_keys::jobs + submitted.id));
    }
    SECTION("a cancelled job is reported as cancelled at once, an unknown one as not found")
    {
        submit(submitted);
        std::optional<job_state> state;
        desk.cancel(submitted.id, [&](const auto& given) { state = given.value(); });
        store.run();
        CHECK(state == job_state::Cancelled);
        CHECK(store.records.contains(record_keys::cancels + submitted.id));
        desk.cancel("ffffffffffffffff", [&](const auto& given) { state = given.value(); });
        store.run();
        CHECK_FALSE(state);
    }
}

TEST_CASE("records are decoded as they were encoded", "[records]")
{
    rc::prop("progress", [] {
        job_progress progress;
        progress.state = static_cast<job_state>(*rc::gen::inRange(0, 5));
        const auto tasks = *rc::gen::inRange(1, 6);
        auto& steps = progress.occurrences.emplace_back().steps.emplace_back();
        for (int i = 0; i < tasks; ++i) {
            task_progress task;
            task.status = static_cast<task_status>(*rc::gen::inRange(0, 3));
            task.attempt = *rc::gen::inRange(0U, 9U);
            task.failures = *rc::gen::inRange(0U, 9U);
            if (task.status == task_status::Live) {
                task.worker = "w";
                task.life = { "i", *rc::gen::inRange<std::int64_t>(0, 1'000'000) };
                task.checkpoint = *rc::gen::element<std::string>("", "0a");
            }
            steps.push_back(task);
        }
        RC_ASSERT(decodeProgress(encodeProgress(progress)) == progress);
    });
    auto original = job("0123456789abcdef", "batch", { step(3, 2), step(1, 0) });
    original.spec.steps[1].after = { 0 };
    original.spec.steps[1].affinityRack = "r1";
    original.spec.text = "bytes \xff that are no text";
    const auto decoded = decodeJob(encodeJob(original));
    REQUIRE(decoded);
    CHECK(decoded->spec.steps == original.spec.steps);
    CHECK_FALSE(decoded->terms);
    original.terms = acceptance_terms { 2, 8, 1.5, 300 };
    CHECK(decodeJob(encodeJob(original))->terms == original.terms);
    for (const auto* text : { "", "{", "[]", "7", R"({"id":3})", R"({"state":"odd","occurrences":[]})" }) {
        CHECK_FALSE(decodeJob(text));
        CHECK_FALSE(decodeProgress(text));
        CHECK_FALSE(decodeStatus(text));
    }
}
