#include <oriole/entry/request_dispatcher.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr oriole::milliseconds tick { 10 };

/// @brief A fleet that loses, delays, crosses and doubles replies, and counts what it executed.
class faulty_fleet : public oriole::agent_gateway {
public:
    struct held_reply {
        std::string request;
        handler done;
        oriole::backend_reply reply;
    };

    void dispatch(const oriole::worker_info&, oriole::backend_call call, handler done) override
    {
        const auto request = call.id.substr(0, call.id.rfind('.'));
        const auto fate = *rc::gen::inRange(0, 10);
        if (fate < 2) {
            const auto kind = fate == 0 ? oriole::failure_kind::Overloaded : oriole::failure_kind::Broken;
            held.push_back({ request, done, { call.id, oriole::notRun(kind, "refused") } });
            return;
        }
        ++executions[request];
        if (fate == 2)
            held.push_back({ request, done, { call.id, oriole::mayHaveRun(oriole::failure_kind::Broken, "cut") } });
        if (fate == 3)
            return;
        oriole::backend_answer answer { fate == 4 ? 500U : 200U, "text/plain", request + " " + call.body };
        if (fate == 5) {
            done({ call.id, answer });
            return;
        }
        held.push_back({ request, done, { call.id, answer } });
        if (fate == 6)
            held.push_back(held.back());
    }

    /// @brief Delivers one of the held replies; crossed, it goes to where another one belongs.
    void deliver(std::size_t index, bool crossed)
    {
        if (held.empty())
            return;
        index %= held.size();
        if (crossed && held.size() > 1)
            std::swap(held[index].done, held[(index + 1) % held.size()].done);
        const auto chosen = held[index];
        held.erase(held.begin() + static_cast<std::ptrdiff_t>(index));
        chosen.done(chosen.reply);
    }

    std::vector<held_reply> held;
    std::map<std::string, unsigned> executions; ///< By request id, attempts together.
};

struct told_answer {
    oriole::request_outcome outcome;
    oriole::time_point at;
};

struct submitted_request {
    bool repeatable = true;
    oriole::time_point deadline;
    std::string body;
    std::vector<told_answer> answers;
};

class system_under_test {
public:
    system_under_test()
    {
        settings.idPrefix = "e1";
        settings.waitingLimit = 4;
        settings.log = [](auto, auto, const auto&) {};
        dispatcher
            = std::make_unique<oriole::request_dispatcher>(settings, routes, health, gateway, timers, metrics);
        for (int i = 0; i < 4; ++i)
            join(i);
    }

    void join(int index)
    {
        oriole::worker_info worker;
        worker.name = "w" + std::to_string(index);
        worker.region = index < 2 ? "praha" : "brno";
        worker.failureDomain = worker.region;
        worker.service = "column";
        worker.slots = 2;
        worker.connections = 64;
        worker.incarnation = ++incarnation;
        routes.upsert(worker);
        dispatcher->workersChanged();
    }

    void submit()
    {
        const auto index = requests.size();
        requests.emplace_back();
        auto& request = requests.back();
        request.repeatable = *rc::gen::arbitrary<bool>();
        request.body = "body " + std::to_string(index);
        oriole::request_submission submission;
        submission.organisation = "editors";
        submission.service = "column";
        submission.repeatable = request.repeatable;
        submission.timeout = oriole::milliseconds(*rc::gen::inRange(5, 600));
        submission.body = request.body;
        request.deadline = timers.now() + submission.timeout;
        dispatcher->submit(submission, [this, index](oriole::request_outcome outcome) {
            requests[index].answers.push_back({ std::move(outcome), timers.now() });
        });
    }

    void step()
    {
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
        case 1:
        case 2:
            submit();
            break;
        case 3:
        case 4:
        case 5:
            gateway.deliver(*rc::gen::inRange<std::size_t>(0, 16), false);
            break;
        case 6:
            gateway.deliver(*rc::gen::inRange<std::size_t>(0, 16), true);
            break;
        case 7:
            dispatcher->workerLost("w" + std::to_string(*rc::gen::inRange(0, 4)));
            break;
        case 8:
            changeFleet(*rc::gen::inRange(0, 4));
            break;
        default:
            timers.advance(timers.now() + tick);
        }
    }

    void changeFleet(int index)
    {
        const auto name = "w" + std::to_string(index);
        const auto change = *rc::gen::inRange(0, 3);
        if (change == 0)
            routes.remove(name);
        else if (change == 1)
            join(index);
        else
            routes.report(name, { .running = *rc::gen::inRange(0U, 30U) });
    }

    void drain()
    {
        for (int i = 0; i < 100; ++i)
            timers.advance(timers.now() + tick);
        while (!gateway.held.empty())
            gateway.deliver(0, false);
    }

    void check() const
    {
        for (const auto& request : requests) {
            RC_ASSERT(request.answers.size() == 1U);
            const auto& [outcome, at] = request.answers.front();
            RC_ASSERT(at <= request.deadline + tick);
            const auto found = gateway.executions.find(outcome.requestId);
            const auto executions = found == gateway.executions.end() ? 0 : found->second;
            if (!request.repeatable)
                RC_ASSERT(executions <= 1U);
            if (outcome.ran == oriole::verdict::NotRun)
                RC_ASSERT(executions == 0U);
            if (outcome.ran == oriole::verdict::Completed)
                RC_ASSERT(outcome.body == outcome.requestId + " " + request.body);
            RC_ASSERT(outcome.attempts <= oriole::limits_config {}.requestAttempts);
        }
        RC_ASSERT(dispatcher->inFlight() == 0U);
        RC_ASSERT(dispatcher->waiting() == 0U);
    }

    oriole::dispatcher_settings settings;
    oriole::timer_service timers { oriole::time_point {} };
    oriole::metrics_registry metrics;
    oriole::worker_health health;
    oriole::router routes { { .region = "praha", .queueLimit = 2 }, health };
    faulty_fleet gateway;
    std::unique_ptr<oriole::request_dispatcher> dispatcher;
    std::vector<submitted_request> requests;
    std::uint64_t incarnation = 0;
};

} // namespace

TEST_CASE("fuzz: each request gets one true answer whatever happens to attempts and replies")
{
    rc::prop("one true answer in time", [] {
        system_under_test system;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i)
            system.step();
        system.drain();
        system.check();
    });
}
