// Soak of oriolefleetd: real processes, the project's stand-ins around them, and faults drawn from a seed.
#include "caller_load.hpp"
#include "fault_script.hpp"
#include "rule_checker.hpp"

#include <CLI/CLI.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace fleet::soak;
using oriole::milliseconds;

struct soak_options {
    std::uint64_t seed = 1;
    unsigned seconds = 30;
    unsigned entries = 3;
    unsigned workers = 11;
    double jobsPerSecond = 3;
    unsigned faultPeriodMs = 900;
    unsigned longestLeaseMs = 6000;
    std::vector<std::string> kinds;
    std::string directory;
};

constexpr milliseconds startTime { 4000 };
// After the faults a job may be late by what is remembered of them; from then on the platform looks at it.
constexpr milliseconds settleTime { 14'000 };
constexpr milliseconds judgedTime { 8000 };
constexpr milliseconds lookPeriod { 100 };

/// @brief Whether a run of the job is at work on a worker.
std::map<std::string, bool> jobsAtWork(const soak_history& history)
{
    std::map<std::string, bool> working;
    for (const auto& run : history.runs) {
        if (run.endedAt < 0)
            working[run.task.substr(0, run.task.find('.'))] = true;
    }
    return working;
}

void trackIdleJobs(soak_history& history, fleet_deployment& deployment)
{
    std::size_t active = 0;
    std::size_t workers = 0;
    for (auto& served : deployment.workers()) {
        active += served.worker->activeRuns();
        workers += served.worker->isLost() ? 0 : 1;
    }
    // Half of the room of all workers, four tasks each.
    const bool hasRoom = active < workers * 2;
    const auto working = jobsAtWork(history);
    const double now = deployment.seconds();
    for (auto& [id, job] : history.jobs) {
        const bool isOpen = job.lastState == "queued" || job.lastState == "in_progress";
        if (!isOpen || !hasRoom || working.contains(id) || job.idleSince < 0)
            job.idleSince = now;
        job.longestIdle = std::max(job.longestIdle, now - job.idleSince);
    }
}

void writeRecord(const soak_history& history, const std::string& path)
{
    std::ofstream out(path);
    for (const auto& run : history.runs) {
        out << run.task << " attempt " << run.attempt << " on " << run.worker << "/" << run.instance << " " << run.startedAt << " "
            << run.endedAt << " " << run.outcome << (run.noted ? " noted" : "") << " [" << run.order << "] [" << run.acknowledgement << "]\n";
    }
    for (const auto& [id, job] : history.jobs)
        out << "job " << id << " " << job.lastState << " idle " << job.longestIdle << "\n";
}

/// @brief Prints the lines of all logs that name the subject of the violation, oldest first.
void printTrace(const std::string& subject, const std::string& directory)
{
    constexpr std::size_t maxLines = 40;
    std::vector<std::string> lines;
    for (const auto& file : std::filesystem::directory_iterator(directory)) {
        std::ifstream in(file.path());
        for (std::string line; file.path().extension() == ".log" && std::getline(in, line);) {
            if (line.find(subject) != std::string::npos)
                lines.push_back(line);
        }
    }
    std::sort(lines.begin(), lines.end());
    for (std::size_t i = 0; i < std::min(lines.size(), maxLines); ++i)
        std::cout << "    " << lines[i] << "\n";
}

int runSoak(const soak_options& options, const std::string& directory)
{
    oriole::event_loop loop;
    soak_history history;
    fleet_deployment deployment(loop, { options.seed, options.entries, options.workers, milliseconds(options.longestLeaseMs), directory }, history);
    std::unique_ptr<caller_load> callers;
    fault_script faults(loop, deployment, options.seed, options.kinds);
    auto& timers = loop.timers();
    const auto faultTime = milliseconds(options.seconds * 1000);
    oriole::timer_service::subscription_id look = 0;
    timers.subscribeOnce(startTime, [&](oriole::time_point) {
        callers = std::make_unique<caller_load>(loop, deployment, history, options.seed, options.jobsPerSecond);
        faults.start(milliseconds(options.faultPeriodMs));
    });
    timers.subscribeOnce(startTime + faultTime, [&](oriole::time_point) {
        callers->stopSubmissions();
        faults.stop();
    });
    timers.subscribeOnce(startTime + faultTime + settleTime, [&](oriole::time_point) {
        look = timers.subscribeEvery(lookPeriod, [&](oriole::time_point) { trackIdleJobs(history, deployment); });
    });
    timers.subscribeOnce(startTime + faultTime + settleTime + judgedTime, [&](oriole::time_point) {
        timers.cancel(look);
        loop.stop();
    });
    loop.run();

    writeRecord(history, directory + "/record.txt");
    const auto violations = findViolations(history);
    unsigned done = 0;
    std::map<std::string, unsigned> states;
    for (const auto& run : history.runs)
        done += run.outcome == "done" ? 1 : 0;
    for (const auto& [id, job] : history.jobs)
        ++states[job.state == handing_in::Accepted ? job.lastState : "not accepted"];
    std::cout << "seed " << options.seed << ": " << history.jobs.size() << " jobs, " << history.runs.size() << " runs, " << done << " done;";
    for (const auto& [state, count] : states)
        std::cout << " " << state << " " << count;
    std::cout << "; faults";
    for (const auto& [kind, count] : faults.counts())
        std::cout << " " << kind << " " << count;
    std::cout << "\n";
    std::map<std::string, unsigned> broken;
    for (const auto& entry : violations) {
        ++broken[entry.rule];
        std::cout << "  " << entry.rule << " " << entry.subject << ": " << entry.description << "\n";
        if (broken[entry.rule] <= 2)
            printTrace(entry.subject, directory);
    }
    std::cout << "seed " << options.seed << ": " << violations.size() << " violations" << std::endl;
    return violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    soak_options options;
    CLI::App app("Soak of oriolefleetd with faults drawn from a seed", "fleet_soak");
    app.add_option("--seed", options.seed, "Seed of all draws")->capture_default_str();
    app.add_option("--seconds", options.seconds, "How long faults are drawn")->capture_default_str();
    app.add_option("--entries", options.entries, "Entries")->capture_default_str();
    app.add_option("--workers", options.workers, "Workers, each with an agent")->capture_default_str();
    app.add_option("--jobs-per-second", options.jobsPerSecond, "Jobs handed in")->capture_default_str();
    app.add_option("--fault-period", options.faultPeriodMs, "Time between two faults in ms")->capture_default_str();
    app.add_option("--longest-lease", options.longestLeaseMs, "Longest lease that workers allow in ms")->capture_default_str();
    app.add_option("--kinds", options.kinds, "Kinds of faults, separated by spaces; those of the ordinary soak if none is named")
        ->check(CLI::IsMember(fault_script::knownKinds()));
    app.add_option("--directory", options.directory, "Keeps settings, logs and the record there");
    CLI11_PARSE(app, argc, argv);
    if (!options.directory.empty()) {
        std::filesystem::create_directories(options.directory);
        return runSoak(options, options.directory);
    }
    const oriole::harness::test_directory directory;
    return runSoak(options, directory.file("."));
}
