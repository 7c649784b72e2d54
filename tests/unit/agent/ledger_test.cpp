#include <oriole/agent/ledger.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <rapidcheck/state.h>

using namespace oriole;
using namespace std::chrono_literals;

namespace {

constexpr resources capacity { 0x0f, 5, 5 };
constexpr resources largeCapacity { 0xff, 128, 512 };
constexpr auto ttl = 50ms;

attempt makeAttempt(const std::string& job, unsigned number, accelerator_set set, bool guaranteed = false, unsigned processors = 1, unsigned memoryGb = 1)
{
    attempt made;
    made.id = { "org", job, number };
    made.epoch = 1;
    made.guaranteed = guaranteed;
    made.allocations = { { "w", "", set, processors, memoryGb } };
    return made;
}

/// @brief Model of the ledger for the fuzz test: only the highest epoch.
struct ledger_model {
    std::uint64_t epoch = 0;
};

struct ledger_system {
    ledger subject { "w", capacity };
    time_point now {};
};

/// @brief Checks that no accelerator is allocated twice and that the capacity is not exceeded. Waiting reservations hold no
/// resources yet.
void checkInvariants(const ledger& subject)
{
    accelerator_set held = 0;
    resources left = capacity;
    for (const auto& [id, entry] : subject.entries()) {
        if (isTerminal(entry.phase) || entry.waiting)
            continue;
        RC_ASSERT((held & entry.localAllocation.accelerators) == 0U);
        held |= entry.localAllocation.accelerators;
        const resources used { entry.localAllocation.accelerators, entry.localAllocation.processors,
            entry.localAllocation.memoryGb };
        RC_ASSERT(contains(left, used));
        left = remaining(left, used);
    }
}

using command = rc::state::Command<ledger_model, ledger_system>;

attempt_id anyId()
{
    return { "org", std::string(1, *rc::gen::inRange('a', 'e')), *rc::gen::inRange(1U, 4U) };
}

std::uint64_t anyEpoch(const ledger_model& model)
{
    const auto change = *rc::gen::weightedElement<int>({ { 8, 0 }, { 1, 1 }, { 1, -1 } });
    return change < 0 && model.epoch > 1 ? model.epoch - 1 : std::max<std::uint64_t>(model.epoch, 1) + (change > 0);
}

/// @brief A random message or event; messages can be repeated and reordered.
struct ledger_step : command {
    enum class kind {
        Reserve,
        Commit,
        Release,
        Fence,
        Start,
        Run, ///< Reserve, commit and start in one step, so that sequences reach late phases often.
        End,
        Acknowledge,
        AdvanceTime,
        Out,
        In,
        Count
    };

    explicit ledger_step(const ledger_model& model)
    {
        what = static_cast<kind>(*rc::gen::inRange(0, static_cast<int>(kind::Count)));
        id = anyId();
        epoch = anyEpoch(model);
        // The shape of an attempt is determined by its id, as in production.
        requested = makeAttempt(id.job, id.number, 1ULL + (static_cast<unsigned>(id.job[0]) * 7 + id.number) % 15,
            (static_cast<unsigned>(id.job[0]) + id.number) % 3 == 0, 1 + static_cast<unsigned>(id.job[0]) % 4, 1 + (static_cast<unsigned>(id.job[0]) + id.number) % 4);
        requested.epoch = epoch;
        evict = *rc::gen::arbitrary<bool>();
    }

    void apply(ledger_model& model) const override
    {
        if (what == kind::Reserve || what == kind::Commit || what == kind::Release || what == kind::Fence
            || what == kind::Run)
            model.epoch = std::max(model.epoch, epoch);
    }

