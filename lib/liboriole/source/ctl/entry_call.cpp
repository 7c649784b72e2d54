#include "entry_call.hpp"

namespace oriole::ctl {

namespace {

using nlohmann::json;

constexpr unsigned httpConflict = 409;
constexpr unsigned firstErrorStatus = 400;
constexpr unsigned httpBadGateway = 502;
constexpr unsigned httpGatewayTimeout = 504;

bool changesSomething(const http_request& request)
{
    return request.method != "GET";
}

std::string reasonOf(const http_reply& reply)
{
    const auto body = json::parse(reply.body, nullptr, false);
    if (body.is_object() && body.contains("reason") && body["reason"].is_string())
        return body["reason"].get<std::string>();
    return "status " + std::to_string(reply.status);
}

exit_code codeOf(const http_request& request, const failure& error)
{
    if (error.ran == verdict::NotRun || !changesSomething(request))
        return exit_code::Unreachable;
    return exit_code::MayHaveRun;
}

exit_code codeOf(const http_reply& reply)
{
    if (const auto header = reply.headers.find("orioleway-verdict"); header != reply.headers.end()) {
        const auto told = parseVerdict(header->second);
        if (told == verdict::Completed)
            return exit_code::Ok;
        if (told == verdict::MayHaveRun)
            return exit_code::MayHaveRun;
    }
    if (reply.status < firstErrorStatus)
        return exit_code::Ok;
    if (reply.status == httpConflict)
        return exit_code::Conflict;
    if (reply.status == httpBadGateway || reply.status == httpGatewayTimeout)
        return exit_code::MayHaveRun;
    return exit_code::NotRun;
}

} // namespace

entry_outcome callEntry(entry_api& entry, const command_context& context, const http_request& request)
{
    const auto reply = entry.call(request);
    if (reply.has_error()) {
        context.error << toString(reply.error().ran) << ": " << reply.error().reason << "\n";
        return { codeOf(request, reply.error()), {} };
    }
    const auto code = codeOf(reply.value());
    if (code == exit_code::Conflict)
        context.error << "conflict: " << reasonOf(reply.value()) << "\n";
    else if (code == exit_code::NotRun)
        context.error << "not-run: " << reasonOf(reply.value()) << "\n";
    else if (code == exit_code::MayHaveRun)
        context.error << "may-have-run: " << reasonOf(reply.value()) << "\n";
    return { code, reply.value() };
}

json fetch(entry_api& entry, const command_context& context, const std::string& path, exit_code& code)
{
    const auto outcome = callEntry(entry, context, { "GET", path, {}, {} });
    code = outcome.code;
    if (code != exit_code::Ok)
        return nullptr;
    auto body = json::parse(outcome.reply.body, nullptr, false);
    if (!body.is_discarded() && !body.is_null())
        return body;
    context.error << "the entry's answer to " << path << " is not JSON\n";
    code = exit_code::Unreachable;
    return nullptr;
}

void printBody(const command_context& context, const http_reply& reply)
{
    const auto body = json::parse(reply.body, nullptr, false);
    if (body.is_discarded())
        context.out << reply.body << "\n";
    else
        print(context.out, context.format, body);
}

} // namespace oriole::ctl
