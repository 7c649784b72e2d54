#include "core_fixture.hpp"

#include <fleet/agent/worker_agent.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>
#include <optional>

using namespace fleet;
using namespace fleet::test;

namespace {

constexpr double slowestClockRate = 0.98;

/// @brief A worker that can't be reached at times, with the lease of what its present incarnation runs.
struct leased_worker {
    explicit leased_worker(const oriole::timer_service& clock)
        : timers(clock)
    {
    }

    [[nodiscard]] std::int64_t clockMs() const
    {
        const std::chrono::duration<double, std::milli> passed = timers.now() - startedAt;
        return 1 + static_cast<std::int64_t>(passed.count() * slowestClockRate);
    }

    void restart()
    {
        // Whether the earlier incarnation has ended is not known to anyone: its lease alone bounds its runs.
        if (clockMs() <= leaseEndMs) {
            const auto left = static_cast<double>(leaseEndMs - clockMs()) / slowestClockRate;
            earlierLeaseEndsAt = std::max(earlierLeaseEndsAt, timers.now() + milliseconds(static_cast<std::int64_t>(left)));
        }
        ++started;
        startedAt = timers.now();
        leaseEndMs = 0;
    }

    [[nodiscard]] bool mayRun() const { return clockMs() < leaseEndMs; }

    const oriole::timer_service& timers;
    time_point startedAt = test::start;
    std::int64_t started = 1; ///< The start time that tells one incarnation from another.
    std::int64_t leaseEndMs = 0;
    time_point earlierLeaseEndsAt = test::start;
};

struct waiting_poll {
    poll_request request;
    std::int64_t incarnation = 0; ///< The one that the poll was sent to.
    backend_runtime::handler<poll_response> done;
};

class waiting_runtime final : public backend_runtime {
public:
    waiting_runtime(std::vector<waiting_poll>& polls, std::int64_t incarnation)
        : m_polls(polls)
        , m_incarnation(incarnation)
    {
    }

    void start(const start_order&, handler<start_response> done) override { done(start_response { true, {} }); }
    void stop(const run_id&, std::uint64_t, handler<bool> done) override { done(true); }
    void poll(const poll_request& request, handler<poll_response> done) override { m_polls.push_back({ request, m_incarnation, std::move(done) }); }

private:
    std::vector<waiting_poll>& m_polls;
    std::int64_t m_incarnation;
};

/// @brief Requires of each report that nothing runs any more of what it says has ended.
class checking_link final : public scheduler_link {
public:
    explicit checking_link(const leased_worker& worker)
        : m_worker(worker)
    {
    }

    void report(const worker_report& report, std::function<void(bool)> answered) override
    {
        const bool isPresent = report.worker.incarnation.startedUnixMs == m_worker.started;
        const bool earlierMayRun = m_worker.timers.now() < m_worker.earlierLeaseEndsAt;
        if (report.gone)
            RC_ASSERT(!m_worker.mayRun() && !earlierMayRun);
        if (isPresent && !report.othersMayRun)
            RC_ASSERT(!earlierMayRun);
        answered(answers);
    }

    bool answers = true;

private:
    const leased_worker& m_worker;
};

} // namespace

TEST_CASE("no report says that a worker's runs have ended before their lease has expired", "[agent][lost-worker]")
{
    REQUIRE(rc::check([] {
        oriole::timer_service timers { test::start };
        leased_worker worker(timers);
        std::vector<waiting_poll> polls;
        worker_agent agent(
            timers, [&] { return timers.now(); }, {}, [&](const worker_heartbeat& heartbeat) { return std::make_unique<waiting_runtime>(polls, heartbeat.worker.incarnation.startedUnixMs); });
        auto link = std::make_shared<checking_link>(worker);
        worker_heartbeat heartbeat { workerReport("r1").worker, "127.0.0.1:1", 1 };
        const auto sendHeartbeat = [&] {
            heartbeat.worker.incarnation.startedUnixMs = worker.started;
            ++heartbeat.sequence;
            agent.handleHeartbeat(heartbeat);
        };
        const auto answer = [&](const waiting_poll& poll) {
            const int how = *rc::gen::weightedElement<int>({ { 6, 0 }, { 2, 1 }, { 2, 2 }, { 2, 3 } });
            if (how == 1)
                return poll.done(oriole::notRun(oriole::failure_kind::NotFound, "connection refused"));
            if (how == 2)
                return poll.done(oriole::notRun(oriole::failure_kind::NotFound, "another incarnation of the worker"));
            if (poll.request.deadlineMs && poll.incarnation == worker.started)
                worker.leaseEndMs = std::max(worker.leaseEndMs, *poll.request.deadlineMs);
            if (how == 3)
                return poll.done(oriole::mayHaveRun(oriole::failure_kind::Timeout, "no answer"));
            poll.done(poll_response { { {}, worker.started }, worker.clockMs(), {}, {} });
        };
        agent.attach({ 5, 1 }, link);
        sendHeartbeat();
        for (int turn = 0; turn < 120; ++turn) {
            timers.advance(timers.now() + milliseconds(*rc::gen::inRange(20, 900)));
            const auto event = *rc::gen::inRange(0, 40);
            if (event == 0)
                worker.restart();
            else if (event < 8)
                sendHeartbeat();
            else if (event == 8)
                link->answers = !link->answers;
            else if (event == 9)
                agent.attach({ 5, static_cast<std::uint64_t>(turn) + 2 }, link);
            for (const auto& poll : std::exchange(polls, {}))
                answer(poll);
        }
    }));
}
