/// @file
/// @brief A small system of real processes: shows a request, an idempotency key and two gangs, or stays up.
#include "harness/cluster.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace oriole;
using namespace oriole::harness;

void show(const std::string& what, const caller_reply& told)
{
    std::cout << what << "\n  status " << told.status << ", verdict " << told.verdict << "\n  " << told.text << "\n";
}

bool showRequests(const cluster& system)
{
    const auto plain = system.request(0, "alpha", { { "key", "licence-check-1" } });
    show("A request", plain);

    const header_map once { { "Orioleway-Unrepeatable", "true" }, { "Idempotency-Key", "bundle-7" } };
    const auto first = system.request(0, "alpha", { { "key", "bundle-7" } }, once);
    const auto second = system.request(1, "alpha", { { "key", "bundle-7" } }, once);
    show("An unrepeatable request with the key bundle-7 at entry-1", first);
    show("The same again at entry-2", second);
    const auto executions = system.executions("bundle-7");
    std::cout << "  the backend servers ran it " << executions << " time(s)\n";
    return plain.status == 200 && first.status == 200 && second.text == first.text && executions == 1;
}

bool showGang(const cluster& system, unsigned accelerators, const std::string& adjacency)
{
    constexpr unsigned runMs = 500;
    const auto accepted = system.submitJob(0, "alpha", gangJob(accelerators, adjacency, runMs));
    show("A gang of " + std::to_string(accelerators) + " accelerators, adjacency " + adjacency, accepted);
    if (accepted.status != 202)
        return false;
    const auto id = accepted.body.value("job", "");
    const auto state = system.waitJob(1, "alpha", id);
    show("The job at entry-2 at its end", system.job(1, "alpha", id));
    for (const auto& event : system.runtimeEvents("start", id))
        std::cout << "  ran on " << event["worker"] << ", accelerators " << event["accelerators"] << "\n";
    return state == "finished";
}

void printAddresses(const cluster& system)
{
    for (const auto& entry : system.entries)
        std::cout << entry.name << ": http://" << toString(entry.http) << "\n";
    for (const auto& agent : system.agents)
        std::cout << "agent of " << agent.worker << " in " << agent.failureDomain << "\n";
    const auto base = "http://" + toString(system.entries[0].http);
    std::cout << "\ncurl -i " << base << "/v1/organisations/alpha/requests/column -d '{\"key\":\"check-1\"}'\n"
              << "curl -i " << base << "/v1/organisations/alpha/jobs -d '"
              << gangJob(16, "rack", 2000).dump() << "'\n"
              << "curl -s " << base << "/v1/status\n"
              << "build/bin/oriolewayctl --entry " << toString(system.entries[0].http) << " status\n";
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Starts a small system of real processes with stand-ins for the platform.");
    bool stay = false;
    app.add_flag("--stay", stay, "keep running until interrupted");
    CLI11_PARSE(app, argc, argv);

    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGINT);
    sigaddset(&stops, SIGTERM);
    sigprocmask(SIG_BLOCK, &stops, nullptr);
    try {
        // Two workers of one rack, so that a gang of 16 fits.
        cluster system({ .entries = 2, .workersPerDomain = { 2, 1, 1 } });
        printAddresses(system);
        if (stay) {
            std::cout << "\nInterrupt to stop." << std::endl;
            int received = 0;
            sigwait(&stops, &received);
            return 0;
        }
        std::cout << "\n";
        const bool requests = showRequests(system);
        const bool gangs = showGang(system, 8, "worker") && showGang(system, 16, "rack");
        return requests && gangs ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
