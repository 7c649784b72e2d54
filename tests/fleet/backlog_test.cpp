#include "core_fixture.hpp"
#include "fake_store.hpp"

#include <fleet/core/backlog_summary.hpp>
#include <fleet/entry/backlog_watch.hpp>
#include <fleet/records/backlog_codec.hpp>
#include <fleet/records/job_codec.hpp>
#include <fleet/scheduler/backlog_publisher.hpp>

#include <oriole/helpers/event_loop.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>

using namespace fleet;
using namespace fleet::test;

namespace {

constexpr revision_number epoch = 41;

/// @brief A backlog of one service of 100 cores in which so much work of priority 1 waits.
backlog waitingFor(double coreSeconds, double cores = 100)
{
    backlog content;
    auto& sums = content.services[service];
    sums.capacity = { cores, 0 };
    if (coreSeconds > 0)
        sums.waiting[1] = { { coreSeconds, 0 }, "", {} };
    return content;
}

backlog_record recordOf(std::uint64_t recordEpoch, std::uint64_t version, double coreSeconds = 1000)
{
    return { recordEpoch, version, 1000, waitingFor(coreSeconds) };
}

/// @brief The present sums of the only service.
service_backlog sumsOf(const core_fixture& fixture)
{
    return summarizeBacklog(fixture.core.state(), fixture.now).services.at(service);
}

/// @brief A publisher whose time and backlog the test sets.
struct publisher_fixture {
    publisher_fixture()
    {
        store.revision = epoch - 1;
        store.put(record_keys::scheduler, "e1/now");
        // Until agents have had time to attach, the capacity of a new scheduler looks too small.
        content = waitingFor(1000);
        pass(milliseconds(5000));
        REQUIRE(summaries == 0);
        content = waitingFor(0);
    }

    void update()
    {
        publisher.update(now, [this] {
            ++summaries;
            return content;
        });
        store.run();
    }

    /// @brief Updates every 200 ms, as the scheduler does.
    void pass(milliseconds time)
    {
        for (const auto end = now + time; now < end; now += milliseconds(200))
            update();
    }

    std::optional<backlog_record> stored() const
    {
        const auto found = store.records.find(record_keys::backlog);
        return found == store.records.end() ? std::nullopt : decodeBacklog(found->second.value);
    }

    std::uint64_t version() const
    {
        const auto item = stored();
        return item ? item->version : 0;
    }

    fake_store store;
    oriole::metrics_registry metrics;
    backlog_publisher publisher { store, metrics, epoch };
    backlog content = waitingFor(0);
    time_point now = start;
    unsigned summaries = 0;
};

/// @brief A watch whose clock the test sets.
struct watch_fixture {
    void begin()
    {
        watch.start();
        store.run();
    }

    void putText(const std::string& text)
    {
        store.put(record_keys::backlog, text);
        store.answerWatches();
    }

    void put(const backlog_record& item) { putText(encodeBacklog(item)); }
    known_backlog::state condition() const { return watch.present().condition; }

    oriole::event_loop loop;
    fake_store store;
    time_point now = start;
    std::uint64_t schedulerEpoch = 0;
    backlog_watch watch { store, loop.timers(), [this] { return now; }, [this] { return schedulerEpoch; } };
};

} // namespace

