/// @file
/// @brief Runs a whole system under load and random faults, then judges what callers were told against what ran.
#include "harness/load.hpp"
#include "harness/oracle.hpp"

#include <CLI/CLI.hpp>

#include <functional>
#include <iostream>
#include <random>

namespace {

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Lease of a task, plus the time in which the runtime and the agents notice its end.
constexpr milliseconds aloneBound { 6000 };
constexpr milliseconds outDelay { 2000 };
constexpr milliseconds endBound { 120000 };
const std::vector<std::string> organisations { "alpha", "beta", "gamma", "delta" };
const std::vector<std::string> domains { "praha", "brno", "ostrava" };

using random_source = std::mt19937_64;

unsigned below(random_source& random, unsigned limit)
{
    return static_cast<unsigned>(random() % limit);
}

struct submitted_job {
    std::string organisation;
    std::string id;
    bool repeatable = true;
    bool fails = false;
    bool cancelled = false;
};

struct keyed_request {
    std::string key;
    bool unrepeatable = false;
    std::vector<caller_reply> replies;
};

struct out_interval {
    std::string domain;
    milliseconds from;
    milliseconds to;
};

/// @brief All that callers and operators did and were told.
struct history {
    std::mutex mutex;
    std::vector<submitted_job> jobs;
    std::vector<keyed_request> requests;
    std::vector<out_interval> outs;
    unsigned jobsRefused = 0;
    unsigned jobsUnknown = 0;
    unsigned configurations = 0;
    unsigned conflicts = 0;
};

class scenario {
public:
    scenario(cluster& system, std::uint64_t seed)
        : m_system(system)
        , m_seed(seed)
    {
    }

    void startCallers()
    {
        for (unsigned i = 0; i < 4; ++i)
            m_threads.emplace_back([this, i] { sendRequests(i); });
        for (unsigned i = 0; i < 2; ++i)
            m_threads.emplace_back([this, i] { submitJobs(i); });
        m_threads.emplace_back([this] { cancelInWaves(); });
        for (unsigned i = 0; i < 2; ++i)
            m_threads.emplace_back([this, i] { applyConfigurations(i); });
        m_threads.emplace_back([this] { moveFailureDomains(); });
    }

