/// @file
/// @brief Measures routing decisions against a mock fleet in simulated time and prints a table.
///
/// All randomness is seeded and no clock is read, so that a run gives the same figures each time.
#include <oriole/entry/request_dispatcher.hpp>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr unsigned workerCount = 11;
constexpr unsigned slotsPerWorker = 8;
constexpr unsigned queuePerWorker = 16;
constexpr oriole::milliseconds tick { 1 };

/// @brief Workers with slots and a queue; one of them may fail everything at once.
class mock_fleet : public oriole::agent_gateway {
public:
    mock_fleet(oriole::timer_service& timers, bool oneFailsFast, unsigned meanServiceMs, std::uint64_t seed)
        : m_timers(timers)
        , m_oneFailsFast(oneFailsFast)
        , m_serviceMs(1.0 / meanServiceMs)
        , m_random(seed)
        , m_queued(workerCount)
    {
    }

    void dispatch(const oriole::worker_info& worker, oriole::backend_call call, handler done) override
    {
        const auto index = static_cast<std::size_t>(std::stoul(worker.name.substr(1)));
        ++attempts;
        ++attemptsByWorker.at(index);
        if (m_oneFailsFast && index == 0) {
            m_timers.subscribeOnce(
                tick, [done, id = call.id](auto) { done({ id, oriole::backend_answer { 500, "", "" } }); });
            return;
        }
        auto& queue = m_queued.at(index);
        if (queue.size() >= slotsPerWorker + queuePerWorker) {
            done({ call.id, oriole::notRun(oriole::failure_kind::Overloaded, "busy") });
            return;
        }
        queue.push_back({ call.id, std::move(done) });
        if (queue.size() <= slotsPerWorker)
            start(index, queue.back());
    }

    [[nodiscard]] unsigned inFlight(std::size_t worker) const { return static_cast<unsigned>(m_queued.at(worker).size()); }

    unsigned attempts = 0;
    std::vector<unsigned> attemptsByWorker = std::vector<unsigned>(workerCount);

private:
    struct held_call {
        std::string id;
        handler done;
        bool running = false;
    };

    void start(std::size_t worker, held_call& call)
    {
        call.running = true;
        const auto duration = oriole::milliseconds(1 + static_cast<long>(m_serviceMs(m_random)));
        m_timers.subscribeOnce(duration, [this, worker, id = call.id](auto) { finish(worker, id); });
    }

    void finish(std::size_t worker, const std::string& id)
    {
        auto& queue = m_queued.at(worker);
        const auto found = std::find_if(queue.begin(), queue.end(), [&](const auto& call) { return call.id == id; });
        const auto done = std::move(found->done);
        queue.erase(found);
        const auto next = std::find_if(queue.begin(), queue.end(), [](const auto& call) { return !call.running; });
        if (next != queue.end())
            start(worker, *next);
        done({ id, oriole::backend_answer { 200, "", "" } });
    }

    oriole::timer_service& m_timers;
    bool m_oneFailsFast;
    std::exponential_distribution<double> m_serviceMs;
    std::mt19937_64 m_random;
    std::vector<std::deque<held_call>> m_queued;
};

struct scenario {
    bool oneFailsFast = false;
    bool judgeHealth = true;
    bool twoChoices = true;
    double retryShare = 0.1;
    unsigned meanServiceMs = 20;
    double requestsPerMs = 2.0;
    unsigned routerQueueLimit = queuePerWorker;
    oriole::milliseconds busyPause { 20 };
    oriole::milliseconds length { 20000 };
};

struct figures {
    unsigned requests = 0;
    unsigned attempts = 0;
    unsigned completed = 0;
    unsigned failed = 0;
    unsigned refused = 0;
    double firstWorkerShare = 0;
    unsigned p99Imbalance = 0;
};

oriole::worker_health_settings healthSettings(bool judge)
{
    oriole::worker_health_settings settings;
    // A worker has only as many outcomes as the window holds, so it is never judged.
    if (!judge)
        settings.differentFailures = static_cast<unsigned>(settings.window) + 1;
    return settings;
}

oriole::worker_info makeWorker(unsigned index)
{
    oriole::worker_info worker;
    worker.name = "w" + std::to_string(index);
    worker.region = "praha";
    worker.failureDomain = "praha-1";
    worker.rack = "r" + std::to_string(index / 3);
    worker.service = "column";
    worker.slots = slotsPerWorker;
    worker.connections = 64;
    worker.incarnation = 1;
    return worker;
}

