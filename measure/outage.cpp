/// @file
/// @brief Compares the work done during an outage of the store with the same run without one.
#include "harness/load.hpp"
#include "harness/oracle.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <iostream>

namespace {

using namespace oriole;
using namespace oriole::harness;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

struct outcome {
    unsigned requestsInside = 0; ///< Completed inside the window of the outage.
    unsigned tasksInside = 0; ///< Finished tasks inside that window.
    unsigned jobsAccepted = 0;
    unsigned jobsRefused = 0;
    unsigned jobsFinished = 0;
    verdict_check verdicts;
};

/// @brief Jobs from a thread of its own, with what their callers were told.
class job_callers {
public:
    explicit job_callers(const cluster& system)
        : m_thread([this, &system] { run(system); })
    {
    }

    void stop()
    {
        m_stopping = true;
        m_thread.join();
    }

    std::vector<std::pair<std::string, std::string>> accepted;
    unsigned refused = 0;

private:
    void run(const cluster& system)
    {
        const std::vector<std::string> organisations { "alpha", "beta", "gamma", "delta" };
        for (std::size_t i = 0; !m_stopping; ++i) {
            const auto& organisation = organisations[i % organisations.size()];
            const auto told = system.submitJob(i % system.entries.size(), organisation, gangJob(4, "worker", 400));
            if (told.status == 202)
                accepted.emplace_back(organisation, told.body.value("job", ""));
            else
                ++refused;
            std::this_thread::sleep_for(30ms);
        }
    }

    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

unsigned finishesBetween(const json& events, milliseconds from, milliseconds to)
{
    unsigned count = 0;
    for (const auto& event : events) {
        const milliseconds time(event["monotonic_ms"].get<std::int64_t>());
        count += event["event"] == "finish" && from <= time && time < to ? 1 : 0;
    }
    return count;
}

outcome run(bool outage, milliseconds length)
{
    cluster system({ .entries = 3, .workersPerDomain = { 4, 4, 3 } });
    request_load load(system, { .callers = 6, .body = { { "work_ms", 10 } }, .headers = { { "Orioleway-Timeout-Ms", "2000" } } });
    job_callers jobs(system);
    std::this_thread::sleep_for(length / 2);

    if (outage)
        system.setStoreMode({ { "mode", "down" } });
    const auto from = steadyNow();
    const auto completedBefore = load.completed();
    std::this_thread::sleep_for(length / 4);
    system.entries[2].process->kill();
    system.agents[10].process->kill();
    std::this_thread::sleep_for(length / 4);
    system.startEntry(2);
    system.startAgent(10);
    std::this_thread::sleep_for(length / 2);
    const auto to = steadyNow();
    outcome result;
    result.requestsInside = static_cast<unsigned>(load.completed() - completedBefore);
    if (outage)
        system.setStoreMode({ { "mode", "up" } });
    std::this_thread::sleep_for(length / 2);

    const auto told = load.stop();
    jobs.stop();
    result.jobsAccepted = static_cast<unsigned>(jobs.accepted.size());
    result.jobsRefused = jobs.refused;
    for (const auto& [organisation, id] : jobs.accepted)
        result.jobsFinished += system.waitJob(0, organisation, id) == "finished" ? 1 : 0;
    result.tasksInside = finishesBetween(system.runtimeEvents(), from, to);
    result.verdicts = checkVerdicts(told, system.executions());
    return result;
}

void print(const char* what, const outcome& result)
{
    std::printf("%s: inside the window %u requests completed, %u tasks finished; jobs accepted %u, finished %u, "
                "refused %u\n  requests over all: completed %u, not-run %u, may-have-run %u, false not-run %u\n",
        what, result.requestsInside, result.tasksInside, result.jobsAccepted, result.jobsFinished, result.jobsRefused,
        result.verdicts.completed, result.verdicts.notRun, result.verdicts.mayHaveRun, result.verdicts.falseNotRun);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Runs the same load with and without an outage of the store; one entry and one agent are killed.");
    unsigned seconds = 12;
    app.add_option("--seconds", seconds, "length of the outage");
    CLI11_PARSE(app, argc, argv);
    try {
        const auto without = run(false, std::chrono::seconds(seconds));
        const auto with = run(true, std::chrono::seconds(seconds));
        print("without outage", without);
        print("with outage", with);
        std::printf("share of the work done inside the outage: requests %.2f, tasks %.2f\n",
            static_cast<double>(with.requestsInside) / std::max(without.requestsInside, 1U),
            static_cast<double>(with.tasksInside) / std::max(without.tasksInside, 1U));
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