    void stopCallers()
    {
        m_stopping = true;
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    [[nodiscard]] history& told() { return m_history; }

private:
    void sendRequests(unsigned caller)
    {
        random_source random(m_seed + caller);
        for (unsigned number = 0; !m_stopping; ++number) {
            keyed_request request { "r-" + std::to_string(caller) + "-" + std::to_string(number), below(random, 2) == 0,
                {} };
            header_map headers { { "Orioleway-Timeout-Ms", "2000" } };
            if (request.unrepeatable)
                headers["Orioleway-Unrepeatable"] = "true";
            const bool withKey = request.unrepeatable && below(random, 2) == 0;
            if (withKey)
                headers["Idempotency-Key"] = request.key;
            const unsigned submissions = withKey && below(random, 2) == 0 ? 2 : 1;
            const json body { { "key", request.key }, { "work_ms", below(random, 15) } };
            const auto& organisation = organisations[below(random, 4)];
            for (unsigned i = 0; i < submissions; ++i)
                request.replies.push_back(m_system.request(below(random, 3), organisation, body, headers));
            const std::lock_guard lock(m_history.mutex);
            m_history.requests.push_back(std::move(request));
        }
    }

    static json randomJob(random_source& random)
    {
        switch (below(random, 6)) {
        case 0:
            return gangJob(8, "worker", 200 + below(random, 1500));
        case 1:
            return gangJob(16, "rack", 200 + below(random, 1500));
        default:
            return gangJob(1 + below(random, 4), "worker", 50 + below(random, 400));
        }
    }

    void submitJobs(unsigned caller)
    {
        random_source random(m_seed + 100 + caller);
        while (!m_stopping) {
            for (unsigned burst = 1 + below(random, 8); burst > 0 && !m_stopping; --burst)
                submitOne(random);
            std::this_thread::sleep_for(milliseconds(below(random, 1200)));
        }
    }

    void submitOne(random_source& random)
    {
        submitted_job job { organisations[below(random, 4)], "", below(random, 3) != 0, below(random, 15) == 0, false };
        auto document = below(random, 20) == 0 ? gangJob(9, "worker", 100) : randomJob(random);
        document["repeatable"] = job.repeatable;
        document["class"] = below(random, 10) == 0 ? "urgent" : "normal";
        if (job.fails)
            document["payload"] = json { { "standin_fail", true } }.dump();
        const auto told = m_system.submitJob(below(random, 3), job.organisation, document);
        const std::lock_guard lock(m_history.mutex);
        if (told.status == 202 && told.body.is_object()) {
            job.id = told.body.value("job", "");
            m_history.jobs.push_back(std::move(job));
        } else if (told.verdict == "not-run") {
            ++m_history.jobsRefused;
        } else {
            ++m_history.jobsUnknown;
        }
    }

    void cancelInWaves()
    {
        random_source random(m_seed + 200);
        while (!m_stopping) {
            std::this_thread::sleep_for(milliseconds(3000 + below(random, 4000)));
            for (const auto& job : markWave())
                call(m_system.entries[below(random, 3)].http, "DELETE",
                    "/v1/organisations/" + job.organisation + "/jobs/" + job.id);
        }
    }

    /// @brief Marks the newest jobs as cancelled and returns them.
    std::vector<submitted_job> markWave()
    {
        constexpr std::size_t waveSize = 6;
        const std::lock_guard lock(m_history.mutex);
        std::vector<submitted_job> wave;
        for (auto job = m_history.jobs.rbegin(); job != m_history.jobs.rend() && wave.size() < waveSize; ++job) {
            job->cancelled = true;
            wave.push_back(*job);
        }
        return wave;
    }

    void applyConfigurations(unsigned operatorNumber)
    {
        random_source random(m_seed + 300 + operatorNumber);
        while (!m_stopping) {
            std::this_thread::sleep_for(milliseconds(2500));
            auto held = m_system.get(below(random, 3), "/v1/config").body;
            if (!held.is_object() || !held.contains("document"))
                continue;
            held["document"]["organisations"][2]["weight"] = 1 + below(random, 9);
            const auto told = m_system.applyConfiguration(below(random, 3), held["document"]);
            const std::lock_guard lock(m_history.mutex);
            m_history.configurations += told.status == 200 ? 1 : 0;
            m_history.conflicts += told.status == 409 ? 1 : 0;
        }
    }

    void moveFailureDomains()
    {
        random_source random(m_seed + 400);
        while (!m_stopping) {
            std::this_thread::sleep_for(milliseconds(2000 + below(random, 3000)));
            const auto& domain = domains[below(random, 3)];
            const auto told = m_system.setFailureDomain(below(random, 3), domain, true);
            const auto accepted = steadyNow();
            std::this_thread::sleep_for(milliseconds(3000 + below(random, 4000)));
            if (told.status == 200) {
                const std::lock_guard lock(m_history.mutex);
                m_history.outs.push_back({ domain, accepted + outDelay, steadyNow() });
            }
            eventually([&] { return m_system.setFailureDomain(below(random, 3), domain, false).status == 200; });
        }
    }

    cluster& m_system;
    std::uint64_t m_seed;
    std::atomic<bool> m_stopping { false };
    std::vector<std::thread> m_threads;
    history m_history;
};

/// @brief Strikes processes and links, one fault after the other, each undone before the next but one.
class fault_source {
public:
    fault_source(cluster& system, std::uint64_t seed)
        : m_system(system)
        , m_random(seed + 500)
    {
    }

    void run(milliseconds duration)
    {
        const auto end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end) {
            strike();
            std::this_thread::sleep_for(milliseconds(300 + below(m_random, 2500)));
            // Now and then a second fault comes before the first has ended.
            if (below(m_random, 3) != 0)
                heal();
        }
        heal();
    }

    [[nodiscard]] const std::map<std::string, unsigned>& counts() const { return m_counts; }

private:
    void heal()
    {
        for (auto& undo : m_undo)
            undo();
        m_undo.clear();
    }