    void run(const ledger_model& model, ledger_system& system) const override
    {
        auto& subject = system.subject;
        const bool stale = epoch < model.epoch;
        const auto* before = subject.find(id);
        const bool couldRun = subject.mayHaveRun(id);
        switch (what) {
        case kind::Reserve: {
            const auto answer = subject.reserve(requested, ttl, evict, system.now);
            const bool refused = answer.state == reservation_state::Refused;
            RC_ASSERT(!stale || refused);
            RC_ASSERT(answer.epoch >= model.epoch);
            RC_ASSERT(refused || !released.contains(id));
            RC_ASSERT(refused || !out || before != nullptr);
            for (const auto& victim : answer.evict)
                RC_ASSERT(!subject.find(victim)->attempt.guaranteed && requested.guaranteed && evict);
            if (!refused)
                RC_ASSERT(subject.reserve(requested, ttl, evict, system.now).state == answer.state);
            break;
        }
        case kind::Commit: {
            const auto answer = subject.commit(id, epoch, system.now);
            RC_ASSERT(!stale || !answer.accepted);
            RC_ASSERT(!answer.accepted || !released.contains(id));
            RC_ASSERT(!answer.accepted || !out || couldRun);
            RC_ASSERT(subject.commit(id, epoch, system.now).accepted == answer.accepted);
            break;
        }
        case kind::Release: {
            const auto reports = subject.release(id, epoch, "test", system.now);
            RC_ASSERT(reports.empty() == stale);
            if (!stale && !reports.front().mayHaveRun)
                released.insert(id);
            if (!stale)
                RC_ASSERT(reports.front().mayHaveRun == couldRun);
            break;
        }
        case kind::Fence:
            RC_ASSERT(subject.fence("org", epoch) == std::max(epoch, model.epoch));
            break;
        case kind::Run:
            subject.reserve(requested, ttl, evict, system.now);
            subject.commit(id, epoch, system.now);
            [[fallthrough]];
        case kind::Start:
            if (subject.allowStart(id)) {
                RC_ASSERT(!released.contains(id));
                RC_ASSERT(!out);
                subject.markRunning(id, system.now);
            }
            break;
        case kind::End:
            if (before != nullptr && (before->phase == task_phase::Running || before->phase == task_phase::Evicting))
                subject.end(id, task_phase::Finished, "");
            break;
        case kind::Acknowledge:
            subject.removeEnded({ id });
            break;
        case kind::AdvanceTime:
            system.now += ttl / 2;
            subject.expireReservations(system.now);
            break;
        case kind::Out:
        case kind::In:
            out = what == kind::Out;
            subject.setFailureDomainOut(out);
            for (const auto& [held, entry] : subject.entries())
                RC_ASSERT(!out || entry.mayHaveRun || isTerminal(entry.phase));
            break;
        case kind::Count:
            break;
        }
        checkInvariants(subject);
    }

    void show(std::ostream& out) const override
    {
        out << static_cast<int>(what) << " " << toString(id) << " epoch " << epoch << (evict ? " evict" : "");
    }

    kind what;
    attempt_id id;
    std::uint64_t epoch = 0;
    attempt requested;
    bool evict = false;

    // State of the current run; reset by the property.
    static std::set<attempt_id> released;
    static bool out;
};

std::set<attempt_id> ledger_step::released;
bool ledger_step::out = false;

} // namespace

TEST_CASE("fuzz: the ledger's invariants hold under duplicated and reordered messages")
{
    rc::prop("any sequence of events", [] {
        ledger_step::released.clear();
        ledger_step::out = false;
        ledger_system system;
        rc::state::check(ledger_model {}, system, rc::state::gen::execOneOfWithArgs<ledger_step>());
    });
}

TEST_CASE("a reservation evicts borrowed tasks only if it is entitled to, and waits until started ones have ended")
{
    ledger subject("w", largeCapacity);
    const time_point now {};
    const auto borrowed = makeAttempt("borrowed", 1, 0x0f);
    REQUIRE(subject.reserve(borrowed, 1s, false, now).state == reservation_state::Accepted);
    REQUIRE(subject.commit(borrowed.id, 1, now).accepted);
    REQUIRE(subject.allowStart(borrowed.id));
    subject.markRunning(borrowed.id, now);

    REQUIRE(subject.reserve(makeAttempt("other", 1, 0x01), 1s, true, now).state == reservation_state::Refused);
    const auto guaranteed = makeAttempt("guaranteed", 1, 0x03, true);
    REQUIRE(subject.reserve(guaranteed, 1s, false, now).state == reservation_state::Refused);
    const auto answer = subject.reserve(guaranteed, 1s, true, now);
    REQUIRE(answer.state == reservation_state::Waiting);
    REQUIRE(answer.evict == std::vector { borrowed.id });
    REQUIRE_FALSE(subject.commit(guaranteed.id, 1, now).accepted);

    const auto second = makeAttempt("second", 1, 0x01, true);
    REQUIRE(subject.reserve(second, 1s, true, now).state == reservation_state::Refused);

    subject.end(borrowed.id, task_phase::Evicted, "");
    REQUIRE_FALSE(subject.find(guaranteed.id)->waiting);
    REQUIRE(subject.commit(guaranteed.id, 1, now).accepted);
}

