#include <oriole/ctl/operations.hpp>

#include "entry_call.hpp"

#include <oriole/control/configuration.hpp>
#include <oriole/helpers/timer_service.hpp>

namespace oriole::ctl {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds pollPeriod { 200 };

exit_code callAndPrint(entry_api& entry, const command_context& context, const http_request& request)
{
    const auto outcome = callEntry(entry, context, request);
    if (outcome.code == exit_code::Ok)
        printBody(context, outcome.reply);
    return outcome.code;
}

http_request putDocument(const command_context& context, const std::string& document, std::uint64_t expectedRevision)
{
    return { "PUT", "/v1/config?expected_revision=" + std::to_string(expectedRevision),
        { { "Content-Type", "application/json" }, { "Orioleway-Author", context.author } }, document };
}

std::uint64_t revisionOf(const json& page)
{
    const auto found = page.find("revision");
    return found != page.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

/// @brief Waits until the revision is in force everywhere, then prints who has which.
exit_code waitInForce(entry_api& entry, const command_context& context, std::uint64_t revision, milliseconds limit)
{
    json page;
    bool everywhere = false;
    for (milliseconds waited { 0 }; !everywhere && waited <= limit; waited += pollPeriod) {
        if (waited.count() > 0)
            context.sleep(pollPeriod);
        auto code = exit_code::Ok;
        const auto current = fetch(entry, context, "/v1/config/in-force", code);
        if (!current.is_object())
            continue;
        page = current;
        everywhere = revisionOf(page) >= revision && page.value("everywhere", false);
    }
    print(context.out, context.format, page);
    return everywhere ? exit_code::Ok : exit_code::NotInForce;
}

/// @brief Says why the trial's configuration may not be promoted yet.
std::optional<std::string> notProven(const json& head, const json& inForce, milliseconds soak)
{
    if (revisionOf(inForce) != revisionOf(head))
        return "the trial's newest configuration is not in force yet";
    if (!inForce.value("everywhere", false))
        return "the trial's configuration is not in force everywhere";
    if (inForce.value("invariant_violations", std::uint64_t { 1 }) > 0)
        return "the trial reports violated invariants";
    const auto age = inForce.value("in_force_ms", std::int64_t { 0 });
    if (age < soak.count())
        return "in force everywhere for " + std::to_string(age) + " ms of " + std::to_string(soak.count()) + " ms";
    return std::nullopt;
}

exit_code refuse(const command_context& context, const std::string& reason)
{
    context.error << "not-run: " << reason << "\n";
    return exit_code::NotRun;
}

std::string environmentOf(const json& head)
{
    const auto document = head.find("document");
    if (document == head.end() || !document->is_object())
        return {};
    return document->value("environment", std::string());
}

exit_code applyPromoted(entry_api& production, const command_context& context, json document, std::string environment)
{
    auto code = exit_code::Ok;
    const auto head = fetch(production, context, "/v1/config", code);
    // An entry that has no configuration yet may answer 404; a first promotion then needs the name.
    if (!head.is_object() && (code != exit_code::NotRun || environment.empty()))
        return code;
    if (environment.empty())
        environment = environmentOf(head);
    if (environment.empty())
        return refuse(context, "production has no configuration yet; name its environment with --environment");

    document["environment"] = environment;
    const auto expected = head.is_object() ? revisionOf(head) : 0;
    return callAndPrint(production, context, putDocument(context, document.dump(), expected));
}

std::string organisationPath(const std::string& organisation)
{
    return "/v1/organisations/" + encodeUrl(organisation);
}

} // namespace

exit_code showPage(entry_api& entry, const command_context& context, const std::string& path)
{
    return callAndPrint(entry, context, { "GET", path, {}, {} });
}

exit_code checkDocument(const command_context& context, const std::string& document)
{
    json report { { "errors", json::array() }, { "warnings", json::array() } };
    const auto parsed = parseConfiguration(document);
    if (parsed.has_error()) {
        report["errors"].push_back(parsed.error().reason);
    } else {
        const auto capacity = checkCapacity(parsed.value());
        report["errors"] = capacity.errors;
        report["warnings"] = capacity.warnings;
    }
    print(context.out, context.format, report);
    return report["errors"].empty() ? exit_code::Ok : exit_code::NotRun;
}

exit_code showDocument(entry_api& entry, const command_context& context)
{
    auto code = exit_code::Ok;
    const auto head = fetch(entry, context, "/v1/config", code);
    if (!head.is_object())
        return code;
    // The document stays JSON in every format, so that it can be edited and applied.
    if (context.format == output_format::Json) {
        print(context.out, context.format, head);
    } else {
        context.out << "revision " << revisionOf(head) << "\n";
        print(context.out, output_format::Json, head.value("document", json()));
    }
    return exit_code::Ok;
}

exit_code diffDocument(entry_api& entry, const command_context& context, const std::string& document)
{
    const auto parsed = parseConfiguration(document);
    if (parsed.has_error())
        return refuse(context, parsed.error().reason);
    auto code = exit_code::Ok;
    const auto head = fetch(entry, context, "/v1/config", code);
    if (!head.is_object())
        return code;
    const auto before = head.value("document", json());
    const json report { { "revision", revisionOf(head) },
        { "differences", diffConfigurations(before.is_null() ? "" : before.dump(), document) } };
    if (context.format == output_format::Json) {
        print(context.out, context.format, report);
        return exit_code::Ok;
    }
    context.out << "against revision " << revisionOf(head) << "\n";
    print(context.out, context.format, report["differences"]);
    return exit_code::Ok;
}

exit_code applyDocument(
    entry_api& entry, const command_context& context, const std::string& document, const apply_options& options)
{
    const auto outcome = callEntry(entry, context, putDocument(context, document, options.expectedRevision));
    if (outcome.code != exit_code::Ok)
        return outcome.code;
    printBody(context, outcome.reply);
    if (!options.wait)
        return exit_code::Ok;
    return waitInForce(entry, context, options.expectedRevision + 1, options.waitLimit);
}

exit_code promote(
    entry_api& trial, entry_api& production, const command_context& context, const std::string& environment)
{
    auto code = exit_code::Ok;
    const auto head = fetch(trial, context, "/v1/config", code);
    if (!head.is_object())
        return code;
    const auto inForce = fetch(trial, context, "/v1/config/in-force", code);
    if (!inForce.is_object())
        return code;

    auto document = head.value("document", json());
    const auto parsed = parseConfiguration(document.dump());
    if (parsed.has_error())
        return refuse(context, "the trial's document: " + parsed.error().reason);
    if (const auto reason = notProven(head, inForce, parsed.value().limits.promotionSoak))
        return refuse(context, *reason);
    return applyPromoted(production, context, std::move(document), environment);
}

exit_code setFailureDomain(entry_api& entry, const command_context& context, const std::string& name, bool out)
{
    const json body { { "state", out ? "out" : "in" } };
    return callAndPrint(entry, context,
        { "PUT", "/v1/failure-domains/" + encodeUrl(name),
            { { "Content-Type", "application/json" }, { "Orioleway-Author", context.author } }, body.dump() });
}

exit_code submitJob(entry_api& entry, const command_context& context, const job_options& options)
{
    const json shape { { "accelerators", options.shape.accelerators },
        { "adjacency", toString(options.shape.adjacency) }, { "processors", options.shape.processors },
        { "memory_gb", options.shape.memoryGb } };
    const json body { { "shape", shape }, { "run_ms", options.run.count() },
        { "class", toString(options.jobClass) }, { "repeatable", options.repeatable }, { "payload", options.payload } };
    http_request request { "POST", organisationPath(options.organisation) + "/jobs",
        { { "Content-Type", "application/json" } },
        body.dump(-1, ' ', false, json::error_handler_t::replace) };
    if (!options.idempotencyKey.empty())
        request.headers["Idempotency-Key"] = options.idempotencyKey;
    return callAndPrint(entry, context, request);
}

exit_code showJob(entry_api& entry, const command_context& context, const std::string& organisation,
    const std::string& job, std::chrono::milliseconds wait)
{
    auto path = organisationPath(organisation) + "/jobs/" + encodeUrl(job);
    if (wait.count() > 0)
        path += "?wait_ms=" + std::to_string(wait.count());
    return showPage(entry, context, path);
}

exit_code cancelJob(
    entry_api& entry, const command_context& context, const std::string& organisation, const std::string& job)
{
    return callAndPrint(
        entry, context, { "DELETE", organisationPath(organisation) + "/jobs/" + encodeUrl(job), {}, {} });
}

exit_code sendRequest(entry_api& entry, const command_context& context, const request_options& options)
{
    http_request request { "POST",
        organisationPath(options.organisation) + "/requests/" + encodeUrl(options.service), {}, options.body };
    if (options.unrepeatable)
        request.headers["Orioleway-Unrepeatable"] = "true";
    if (!options.idempotencyKey.empty())
        request.headers["Idempotency-Key"] = options.idempotencyKey;
    if (options.timeout)
        request.headers["Orioleway-Timeout-Ms"] = std::to_string(options.timeout->count());
    const auto outcome = callEntry(entry, context, request);
    if (outcome.code == exit_code::Ok)
        context.out << outcome.reply.body << "\n";
    return outcome.code;
}

} // namespace oriole::ctl
