#include "command_line.hpp"

#include <oriole/ctl/operations.hpp>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <sstream>
#include <thread>

namespace oriole::ctl {

namespace {

/// @brief Input that makes the whole command unusable.
struct usage_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// @brief Values of all options; each command reads its own.
struct arguments {
    std::string entry;
    std::string output = "table";
    std::string author;
    unsigned timeoutMs = 30000;
    std::string file;
    apply_options apply;
    unsigned waitLimitMs = 30000;
    std::string trial;
    std::string production;
    std::string environment;
    std::string name;
    job_options job;
    std::string adjacency = "worker";
    std::string jobClass = "normal";
    unsigned runMs = 1000;
    bool unrepeatable = false;
    std::string jobId;
    unsigned waitMs = 0;
    request_options request;
    unsigned requestTimeoutMs = 0;
};

using action = std::function<exit_code(const command_context&)>;

std::string readText(const std::string& file)
{
    if (file == "-")
        return { std::istreambuf_iterator<char>(std::cin), {} };
    std::ifstream stream(file);
    if (!stream)
        throw usage_error("cannot read " + file);
    return { std::istreambuf_iterator<char>(stream), {} };
}

/// @brief The tool's commands, bound to the values that the parser fills in.
class command_line {
public:
    command_line();
    int run(int argc, char** argv);

private:
    std::unique_ptr<entry_api> connect(const std::string& flag, const std::string& address) const;
    std::unique_ptr<entry_api> connect() const { return connect("--entry", m_values.entry); }
    CLI::App* addCommand(CLI::App& parent, const std::string& name, const std::string& text, action run);

    void addConfigCommands();
    void addFailureDomainCommands();
    void addListCommands();
    void addJobCommands();
    void addRequestCommands();
    job_options readJob() const;
    request_options readRequest() const;

