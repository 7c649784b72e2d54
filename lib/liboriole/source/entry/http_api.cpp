#include <oriole/entry/entry_rpc.hpp>
#include <oriole/entry/http_api.hpp>
#include <oriole/entry/request_parser.hpp>
#include <oriole/entry/status_report.hpp>

#include <charconv>
#include <utility>

namespace oriole {

namespace {

using json = nlohmann::json;

// How long an acceptance or a withdrawal may wait for the store.
constexpr milliseconds writePatience { 5000 };
constexpr milliseconds longestWait { 30000 };

http_reply jsonReply(unsigned status, const json& body, verdict ran = verdict::Completed)
{
    http_reply reply;
    reply.status = status;
    reply.headers["Content-Type"] = "application/json";
    reply.headers["Orioleway-Verdict"] = toString(ran);
    reply.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return reply;
}

http_reply notFound()
{
    return refusal(notRun(failure_kind::NotFound, "no such path"));
}

http_reply methodRefused()
{
    auto reply = refusal(notRun(failure_kind::InvalidInput, "this path does not take this method"));
    reply.status = 405;
    return reply;
}

http_reply toReply(const request_outcome& outcome)
{
    http_reply reply;
    if (outcome.ran == verdict::Completed) {
        reply.status = outcome.status;
        reply.body = outcome.body;
        reply.headers["Content-Type"] = outcome.contentType;
        reply.headers["Orioleway-Verdict"] = toString(verdict::Completed);
    } else {
        reply = refusal({ failure_kind::Unavailable, outcome.ran, outcome.reason }, outcome.retryAfterMs);
        reply.status = outcome.status;
    }
    if (!outcome.requestId.empty())
        reply.headers["Orioleway-Request-Id"] = outcome.requestId;
    return reply;
}

std::optional<std::uint64_t> parseCount(const std::string& text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string authorOf(const http_call& call)
{
    const auto author = call.header("orioleway-author").value_or("");
    return author.empty() ? "unknown" : author;
}

json describeHistory(const std::vector<configuration_record>& records)
{
    json list = json::array();
    for (const auto& record : records) {
        list.push_back({ { "revision", record.revision }, { "digest", record.digest }, { "author", record.author },
            { "accepted_unix_ms", record.acceptedUnixMs } });
    }
    return { { "history", std::move(list) } };
}

http_reply checkDocument(const std::string& document)
{
    const auto parsed = parseConfiguration(document);
    if (!parsed)
        return jsonReply(200, { { "errors", { parsed.error().reason } }, { "warnings", json::array() } });
    const auto check = checkCapacity(parsed.value());
    return jsonReply(200, { { "errors", check.errors }, { "warnings", check.warnings } });
}

} // namespace

http_api::http_api(entry_node& node)
    : m_node(node)
{
}

kj::Promise<http_reply> http_api::handle(const http_call& call)
{
    return route(call, true);
}

kj::Promise<http_reply> http_api::handleForwarded(const http_call& call)
{
    return route(call, false);
}

kj::Promise<http_reply> http_api::route(const http_call& call, bool mayForward)
{
    const auto path = splitPath(call.path);
    if (path.size() == 1 && path[0] == "healthz")
        return jsonReply(200, { { "healthy", true } });
    if (path.size() == 1 && path[0] == "readyz") {
        if (m_node.ready())
            return jsonReply(200, { { "ready", true } });
        const auto usable = m_node.usableConfiguration();
        return refusal(usable ? notRun(failure_kind::Unavailable, "this entry is stopping") : usable.error());
    }
    if (path.size() == 1 && path[0] == "metrics") {
        updateGauges(m_node);
        http_reply reply { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_node.metrics.exposition() };
        return reply;
    }
    if (path.size() < 2 || path[0] != "v1")
        return notFound();
    if (path[1] == "organisations" && path.size() > 2)
        return routeOrganisation(call, path, mayForward);
    if (path[1] == "config")
        return routeConfiguration(call, path);
    if (path[1] == "failure-domains")
        return routeFailureDomains(call, path);
    if (call.method != "GET")
        return methodRefused();
    if (path[1] == "organisations")
        return jsonReply(200, describeOrganisations(m_node));
    if (path[1] == "workers" && path.size() == 2)
        return jsonReply(200, describeWorkers(m_node));
    if (path[1] == "status" && path.size() == 2)
        return jsonReply(200, describeStatus(m_node));
    return notFound();
}

kj::Promise<http_reply> http_api::routeOrganisation(const http_call& call, const segments& path, bool mayForward)
{
    if (path.size() == 5 && path[3] == "requests")
        return call.method == "POST" ? request(call, mayForward) : methodRefused();
    if (path.size() >= 4 && path.size() <= 5 && path[3] == "jobs")
        return routeJobs(call, path, mayForward);
    return notFound();
}

kj::Promise<http_reply> http_api::request(const http_call& call, bool mayForward)
{
    const auto usable = m_node.usableConfiguration();
    if (!usable)
        return refusal(usable.error());
    const auto submission = parseRequest(call, usable.value()->parsed);
    if (!submission)
        return refusal(submission.error());
    if (!submission.value().repeatable && submission.value().idempotencyKey)
        return claim(call, submission.value(), mayForward);

    auto answer = makePromiseCallback<request_outcome>();
    m_node.dispatcher.submit(submission.value(), answer.resolve);
    return answer.promise.then([](request_outcome&& outcome) { return toReply(outcome); });
}

kj::Promise<http_reply> http_api::claim(const http_call& call, const request_submission& submission, bool mayForward)
{
    const auto entry = m_node.pages.entryFor(submission.organisation);
    if (mayForward && entry != m_node.settings.name)
        return forwardTo(m_node, entry, call, false);

    auto answer = makePromiseCallback<request_outcome>();
    m_node.claims.submit(submission, answer.resolve);
    return answer.promise.then([](request_outcome&& outcome) { return toReply(outcome); });
}

kj::Promise<http_reply> http_api::routeJobs(const http_call& call, const segments& path, bool mayForward)
{
    const auto usable = m_node.usableConfiguration();
    if (!usable)
        return refusal(usable.error());
    if (usable.value()->parsed.findOrganisation(path[2]) == nullptr)
        return refusal(notRun(failure_kind::NotFound, "no organisation " + path[2]));

    const auto entry = m_node.pages.entryFor(path[2]);
    if (mayForward && entry != m_node.settings.name)
        return forwardTo(m_node, entry, call, call.method == "GET");
    if (m_node.pages.find(path[2]) == nullptr)
        return refusal(notRun(failure_kind::Unavailable, "no entry owns the organisation at present"), 1000);

    const bool oneJob = path.size() == 5;
    if (call.method == "POST" && !oneJob)
        return submitJob(call);
    if (call.method == "GET" && oneJob) {
        return showJob(call, path).then([this, call, mayForward, organisation = path[2]](http_reply&& reply) {
            if (!mayForward)
                return kj::Promise<http_reply>(kj::mv(reply));
            return followOwner(call, organisation, std::move(reply));
        });
    }
    if (call.method == "GET")
        return listJobs(path[2]);
    if (call.method == "DELETE" && oneJob)
        return cancelJob(path);
    return methodRefused();
}

kj::Promise<http_reply> http_api::followOwner(const http_call& call, const std::string& organisation, http_reply reply)
{
    const auto entry = m_node.pages.entryFor(organisation);
    if (reply.status == httpStatus(notRun(failure_kind::Unavailable, {})) && entry != m_node.settings.name)
        return forwardTo(m_node, entry, call, true);
    return kj::mv(reply);
}

kj::Promise<http_reply> http_api::submitJob(const http_call& call)
{
    const auto usable = m_node.usableConfiguration();
    if (!usable)
        return refusal(usable.error());
    const auto& config = usable.value()->parsed;
    const auto submission = parseJob(call, config);
    if (!submission)
        return refusal(submission.error());
    const auto& spec = submission.value().job;
    if (const auto why = m_node.jobs.impossible(spec.shape))
        return refusal(notRun(failure_kind::Impossible, *why));
    if (m_node.jobs.waitingJobs(spec.organisation) >= config.findOrganisation(spec.organisation)->waitingJobs)
        return refusal(notRun(failure_kind::Overloaded, "too many jobs of the organisation wait"), 1000);

    auto answer = makePromiseCallback<result<job_record>>();
    m_node.jobs.submit(spec, submission.value().idempotencyKey.value_or(""), writePatience, answer.resolve);
    return answer.promise.then([](result<job_record>&& accepted) {
        if (!accepted)
            return refusal(accepted.error(), accepted.error().ran == verdict::NotRun ? 1000 : 0);
        return jsonReply(202, describeJob(accepted.value()));
    });
}

kj::Promise<http_reply> http_api::showJob(const http_call& call, const segments& path)
{
    milliseconds wait { 0 };
    if (const auto text = queryParameter(call.query, "wait_ms"); text) {
        const auto count = parseCount(*text);
        if (!count)
            return refusal(notRun(failure_kind::InvalidInput, "wait_ms is not a number of milliseconds"));
        wait = std::min(longestWait, milliseconds(static_cast<std::int64_t>(std::min<std::uint64_t>(*count, 1U << 20U))));
    }

    auto answer = makePromiseCallback<result<job_record>>();
    m_node.jobs.wait(path[2], path[4], wait, answer.resolve);
    return answer.promise.then([](result<job_record>&& job) {
        return job ? jsonReply(200, describeJob(job.value())) : refusal(job.error());
    });
}

kj::Promise<http_reply> http_api::cancelJob(const segments& path)
{
    auto answer = makePromiseCallback<result<job_record>>();
    m_node.jobs.cancel(path[2], path[4], writePatience, answer.resolve);
    return answer.promise.then([](result<job_record>&& job) {
        if (!job)
            return refusal(job.error());
        return jsonReply(isEnd(job.value().state) ? 200 : 202, describeJob(job.value()));
    });
}

http_reply http_api::listJobs(const std::string& organisation)
{
    json list = json::array();
    for (const auto& job : m_node.jobs.list(organisation))
        list.push_back(describeJob(job));
    return jsonReply(200, { { "jobs", std::move(list) } });
}

kj::Promise<http_reply> http_api::routeConfiguration(const http_call& call, const segments& path)
{
    if (path.size() == 2 && call.method == "GET")
        return showConfiguration();
    if (path.size() == 2 && call.method == "PUT")
        return applyConfiguration(call);
    if (path.size() == 3 && path[2] == "check" && call.method == "POST")
        return checkDocument(call.body);
    if (path.size() == 3 && path[2] == "history" && call.method == "GET")
        return showHistory();
    if (path.size() == 3 && path[2] == "in-force" && call.method == "GET")
        return jsonReply(200, describeRollout(m_node));
    return path.size() > 3 ? notFound() : methodRefused();
}

http_reply http_api::showConfiguration()
{
    const auto head = m_node.control.state().configuration();
    if (head == nullptr)
        return refusal(notRun(failure_kind::NotFound, "no configuration is known yet"));
    return jsonReply(200, { { "revision", head->revision }, { "document", json::parse(head->document) } });
}

kj::Promise<http_reply> http_api::applyConfiguration(const http_call& call)
{
    if (m_node.leaving())
        return refusal(notRun(failure_kind::Unavailable, "this entry is stopping"));
    const auto expected = parseCount(queryParameter(call.query, "expected_revision").value_or(""));
    if (!expected)
        return refusal(notRun(failure_kind::InvalidInput, "expected_revision is missing or not a number"));
    const auto parsed = parseConfiguration(call.body);
    if (!parsed)
        return refusal(parsed.error());
    if (parsed.value().environment != m_node.settings.environment) {
        return refusal(notRun(failure_kind::InvalidInput,
            "environment: the document is for '" + parsed.value().environment + "', this is '"
                + m_node.settings.environment + "'"));
    }
    if (const auto check = checkCapacity(parsed.value()); !check.errors.empty())
        return refusal(notRun(failure_kind::Impossible, check.errors.front()));

    auto answer = makePromiseCallback<result<std::shared_ptr<const configuration_head>>>();
    m_node.controlStore.apply(*expected, call.body, authorOf(call), answer.resolve);
    return answer.promise.then([this](result<std::shared_ptr<const configuration_head>>&& head) {
        if (!head)
            return refusal(head.error());
        m_node.control.offer(head.value());
        return jsonReply(200, { { "revision", head.value()->revision } });
    });
}

kj::Promise<http_reply> http_api::showHistory()
{
    auto answer = makePromiseCallback<result<std::vector<configuration_record>>>();
    m_node.controlStore.history(answer.resolve);
    return answer.promise.then([](result<std::vector<configuration_record>>&& records) {
        return records ? jsonReply(200, describeHistory(records.value())) : refusal(records.error());
    });
}

kj::Promise<http_reply> http_api::routeFailureDomains(const http_call& call, const segments& path)
{
    if (path.size() == 2 && call.method == "GET")
        return jsonReply(200, describeFailureDomains(m_node));
    if (path.size() == 3 && call.method == "PUT")
        return setFailureDomain(call, path[2]);
    return path.size() > 3 ? notFound() : methodRefused();
}

kj::Promise<http_reply> http_api::setFailureDomain(const http_call& call, const std::string& name)
{
    if (m_node.leaving())
        return refusal(notRun(failure_kind::Unavailable, "this entry is stopping"));
    const auto body = json::parse(call.body, nullptr, false);
    const auto state = body.is_object() ? body.value("state", json()) : json();
    if (state != "out" && state != "in")
        return refusal(notRun(failure_kind::InvalidInput, "state: 'out' or 'in' is expected"));
    const auto head = m_node.control.state().configuration();
    if (head == nullptr || head->parsed.findFailureDomain(name) == nullptr)
        return refusal(notRun(failure_kind::NotFound, "no failure domain " + name));

    auto answer = makePromiseCallback<result<failure_domain_states>>();
    m_node.controlStore.setFailureDomain(name, state == "out", authorOf(call), answer.resolve);
    return answer.promise.then([this](result<failure_domain_states>&& states) {
        if (!states)
            return refusal(states.error());
        m_node.control.offer(states.value());
        return jsonReply(200, describeFailureDomains(m_node));
    });
}

} // namespace oriole
