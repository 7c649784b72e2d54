#include "agent_process.hpp"
#include "entry_process.hpp"

#include <settings.hpp>

#include <oriole/helpers/log.hpp>

#include <CLI/CLI.hpp>

#include <iostream>
#include <unistd.h>

namespace {

constexpr int exitBadSettings = 2;

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("orioleway: schedules jobs of many steps on a platform's workers", "oriolefleetd");
    app.require_subcommand(1);
    fleetd::process_options options;
    app.add_option("--settings", options.settingsFile, "Settings file of the platform")->envname("ORIOLEWAY_NODE_FILE");
    app.add_option("--metrics-port", options.metricsPort, "Port of GET /metrics, 0 for none")
        ->envname("ORIOLE_METRICS_PORT")
        ->capture_default_str();
    auto* entry = app.add_subcommand("entry", "Serves callers; one of the entries schedules");
    app.add_subcommand("agent", "Runs beside a backend server and gives it orders");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : exitBadSettings;
    }

    const auto settings = platform::readSettings(options.settingsFile);
    if (!settings) {
        std::cerr << settings.error().reason << '\n';
        return exitBadSettings;
    }
    // Logs go to standard output; the library writes to standard error.
    dup2(STDOUT_FILENO, STDERR_FILENO);
    oriole::startLogging("oriolefleetd", settings.value().name);
    return entry->parsed() ? fleetd::runEntry(settings.value(), options) : fleetd::runAgent(settings.value(), options);
}