TEST_CASE("a reservation waits until every task that it evicts has ended")
{
    ledger subject("w", largeCapacity);
    for (const auto& borrowed : { makeAttempt("a", 1, 0x0f), makeAttempt("b", 1, 0xf0) }) {
        subject.reserve(borrowed, 1s, false, {});
        subject.commit(borrowed.id, 1, {});
        REQUIRE(subject.allowStart(borrowed.id));
    }
    const auto guaranteed = makeAttempt("guaranteed", 1, 0xff, true);
    REQUIRE(subject.reserve(guaranteed, 1s, true, {}).evict.size() == 2);
    subject.end({ "org", "a", 1 }, task_phase::Evicted, "");
    REQUIRE(subject.find(guaranteed.id)->waiting);
    subject.end({ "org", "b", 1 }, task_phase::Evicted, "");
    REQUIRE_FALSE(subject.find(guaranteed.id)->waiting);
}

TEST_CASE("reservations never hold more processors or memory than the worker has")
{
    for (const auto& [processors, memoryGb] : { std::pair(80U, 1U), std::pair(1U, 300U) }) {
        ledger subject("w", largeCapacity);
        REQUIRE(subject.reserve(makeAttempt("first", 1, 0x01, true, processors, memoryGb), 1s, true, {}).state == reservation_state::Accepted);
        const auto second = makeAttempt("second", 1, 0x02, true, processors, memoryGb);
        REQUIRE(subject.reserve(second, 1s, true, {}).state == reservation_state::Refused);
        subject.release({ "org", "first", 1 }, 1, "", {});
        REQUIRE(subject.reserve(second, 1s, true, {}).state == reservation_state::Accepted);
    }
    ledger subject("w", largeCapacity);
    REQUIRE(subject.reserve(makeAttempt("a", 1, 0, true, 129, 1), 1s, true, {}).state == reservation_state::Refused);
}

TEST_CASE("a reservation evicts no more borrowed tasks than it needs for its processors and memory")
{
    ledger subject("w", largeCapacity);
    for (const auto* job : { "a", "b", "c" }) {
        const auto borrowed = makeAttempt(job, 1, 0, false, 40, 1);
        subject.reserve(borrowed, 1s, false, {});
        subject.commit(borrowed.id, 1, {});
        REQUIRE(subject.allowStart(borrowed.id));
        subject.markRunning(borrowed.id, time_point {} + std::chrono::seconds(job[0]));
    }
    const auto guaranteed = makeAttempt("guaranteed", 1, 0xff, true, 48, 1);
    REQUIRE(subject.reserve(guaranteed, 1s, false, {}).state == reservation_state::Refused);
    const auto answer = subject.reserve(guaranteed, 1s, true, {});
    REQUIRE(answer.state == reservation_state::Waiting);
    REQUIRE(answer.evict == std::vector { attempt_id { "org", "c", 1 } });
    REQUIRE(subject.reserve(makeAttempt("late", 1, 0, false, 10, 1), 1s, true, {}).state == reservation_state::Refused);
    subject.end(answer.evict.front(), task_phase::Evicted, "");
    REQUIRE_FALSE(subject.find(guaranteed.id)->waiting);
    REQUIRE(subject.commit(guaranteed.id, 1, {}).accepted);
}

TEST_CASE("a reservation waits for a guaranteed task that its owner has released, without evicting it")
{
    ledger subject("w", largeCapacity);
    const auto released = makeAttempt("released", 1, 0x0f, true);
    subject.reserve(released, 1s, false, {});
    subject.commit(released.id, 1, {});
    REQUIRE(subject.allowStart(released.id));
    subject.release(released.id, 1, "", {});
    const auto answer = subject.reserve(makeAttempt("next", 1, 0xff, true), 1s, true, {});
    REQUIRE(answer.state == reservation_state::Waiting);
    REQUIRE(answer.evict.empty());
}

TEST_CASE("an expired reservation is released, and its attempt can't be reserved again")
{
    ledger subject("w", largeCapacity);
    const time_point now {};
    const auto job = makeAttempt("j", 1, 1);
    REQUIRE(subject.reserve(job, 1s, false, now).state == reservation_state::Accepted);
    REQUIRE_FALSE(subject.commit(job.id, 1, now + 2s).accepted);
    REQUIRE(subject.find(job.id)->phase == task_phase::Released);
    subject.removeEnded({ job.id });
    REQUIRE(subject.reserve(job, 1s, false, now + 2s).state == reservation_state::Refused);
    REQUIRE(subject.reserve(makeAttempt("j", 2, 1), 1s, false, now + 2s).state == reservation_state::Accepted);
}

TEST_CASE("the number of end records is bounded")
{
    ledger subject("w", largeCapacity, 2);
    for (const auto* job : { "a", "b", "c" })
        subject.release({ "org", job, 1 }, 1, "", {});
    REQUIRE(subject.reserve(makeAttempt("c", 1, 1), 1s, false, {}).state == reservation_state::Refused);
    REQUIRE(subject.reserve(makeAttempt("a", 1, 2), 1s, false, {}).state == reservation_state::Accepted);
}