    CLI::App m_app { "Operates orioleway through an entry", "oriolewayctl" };
    arguments m_values;
    action m_action;
};

command_line::command_line()
{
    m_app.require_subcommand(1);
    m_app.fallthrough();
    m_app.add_option("--entry", m_values.entry, "HTTP address of an entry, IP:PORT")->envname("ORIOLEWAY_ENTRY");
    m_app.add_option("--output", m_values.output, "json or table")->check(CLI::IsMember({ "json", "table" }));
    m_app.add_option("--author", m_values.author, "Who makes the change")->envname("ORIOLEWAY_AUTHOR");
    m_app.add_option("--timeout-ms", m_values.timeoutMs, "Longest wait for an answer of the entry")
        ->check(CLI::Range(1U, 600000U));
    addConfigCommands();
    addFailureDomainCommands();
    addListCommands();
    addJobCommands();
    addRequestCommands();
}

std::unique_ptr<entry_api> command_line::connect(const std::string& flag, const std::string& address) const
{
    if (address.empty())
        throw usage_error(flag + " is missing");
    auto parsed = parseEndpoint(address);
    if (parsed.has_error())
        throw usage_error(flag + ": " + parsed.error().reason);
    return std::make_unique<http_entry_api>(parsed.value(), std::chrono::milliseconds(m_values.timeoutMs));
}

CLI::App* command_line::addCommand(CLI::App& parent, const std::string& name, const std::string& text, action run)
{
    auto* command = parent.add_subcommand(name, text);
    command->callback([this, run = std::move(run)] { m_action = run; });
    return command;
}

void command_line::addConfigCommands()
{
    auto* config = m_app.add_subcommand("config", "The configuration document");
    config->require_subcommand(1);
    auto* check = addCommand(*config, "check", "Check a document without any entry",
        [this](const auto& context) { return checkDocument(context, readText(m_values.file)); });
    addCommand(*config, "show", "Print the document in force",
        [this](const auto& context) { return showDocument(*connect(), context); });
    auto* diff = addCommand(*config, "diff", "Print what a document would change",
        [this](const auto& context) { return diffDocument(*connect(), context, readText(m_values.file)); });
    auto* apply = addCommand(*config, "apply", "Make a document the one in force", [this](const auto& context) {
        m_values.apply.waitLimit = std::chrono::milliseconds(m_values.waitLimitMs);
        return applyDocument(*connect(), context, readText(m_values.file), m_values.apply);
    });
    addCommand(*config, "history", "List accepted documents",
        [this](const auto& context) { return showPage(*connect(), context, "/v1/config/history"); });
    auto* move = addCommand(*config, "promote", "Apply the trial's document to production", [this](const auto& context) {
        return promote(*connect("--from", m_values.trial), *connect("--to", m_values.production), context,
            m_values.environment);
    });

    for (auto* command : { check, diff, apply })
        command->add_option("file", m_values.file, "Document; - for standard input")->required();
    apply->add_option("--expected-revision", m_values.apply.expectedRevision, "Revision that is in force now")->required();
    apply->add_flag("--wait", m_values.apply.wait, "Wait until the document is in force everywhere");
    apply->add_option("--wait-limit-ms", m_values.waitLimitMs, "Longest wait");
    move->add_option("--from", m_values.trial, "HTTP address of an entry of the trial")->required();
    move->add_option("--to", m_values.production, "HTTP address of an entry of production")->required();
    move->add_option("--environment", m_values.environment, "Name of production, for a first document");
}

void command_line::addFailureDomainCommands()
{
    auto* domain = m_app.add_subcommand("failure-domain", "Take failure domains out and back in");
    domain->require_subcommand(1);
    auto* out = addCommand(*domain, "out", "No new work there",
        [this](const auto& context) { return setFailureDomain(*connect(), context, m_values.name, true); });
    auto* in = addCommand(*domain, "in", "Back to work",
        [this](const auto& context) { return setFailureDomain(*connect(), context, m_values.name, false); });
    addCommand(*domain, "list", "List failure domains",
        [this](const auto& context) { return showPage(*connect(), context, "/v1/failure-domains"); });
    for (auto* command : { out, in })
        command->add_option("name", m_values.name, "Failure domain")->required();
}

void command_line::addListCommands()
{
    const auto addList = [this](const std::string& noun, const std::string& path) {
        auto* group = m_app.add_subcommand(noun, "The " + noun + "s known");
        group->require_subcommand(1);
        addCommand(*group, "list", "List them",
            [this, path](const auto& context) { return showPage(*connect(), context, path); });
    };
    addList("organisation", "/v1/organisations");
    addList("worker", "/v1/workers");
    addCommand(m_app, "status", "Print the state of the system",
        [this](const auto& context) { return showPage(*connect(), context, "/v1/status"); });
}

void command_line::addJobCommands()
{
    auto* job = m_app.add_subcommand("job", "Gang jobs");
    job->require_subcommand(1);
    auto* submit = addCommand(*job, "submit", "Submit a job",
        [this](const auto& context) { return submitJob(*connect(), context, readJob()); });
    auto* status = addCommand(*job, "status", "Print the state of a job", [this](const auto& context) {
        return showJob(*connect(), context, m_values.job.organisation, m_values.jobId,
            std::chrono::milliseconds(m_values.waitMs));
    });
    auto* cancel = addCommand(*job, "cancel", "Cancel a job", [this](const auto& context) {
        return cancelJob(*connect(), context, m_values.job.organisation, m_values.jobId);
    });
    auto* list = addCommand(*job, "list", "List the jobs of an organisation", [this](const auto& context) {
        return showPage(
            *connect(), context, "/v1/organisations/" + encodeUrl(m_values.job.organisation) + "/jobs");
    });
    for (auto* command : { submit, status, cancel, list })
        command->add_option("--organisation", m_values.job.organisation, "Organisation")->required();
    for (auto* command : { status, cancel })
        command->add_option("job", m_values.jobId, "Id of the job")->required();
    status->add_option("--wait-ms", m_values.waitMs, "Wait for the job's end that long");

    submit->add_option("--accelerators", m_values.job.shape.accelerators, "Accelerators")
        ->required()
        ->check(CLI::Range(1U, 1000000U));
    submit->add_option("--adjacency", m_values.adjacency, "How close the accelerators are")
        ->check(CLI::IsMember({ "worker", "rack", "failure-domain" }));
    submit->add_option("--processors", m_values.job.shape.processors, "Processors in total");
    submit->add_option("--memory-gb", m_values.job.shape.memoryGb, "Memory in total");
    submit->add_option("--run-ms", m_values.runMs, "Declared run time");
    submit->add_option("--class", m_values.jobClass, "normal or urgent")->check(CLI::IsMember({ "normal", "urgent" }));
    submit->add_flag("--unrepeatable", m_values.unrepeatable, "Runs at most once");
    submit->add_option("--payload", m_values.job.payload, "Text handed to each task");
    submit->add_option("--idempotency-key", m_values.job.idempotencyKey, "Submitting again with it is the same job");
}

void command_line::addRequestCommands()
{
    auto* request = m_app.add_subcommand("request", "Short requests");
    request->require_subcommand(1);
    auto* send = addCommand(*request, "send", "Send a request to a service",
        [this](const auto& context) { return sendRequest(*connect(), context, readRequest()); });
    send->add_option("--organisation", m_values.request.organisation, "Organisation")->required();
    send->add_option("--service", m_values.request.service, "Service")->required();
    send->add_option("--body", m_values.request.body, "Body of the request");
    send->add_flag("--unrepeatable", m_values.request.unrepeatable, "Runs at most once");
    send->add_option("--idempotency-key", m_values.request.idempotencyKey, "Sending again with it is the same request");
    send->add_option("--request-timeout-ms", m_values.requestTimeoutMs, "Deadline of the request");
}

job_options command_line::readJob() const
{
    auto options = m_values.job;
    options.shape.adjacency = parseAdjacency(m_values.adjacency).value_or(adjacency::Worker);
    options.jobClass = parseJobClass(m_values.jobClass).value_or(job_class::Normal);
    options.run = std::chrono::milliseconds(m_values.runMs);
    options.repeatable = !m_values.unrepeatable;
    return options;
}

request_options command_line::readRequest() const
{
    auto options = m_values.request;
    if (m_values.requestTimeoutMs > 0)
        options.timeout = std::chrono::milliseconds(m_values.requestTimeoutMs);
    return options;
}

int command_line::run(int argc, char** argv)
{
    try {
        m_app.parse(argc, argv);
        const auto format = m_values.output == "json" ? output_format::Json : output_format::Table;
        const auto sleep = [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); };
        const auto author = m_values.author.empty() ? std::string("unknown") : m_values.author;
        return static_cast<int>(m_action({ std::cout, std::cerr, format, author, sleep }));
    } catch (const CLI::ParseError& error) {
        return m_app.exit(error) == 0 ? 0 : static_cast<int>(exit_code::BadUsage);
    } catch (const nlohmann::json::exception& error) {
        std::cerr << "the entry's answer is not of the expected form: " << error.what() << "\n";
        return static_cast<int>(exit_code::Unreachable);
    } catch (const usage_error& error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(exit_code::BadUsage);
    }
}

} // namespace

int runCommandLine(int argc, char** argv)
{
    return command_line().run(argc, argv);
}

} // namespace oriole::ctl