unsigned imbalance(const mock_fleet& fleet)
{
    unsigned least = fleet.inFlight(0);
    unsigned most = least;
    for (unsigned i = 1; i < workerCount; ++i) {
        least = std::min(least, fleet.inFlight(i));
        most = std::max(most, fleet.inFlight(i));
    }
    return most - least;
}

figures run(const scenario& wanted, std::uint64_t seed)
{
    oriole::timer_service timers { oriole::time_point {} };
    oriole::metrics_registry metrics;
    oriole::worker_health health(healthSettings(wanted.judgeHealth));
    oriole::router_settings routing { .region = "praha" };
    routing.queueLimit = wanted.routerQueueLimit;
    routing.busyPause = wanted.busyPause;
    routing.twoChoices = wanted.twoChoices;
    oriole::router routes(routing, health);
    mock_fleet fleet(timers, wanted.oneFailsFast, wanted.meanServiceMs, seed);
    oriole::dispatcher_settings settings;
    settings.idPrefix = "m";
    settings.seed = seed;
    settings.log = [](auto, auto, const auto&) {};
    oriole::request_dispatcher dispatcher(settings, routes, health, fleet, timers, metrics);
    oriole::configuration config;
    config.limits.retryShare = wanted.retryShare;
    dispatcher.configure(config);
    for (unsigned i = 0; i < workerCount; ++i)
        routes.upsert(makeWorker(i));

    figures sum;
    std::vector<unsigned> imbalances;
    std::mt19937_64 random(seed);
    std::poisson_distribution<unsigned> arrivals(wanted.requestsPerMs);
    for (auto time = 0ms; time < wanted.length; time += tick) {
        for (unsigned left = arrivals(random); left > 0; --left) {
            oriole::request_submission submission;
            submission.organisation = "editors";
            submission.service = "column";
            submission.timeout = 2000ms;
            ++sum.requests;
            dispatcher.submit(submission, [&sum](const oriole::request_outcome& outcome) {
                const bool completed = outcome.ran == oriole::verdict::Completed;
                sum.completed += completed && outcome.status == 200 ? 1 : 0;
                sum.failed += completed && outcome.status != 200 ? 1 : 0;
                sum.refused += completed ? 0 : 1;
            });
        }
        timers.advance(timers.now() + tick);
        imbalances.push_back(imbalance(fleet));
    }
    std::sort(imbalances.begin(), imbalances.end());
    sum.p99Imbalance = imbalances[imbalances.size() * 99 / 100];
    sum.attempts = fleet.attempts;
    sum.firstWorkerShare = static_cast<double>(fleet.attemptsByWorker[0]) / std::max(1U, fleet.attempts);
    return sum;
}

void print(const char* name, const scenario& wanted)
{
    constexpr std::uint64_t seed = 20261204;
    const auto sum = run(wanted, seed);
    std::printf("%-44s %8u %8u %9u %8u %8u %9.4f %9.3f %9u\n", name, sum.requests, sum.attempts, sum.completed,
        sum.failed, sum.refused, sum.firstWorkerShare,
        static_cast<double>(sum.attempts) / std::max(1U, sum.requests), sum.p99Imbalance);
}

} // namespace

int main()
{
    std::printf("%-44s %8s %8s %9s %8s %8s %9s %9s %9s\n", "scenario", "requests", "attempts", "completed", "failed",
        "refused", "w0 share", "att/req", "p99 diff");
    print("w0 fails fast, no health", { .oneFailsFast = true, .judgeHealth = false });
    print("w0 fails fast, health", { .oneFailsFast = true });

    // The router must not know that the workers are full, as when other entries fill them.
    scenario overload { .requestsPerMs = 9, .routerQueueLimit = 1000, .busyPause = 0ms };
    overload.retryShare = 1000;
    print("overload 2x, no retry budget", overload);
    overload.retryShare = 0.1;
    print("overload 2x, retry budget 0.1", overload);

    print("half load, one random worker", { .twoChoices = false });
    print("half load, least of two", {});
    print("90% load, one random worker", { .twoChoices = false, .requestsPerMs = 3.8 });
    print("90% load, least of two", { .requestsPerMs = 3.8 });
    return 0;
}
