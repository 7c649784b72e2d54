#include <oriole/agent/agent_process.hpp>
#include <oriole/entry/entry_process.hpp>

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>

namespace {

constexpr int exitBadSettings = 2;

std::string environmentName(const std::string& flag)
{
    std::string name = "ORIOLEWAY_";
    for (const char c : flag.substr(2))
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

/// @brief Adds flags to a subcommand, each also an environment variable; a bad value names flag and value.
class flag_set {
public:
    explicit flag_set(CLI::App& command)
        : m_command(command)
    {
    }

    template <typename Value>
    CLI::Option* add(const std::string& flag, Value& target, const std::string& help)
    {
        return m_command.add_option(flag, target, help)->envname(environmentName(flag));
    }

    /// @brief Adds a flag whose text @p parse turns into the target.
    template <typename Value, typename Parse>
    CLI::Option* addParsed(const std::string& flag, Value& target, const std::string& help, Parse parse)
    {
        const auto take = [&target, flag, parse](const std::string& text) {
            auto parsed = parse(text);
            if (!parsed)
                throw CLI::ValidationError(flag, parsed.error().reason);
            target = std::move(parsed.value());
        };
        return m_command.add_option_function<std::string>(flag, take, help)->envname(environmentName(flag));
    }

    CLI::Option* addEndpoints(const std::string& flag, std::vector<oriole::endpoint>& target, const std::string& help)
    {
        const auto take = [&target, flag](const std::vector<std::string>& texts) {
            for (const auto& text : texts) {
                auto parsed = oriole::parseEndpoint(text);
                if (!parsed)
                    throw CLI::ValidationError(flag, parsed.error().reason);
                target.push_back(parsed.value());
            }
        };
        return m_command.add_option_function<std::vector<std::string>>(flag, take, help)
            ->envname(environmentName(flag))
            ->delimiter(',')
            ->allow_extra_args(false);
    }

    CLI::Option* addLogLevel(oriole::log_level& target)
    {
        static const std::map<std::string, oriole::log_level> names { { "debug", oriole::log_level::Debug },
            { "info", oriole::log_level::Info }, { "warning", oriole::log_level::Warning },
            { "error", oriole::log_level::Error } };
        return add("--log-level", target, "debug, info, warning or error")->transform(CLI::CheckedTransformer(names));
    }

private:
    CLI::App& m_command;
};

oriole::result<oriole::policy> parsePolicyFlag(const std::string& text)
{
    if (const auto chosen = oriole::parsePolicy(text))
        return *chosen;
    return oriole::notRun(oriole::failure_kind::InvalidInput, "'" + text + "' is neither guarantee nor first-fit");
}

void addEntryFlags(CLI::App& command, oriole::entry_settings& settings)
{
    flag_set flags(command);
    flags.add("--name", settings.name, "Name of this entry")->required();
    flags.addParsed("--http", settings.http, "Address for callers and operators, IP:PORT", oriole::parseEndpoint)
        ->required();
    flags.addParsed("--rpc", settings.rpc, "Address for agents and peers, IP:PORT", oriole::parseEndpoint)->required();
    flags.addParsed("--advertise-rpc", settings.advertisedRpc, "Address by which others reach --rpc", oriole::parseEndpoint);
    flags.addParsed("--store", settings.store, "The platform's store, http://IP:PORT", oriole::parseEndpoint)
        ->required();
    flags.add("--environment", settings.environment, "Name of the environment")->required();
    flags.add("--failure-domain", settings.failureDomain, "Failure domain of this entry")->required();
    flags.add("--region", settings.region, "Region of this entry")->required();
    flags.addEndpoints("--seed", settings.seeds, "RPC address of another entry; may be repeated");
    flags.addParsed("--policy", settings.decisions, "How jobs are placed: guarantee or first-fit", parsePolicyFlag);
    flags.addLogLevel(settings.logLevel);
}

void addAgentFlags(CLI::App& command, oriole::agent_settings& settings)
{
    flag_set flags(command);
    flags.add("--worker", settings.worker, "Name of this worker")->required();
    flags.addParsed("--rpc", settings.rpc, "Address for entries and peers, IP:PORT", oriole::parseEndpoint)->required();
    flags.addParsed("--advertise-rpc", settings.advertisedRpc, "Address by which others reach --rpc", oriole::parseEndpoint);
    flags.addParsed("--store", settings.store, "The platform's store, http://IP:PORT", oriole::parseEndpoint)
        ->required();
    flags.add("--environment", settings.environment, "Name of the environment")->required();
    flags.add("--failure-domain", settings.failureDomain, "Failure domain of this worker")->required();
    flags.add("--region", settings.region, "Region of this worker")->required();
    flags.add("--rack", settings.rack, "Rack of this worker")->required();
    flags.add("--service", settings.service, "Service that the backend server offers")->required();
    flags.addParsed("--backend", settings.backend, "The backend server, IP:PORT", oriole::parseEndpoint)->required();
    flags.add("--slots", settings.slots, "Requests that the backend server runs at once");
    flags.add("--connections", settings.connections, "Requests accepted at once, running and queued");
    flags.addParsed("--runtime", settings.runtime, "The worker runtime, http://IP:PORT/path", oriole::parseRuntimeAddress)
        ->required();
    flags.add("--accelerators", settings.accelerators, "Accelerators of this worker");
    flags.add("--processors", settings.processors, "Processors of this worker");
    flags.add("--memory-gb", settings.memoryGb, "Memory of this worker in GB");
    flags.addEndpoints("--seed", settings.seeds, "RPC address of an entry; may be repeated");
    flags.addLogLevel(settings.logLevel);
}

template <typename Settings, typename Check, typename Run>
int runChecked(const Settings& settings, Check check, Run run)
{
    const auto checked = check(settings);
    if (!checked) {
        std::cerr << checked.error().reason << '\n';
        return exitBadSettings;
    }
    return run(checked.value());
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("orioleway: schedules gang jobs and short requests", "oriolewayd");
    app.require_subcommand(1);

    oriole::entry_settings entry;
    auto* entryCommand = app.add_subcommand("entry", "Serves callers and operators, and places work");
    addEntryFlags(*entryCommand, entry);

    oriole::agent_settings agent;
    auto* agentCommand = app.add_subcommand("agent", "Runs beside a backend server and starts tasks on its worker");
    addAgentFlags(*agentCommand, agent);

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : exitBadSettings;
    }
    if (entryCommand->parsed())
        return runChecked(entry, oriole::checkEntrySettings, oriole::runEntry);
    return runChecked(agent, oriole::checkAgentSettings, oriole::runAgent);
}