    void strike()
    {
        auto& agent = m_system.agents[below(m_random, static_cast<unsigned>(m_system.agents.size()))];
        auto& entry = m_system.entries[below(m_random, static_cast<unsigned>(m_system.entries.size()))];
        const auto agentIndex = static_cast<std::size_t>(&agent - m_system.agents.data());
        const auto entryIndex = static_cast<std::size_t>(&entry - m_system.entries.data());
        switch (below(m_random, 8)) {
        case 0:
            ++m_counts["agent killed"];
            agent.process->kill();
            m_undo.emplace_back([this, agentIndex] { m_system.startAgent(agentIndex); });
            return;
        case 1:
            ++m_counts["entry killed"];
            entry.process->kill();
            m_undo.emplace_back([this, entryIndex] { m_system.startEntry(entryIndex); });
            return;
        case 2:
            ++m_counts["agent frozen"];
            agent.process->freeze();
            m_undo.emplace_back([this, agentIndex] { m_system.agents[agentIndex].process->thaw(); });
            return;
        case 3:
            ++m_counts["entry frozen"];
            entry.process->freeze();
            m_undo.emplace_back([this, entryIndex] { m_system.entries[entryIndex].process->thaw(); });
            return;
        case 4:
            strikeLink(*agent.backendLink, "backend link");
            return;
        case 5:
            strikeLink(below(m_random, 2) == 0 ? *entry.rpcLink : *agent.rpcLink, "RPC link");
            return;
        case 6:
            strikeStore(entry);
            return;
        default:
            // Always one of the same two workers, so that no sound job fails on three.
            ++m_counts["worker fails everything"];
            const auto worker = m_system.agents[below(m_random, 2)].worker;
            m_system.setWorker(worker, { { "fail_everything", true } });
            m_undo.emplace_back([this, worker] { m_system.setWorker(worker, { { "fail_everything", false } }); });
        }
    }

    void strikeLink(fault_proxy& link, const std::string& name)
    {
        static const std::vector<std::pair<std::string, link_fault>> faults { { "cut", link_fault::Cut },
            { "frozen", link_fault::Freeze }, { "drops", link_fault::Drop }, { "loses replies", link_fault::LoseReply },
            { "half open", link_fault::HalfOpen } };
        const auto& [what, fault] = faults[below(m_random, static_cast<unsigned>(faults.size()))];
        ++m_counts[name + " " + what];
        link.set(fault);
        m_undo.emplace_back([&link] { link.set(link_fault::None); });
    }

    void strikeStore(entry_node& entry)
    {
        switch (below(m_random, 4)) {
        case 0:
            strikeLink(*entry.storeLink, "entry-store link");
            return;
        case 1:
            ++m_counts["store down"];
            m_system.setStoreMode({ { "mode", "down" } });
            break;
        case 2:
            ++m_counts["store slow"];
            m_system.setStoreMode({ { "mode", "slow" }, { "delay_ms", 400 } });
            break;
        default:
            ++m_counts["store loses replies"];
            m_system.setStoreMode({ { "mode", "lose-replies" }, { "probability", 0.5 }, { "seed", m_random() } });
        }
        m_undo.emplace_back([this] { m_system.setStoreMode({ { "mode", "up" } }); });
    }