TEST_CASE("the backlog sums up what waits by priority and organisation", "[backlog]")
{
    core_fixture fixture;
    auto small = job("a", "batch", { step(2, 8, 10'000) });
    small.organisation = "small";
    auto large = job("b", "batch", { step(3, 8, 10'000) });
    large.organisation = "large";
    // The second step is not ready, so that it does not wait for capacity yet.
    large.spec.steps.push_back(step(5, 1));
    large.spec.steps.back().after = { 0 };
    fixture.add(small);
    fixture.add(large);
    fixture.decide();
    fixture.report("w1", workerReport("r1"));
    const auto sums = sumsOf(fixture);
    CHECK(sums.capacity == load_amount { 128, 8 });
    REQUIRE(sums.waiting.size() == 1);
    CHECK(sums.waiting.at(2).total == load_amount { 50, 400 });
    CHECK(sums.waiting.at(2).largestOrganisation == "large");
    CHECK(sums.waiting.at(2).ofLargest == load_amount { 30, 240 });

    // One task takes all accelerators of the only worker, and is expected to end after 10 s.
    fixture.decide();
    const auto later = sumsOf(fixture);
    CHECK(later.waiting.at(2).total.accelerators == Approx(320));
    CHECK(later.freedPerSecond.accelerators == Approx(0.8));
}

TEST_CASE("workers that take no work and what lasting tasks hold are no capacity", "[backlog]")
{
    core_fixture fixture;
    auto serving = step(1, 3);
    serving.lasting = true;
    fixture.add(job("a", "batch", { serving }));
    fixture.decide();
    fixture.report("w1", workerReport("r1"));
    auto leaving = workerReport("r1");
    leaving.worker.draining = true;
    fixture.report("w2", leaving);
    auto out = workerReport("r1");
    out.worker.failureDomain = "domain-b";
    fixture.report("w3", out);
    fixture.core.setDomainsOut({ "domain-b" });
    CHECK(sumsOf(fixture).capacity == load_amount { 128, 8 });
    // Counted while it waits, it would look like work that ends.
    CHECK(sumsOf(fixture).waiting.empty());
    fixture.decide();
    CHECK(sumsOf(fixture).capacity == load_amount { 127, 5 });
}

TEST_CASE("work without its organisation or queue still counts, work that is too late does not", "[backlog]")
{
    core_fixture fixture;
    configuration rules;
    rules.queues = { queue("urgent", 0, 1.5, 300), queue("batch", 2) };
    rules.organisations = { { "gone", { "key" }, 8 } };
    fixture.core.configure(rules);
    fixture.report("w1", workerReport("r1"));
    auto waiting = job("a", "urgent", { step(1, 9, 10'000) });
    waiting.organisation = "gone";
    fixture.add(waiting);
    fixture.decide();
    const auto before = sumsOf(fixture);
    rules.organisations.clear();
    fixture.core.configure(rules);
    CHECK(sumsOf(fixture) == before);
    REQUIRE(before.waiting.contains(0));
    CHECK(before.waiting.at(0).total.accelerators == Approx(90));

    // The objective is 15.3 s, so that nothing is gained by its completion after 45.9 s. It takes 10 s.
    fixture.now += std::chrono::seconds(35);
    CHECK_FALSE(sumsOf(fixture).waiting.empty());
    fixture.now += std::chrono::seconds(1);
    CHECK(sumsOf(fixture).waiting.empty());

    fixture.add(job("b", "batch", { step(1, 9, 10'000) }));
    fixture.decide();
    REQUIRE(sumsOf(fixture).waiting.contains(2));
    rules.queues.pop_back();
    fixture.core.configure(rules);
    const auto removed = sumsOf(fixture).waiting;
    REQUIRE(removed.size() == 1);
    CHECK(removed.begin()->first == maxBacklogPriority);
}

TEST_CASE("changes that no decision depends on are not noticeable", "[backlog]")
{
    CHECK(isIdle(waitingFor(49)));
    CHECK_FALSE(isIdle(waitingFor(51)));
    CHECK_FALSE(isIdle(waitingFor(1, 0)));
    CHECK_FALSE(differsNoticeably(waitingFor(1000), waitingFor(1200)));
    CHECK(differsNoticeably(waitingFor(1000), waitingFor(1300)));
    CHECK(differsNoticeably(waitingFor(1000), waitingFor(700)));
    CHECK_FALSE(differsNoticeably(waitingFor(10), waitingFor(50)));
    CHECK(differsNoticeably(waitingFor(1000), waitingFor(1000, 80)));
    CHECK_FALSE(differsNoticeably(waitingFor(0), waitingFor(0, 80)));
    CHECK(differsNoticeably(waitingFor(1000), {}));
}

TEST_CASE("a backlog that can't be right is not read", "[backlog]")
{
    CHECK_FALSE(decodeBacklog(""));
    CHECK_FALSE(decodeBacklog("{}"));
    CHECK_FALSE(decodeBacklog("[1,2]"));
    CHECK_FALSE(decodeBacklog(std::string(30'000, '[')));
    CHECK_FALSE(decodeBacklog(R"({"epoch":1,"version":1,"made_unix_ms":1,"services":[]})"));
    const auto text = encodeBacklog(recordOf(1, 1));
    REQUIRE(decodeBacklog(text));
    const auto with = [&text](const std::string& what, const std::string& by) {
        auto changed = text;
        const auto at = changed.find(what);
        REQUIRE(at != std::string::npos);
        return changed.replace(at, what.size(), by);
    };
    CHECK_FALSE(decodeBacklog(with("[100.0,", "[-100.0,")));
    CHECK_FALSE(decodeBacklog(with("[100.0,", "[1e999,")));
    CHECK_FALSE(decodeBacklog(with(R"("priority":1)", R"("priority":8)")));
    CHECK_FALSE(decodeBacklog(text.substr(0, text.size() / 2)));
}

TEST_CASE("the largest backlog is read as it was written and has less than 32 KB", "[backlog]")
{
    backlog_record item { 1U << 30U, 1U << 30U, 1'800'000'000'000, {} };
    for (std::size_t i = 0; i < maxBacklogServices; ++i) {
        auto& sums = item.content.services[std::string(maxBacklogNameBytes - 1, 's') + static_cast<char>('a' + i)];
        sums.capacity = sums.freedPerSecond = { 123'456.123, 12'345.123 };
        for (unsigned priority = 0; priority <= maxBacklogPriority; ++priority)
            sums.waiting[priority] = { { 12'345'678.123, 1'234'567.123 }, std::string(maxBacklogNameBytes, 'o'), { 1'234'567.123, 1'234'567.123 } };
    }
    const auto text = encodeBacklog(item);
    CHECK(text.size() < 32'768);
    CHECK(decodeBacklog(text) == item);
}

TEST_CASE("nothing is written while nothing waits and nothing waited before", "[backlog]")
{
    publisher_fixture fixture;
    fixture.pass(std::chrono::seconds(30));
    CHECK_FALSE(fixture.stored());
    CHECK(fixture.store.calls == 0);
    // The end of the wait is told once, so that entries need not wait until the record is old.
    fixture.content = waitingFor(1000);
    fixture.pass(milliseconds(600));
    fixture.content = waitingFor(10);
    fixture.pass(std::chrono::seconds(30));
    CHECK(fixture.version() == 2);
    CHECK(fixture.stored()->content == waitingFor(10));
}

TEST_CASE("the tables are summed up and written at most twice a second", "[backlog]")
{
    publisher_fixture fixture;
    for (unsigned i = 1; i <= 50; ++i) {
        fixture.content = waitingFor(1000.0 * i * i);
        fixture.update();
        fixture.now += milliseconds(40);
    }
    CHECK(fixture.summaries <= 5);
    CHECK(fixture.version() >= 3);
    CHECK(fixture.version() <= 5);
}

TEST_CASE("a backlog that hardly changes is written only to keep it from becoming old", "[backlog]")
{
    publisher_fixture fixture;
    fixture.content = waitingFor(1000);
    fixture.pass(milliseconds(600));
    CHECK(fixture.version() == 1);
    fixture.content = waitingFor(1100);
    fixture.pass(std::chrono::seconds(2));
    CHECK(fixture.version() == 1);
    fixture.pass(std::chrono::seconds(2));
    CHECK(fixture.version() == 2);
}

TEST_CASE("a scheduler that was replaced writes no backlog any more", "[backlog]")
{
    publisher_fixture fixture;
    fixture.store.put(record_keys::scheduler, "e2/now");
    fixture.content = waitingFor(1000);
    fixture.pass(std::chrono::seconds(20));
    CHECK_FALSE(fixture.stored());
    CHECK(fixture.store.calls == 1);
}

TEST_CASE("a backlog whose write failed is written again, also when nothing waits any more", "[backlog]")
{
    publisher_fixture fixture;
    fixture.content = waitingFor(1000);
    fixture.pass(milliseconds(600));
    fixture.content = waitingFor(0);
    fixture.store.next = GENERATE(fake_store::write_fate::Refused, fake_store::write_fate::Lost);
    fixture.pass(milliseconds(600));
    fixture.pass(std::chrono::seconds(5));
    REQUIRE(fixture.stored());
    CHECK(fixture.stored()->content == waitingFor(0));
    CHECK(fixture.version() == 3);
}

TEST_CASE("the age of a backlog counts from its arrival, whatever the clock of its writer", "[backlog]")
{
    watch_fixture fixture;
    auto item = recordOf(5, 1);
    item.madeUnixMs = GENERATE(0, 4'000'000'000'000);
    // One that is found at the start has no known age.
    fixture.store.put(record_keys::backlog, encodeBacklog(item));
    fixture.begin();
    CHECK(fixture.condition() == known_backlog::state::Missing);
    fixture.put(item);
    CHECK(fixture.watch.present().age == milliseconds(0));
    // Its scheduler was killed before the next write.
    fixture.now += std::chrono::seconds(9);
    CHECK(fixture.watch.present().age == std::chrono::seconds(9));
    CHECK(fixture.condition() == known_backlog::state::Usable);
}

TEST_CASE("an unreadable or removed backlog replaces the one before", "[backlog]")
{
    watch_fixture fixture;
    fixture.begin();
    fixture.put(recordOf(5, 1));
    // Another writer's epoch must not outdate the scheduler's records.
    fixture.putText(GENERATE(as<std::string> {}, "\xff{", encodeBacklog(recordOf(1'000'000, 1))));
    CHECK(fixture.condition() == known_backlog::state::Unreadable);
    fixture.put(recordOf(5, 2));
    CHECK(fixture.condition() == known_backlog::state::Usable);
    fixture.store.commit({ {}, {}, { record_keys::backlog }, {} }, [](const auto&) {});
    fixture.store.answerWatches();
    CHECK(fixture.condition() == known_backlog::state::Missing);
}

TEST_CASE("a backlog of a scheduler that was replaced, or one that is applied late, is not used", "[backlog]")
{
    watch_fixture fixture;
    fixture.begin();
    fixture.put(recordOf(5, 9));
    fixture.now += std::chrono::seconds(2);
    fixture.put(recordOf(5, 8, 7777));
    CHECK(fixture.watch.present().record == recordOf(5, 9));
    CHECK(fixture.watch.present().age == std::chrono::seconds(2));
    // The new scheduler's record is known before its first backlog.
    fixture.schedulerEpoch = 8;
    CHECK(fixture.condition() == known_backlog::state::EarlierEpoch);
    fixture.put(recordOf(8, 1));
    CHECK(fixture.condition() == known_backlog::state::Usable);
    fixture.schedulerEpoch = 0;
    fixture.put(recordOf(5, 10));
    CHECK(fixture.condition() == known_backlog::state::EarlierEpoch);
}
