#include "agent_process.hpp"
#include "entry_process.hpp"

#include <settings.hpp>

#include <oriole/helpers/log.hpp>

#include <CLI/CLI.hpp>

#include <iostream>
#include <unistd.h>

namespace {

constexpr int exitInvalidSettings = 2;

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("orioleway: schedules jobs of many steps on a platform's workers", "oriolefleetd");
    app.require_subcommand(1);
    fleetd::process_options options;
    app.add_option("--settings", options.settingsFile, "Settings file of the platform")->envname("ORIOLEWAY_NODE_FILE");
    app.add_option("--metrics-port", options.metricsPort, "Port of GET /metrics, 0 to disable it")
        ->envname("ORIOLE_METRICS_PORT")
        ->capture_default_str();
    app.add_option("--announce-address", options.announcedAddress,
           "IP:PORT at which the system's other processes reach this one, if not the address on which it listens")
        ->envname("ORIOLE_ANNOUNCE_ADDRESS");
    auto* entry = app.add_subcommand("entry", "Serve callers; one of the entries runs the scheduler");
    app.add_subcommand("agent", "Run beside a backend server and control its tasks");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : exitInvalidSettings;
    }

    const auto settings = platform::readSettings(options.settingsFile);
    if (!settings) {
        std::cerr << settings.error().reason << '\n';
        return exitInvalidSettings;
    }
    // Logs belong on standard output, but the logging library writes to standard error.
    dup2(STDOUT_FILENO, STDERR_FILENO);
    oriole::startLogging("oriolefleetd", settings.value().name);
    platform::logUnusableBounds(settings.value());
    return entry->parsed() ? fleetd::runEntry(settings.value(), options) : fleetd::runAgent(settings.value(), options);
}