    cluster& m_system;
    random_source m_random;
    std::vector<std::function<void()>> m_undo;
    std::map<std::string, unsigned> m_counts;
};

struct judgement {
    unsigned accepted = 0;
    unsigned completed = 0;
    unsigned refused = 0;
    unsigned mayHaveRun = 0;
    unsigned cancelled = 0;
    unsigned failed = 0;
    unsigned doubled = 0;
    unsigned lost = 0;
    unsigned partialGangs = 0;
    unsigned startsInOutDomain = 0;
};

void complain(const std::string& what)
{
    std::cout << "  violation: " << what << "\n";
}

void judgeRequests(const history& told, const std::map<std::string, unsigned>& executions, judgement& result)
{
    for (const auto& request : told.requests) {
        const auto found = executions.find(request.key);
        const auto count = found == executions.end() ? 0 : found->second;
        if (request.unrepeatable && count > 1) {
            ++result.doubled;
            complain("request " + request.key + " ran " + std::to_string(count) + " times");
        }
        const bool single = request.replies.size() == 1;
        for (const auto& reply : request.replies) {
            if (reply.verdict == "completed") {
                ++result.accepted;
                ++result.completed;
                const bool own = reply.body.is_object() && reply.body.value("key", "") == request.key;
                if (count == 0 || !own) {
                    ++result.lost;
                    complain("request " + request.key + " told completed: " + reply.text);
                }
            } else if (reply.verdict == "not-run") {
                ++result.refused;
                if (single && count > 0) {
                    ++result.lost;
                    complain("request " + request.key + " told not-run, but ran: " + reply.text);
                }
            } else {
                ++result.mayHaveRun;
            }
        }
    }
}

void judgeJob(const submitted_job& job, const std::string& state, const std::map<std::string, attempt_run>& attempts,
    judgement& result)
{
    unsigned started = 0;
    bool whole = false;
    for (const auto& [name, attempt] : attempts) {
        if (attempt.job != job.id)
            continue;
        ++started;
        whole = whole || attempt.wholeFinished();
    }
    const auto name = "job " + job.organisation + "/" + job.id + " (" + state + ")";
    if (!job.repeatable && started > 1) {
        ++result.doubled;
        complain(name + " is unrepeatable and started " + std::to_string(started) + " attempts");
    }
    if (state == "finished") {
        ++result.completed;
        if (!whole) {
            ++result.lost;
            complain(name + " never finished whole");
        }
    } else if (state == "may-have-run" && !job.repeatable) {
        ++result.mayHaveRun;
    } else if (state == "cancelled" && job.cancelled) {
        ++result.cancelled;
    } else if (state == "failed" && (job.fails || !job.repeatable)) {
        ++result.failed;
    } else {
        ++result.lost;
        complain(name + " has no rightful end");
    }
}

unsigned countOutStarts(const history& told, const json& events)
{
    unsigned count = 0;
    for (const auto& event : events) {
        if (event["event"] != "start")
            continue;
        const milliseconds time(event["monotonic_ms"].get<std::int64_t>());
        const std::string worker = event["worker"];
        for (const auto& out : told.outs) {
            if (!worker.starts_with(out.domain) || time < out.from || time > out.to)
                continue;
            ++count;
            complain("task " + event["task"].get<std::string>() + " started on " + worker + " "
                + std::to_string((time - out.from + outDelay).count()) + " ms after the failure domain went out");
        }
    }
    return count;
}

judgement judge(const cluster& system, history& told)
{
    judgement result;
    const auto deadline = std::chrono::steady_clock::now() + endBound;
    std::vector<std::string> states;
    for (const auto& job : told.jobs) {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
        states.push_back(system.waitJob(0, job.organisation, job.id, std::max(left, milliseconds(200))));
    }
    const auto events = system.runtimeEvents();
    const auto attempts = readAttempts(events);
    judgeRequests(told, system.executions(), result);
    for (std::size_t i = 0; i < states.size(); ++i)
        judgeJob(told.jobs[i], states[i], attempts, result);
    result.accepted += static_cast<unsigned>(told.jobs.size());
    result.refused += told.jobsRefused;
    result.mayHaveRun += told.jobsUnknown;
    for (const auto& name : partialGangs(events, aloneBound)) {
        ++result.partialGangs;
        complain("gang " + name + " ran partially for "
            + std::to_string(attempts.at(name).partialTime().count()) + " ms");
    }
    result.startsInOutDomain = countOutStarts(told, events);
    return result;
}

bool print(const judgement& result, const history& told, const fault_source& faults)
{
    for (const auto& [what, count] : faults.counts())
        std::cout << "  fault: " << what << " " << count << "\n";
    std::cout << "requests submitted    " << told.requests.size() << "\n"
              << "jobs accepted         " << told.jobs.size() << "\n"
              << "configurations        " << told.configurations << " accepted, " << told.conflicts << " conflicts\n"
              << "failure domains out   " << told.outs.size() << "\n"
              << "accepted              " << result.accepted << "\n"
              << "completed             " << result.completed << "\n"
              << "cancelled             " << result.cancelled << "\n"
              << "failed                " << result.failed << "\n"
              << "refused               " << result.refused << "\n"
              << "may-have-run          " << result.mayHaveRun << "\n"
              << "doubled               " << result.doubled << "\n"
              << "lost                  " << result.lost << "\n"
              << "partial gangs         " << result.partialGangs << "\n"
              << "starts in out domain  " << result.startsInOutDomain << "\n";
    return result.doubled + result.lost + result.partialGangs + result.startsInOutDomain == 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Runs a system of 3 entries and 11 agents under load and random faults and judges the outcome.");
    unsigned seconds = 300;
    std::uint64_t seed = 20261204;
    app.add_option("--seconds", seconds, "time under load and faults");
    app.add_option("--seed", seed, "seed of load and faults");
    CLI11_PARSE(app, argc, argv);

    try {
        cluster system({ .entries = 3, .workersPerDomain = { 4, 4, 3 } });
        scenario load(system, seed);
        fault_source faults(system, seed);
        load.startCallers();
        faults.run(std::chrono::seconds(seconds));
        load.stopCallers();
        const bool inForce = system.waitInForce(system.agents.size());
        for (std::size_t i = 0; !inForce && i < system.entries.size(); ++i)
            complain("not in force everywhere at the end: " + system.get(i, "/v1/config/in-force").text);
        const auto result = judge(system, load.told());
        return print(result, load.told(), faults) && inForce ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
