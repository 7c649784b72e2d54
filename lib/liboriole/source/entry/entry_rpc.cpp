#include <oriole/entry/entry_rpc.hpp>
#include <oriole/helpers/log.hpp>

#include <charconv>
#include <utility>

namespace oriole {

namespace {

worker_report read(rpc::AgentReport::Reader source)
{
    worker_report report;
    report.tasks = rpc::read(source.getTasks());
    report.tasksChanged = source.getTasksChanged();
    report.requestsRunning = source.getRequestsRunning();
    report.requestsQueued = source.getRequestsQueued();
    report.leaving = source.getLeaving();
    report.backendHealthy = source.getBackendHealthy();
    report.failuresInRow = source.getFailuresInRow();
    report.configurationRevision = source.getRevision().getConfiguration();
    return report;
}

class agent_session final : public rpc::AgentSession::Server {
public:
    agent_session(entry_node& node, std::string worker, std::uint64_t session)
        : m_node(node)
        , m_worker(std::move(worker))
        , m_session(session)
    {
    }

    // Dropped by the agent, or its connection broke.
    ~agent_session() { m_node.workers.disconnected(m_worker, m_session); }

    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        const auto report = context.getParams().getReport();
        const rpc::view_receiver receiver { report.getRevision().getConfiguration(),
            report.getRevision().getFailureDomains(), report.getHeardEntries() };
        if (!m_node.workers.reported(m_worker, m_session, read(report)))
            return KJ_EXCEPTION(FAILED, "replaced by a later session");

        auto results = context.getResults();
        m_node.writeView(results.initView(), receiver);
        const auto ids = m_node.jobs.acknowledged(*m_node.workers.find(m_worker));
        auto list = results.initAcknowledged(static_cast<unsigned>(ids.size()));
        for (unsigned i = 0; i < list.size(); ++i)
            rpc::write(list[i], ids[i]);
        return kj::READY_NOW;
    }

private:
    entry_node& m_node;
    std::string m_worker;
    std::uint64_t m_session;
};

class entry_rpc final : public rpc::Entry::Server {
public:
    entry_rpc(entry_node& node, forwarded_handler handleForwarded)
        : m_node(node)
        , m_handleForwarded(std::move(handleForwarded))
    {
    }

    kj::Promise<void> announce(AnnounceContext context) override
    {
        const auto params = context.getParams();
        const auto info = rpc::read(params.getWorker());
        const auto session = m_node.workers.announced(info, params.getAgent());
        auto results = context.getResults();
        results.setSession(kj::heap<agent_session>(m_node, info.name, session));
        m_node.writeView(results.initView(), {});
        return kj::READY_NOW;
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        m_node.peers.answer(context.getParams().getState(), context.getResults().initState());
        return kj::READY_NOW;
    }

    kj::Promise<void> beat(BeatContext context) override
    {
        m_node.peers.answer(context.getParams(), context.getResults());
        return kj::READY_NOW;
    }

    kj::Promise<void> forward(ForwardContext context) override
    {
        const auto source = context.getParams().getCall();
        http_call call;
        call.method = source.getMethod();
        call.path = source.getPath();
        call.query = source.getQuery();
        call.headers["content-type"] = source.getContentType();
        if (source.getIdempotencyKey().size() > 0)
            call.headers["idempotency-key"] = source.getIdempotencyKey();
        if (source.getUnrepeatable())
            call.headers["orioleway-unrepeatable"] = "true";
        if (source.getDeadlineMs() > 0)
            call.headers["orioleway-timeout-ms"] = std::to_string(source.getDeadlineMs());
        call.body = rpc::readBytes(source.getBody());

        return m_handleForwarded(call).then([context](http_reply&& reply) mutable {
            auto answer = context.getResults().initAnswer();
            answer.setStatus(reply.status);
            answer.setContentType(reply.headers["Content-Type"]);
            answer.setBody(rpc::toWire(reply.body));
            const auto ran = parseVerdict(reply.headers["Orioleway-Verdict"]);
            answer.setVerdict(rpc::toWire(ran.value_or(verdict::MayHaveRun)));
            answer.setRequestId(reply.headers["Orioleway-Request-Id"]);
        });
    }

private:
    entry_node& m_node;
    forwarded_handler m_handleForwarded;
};

http_reply read(rpc::HttpAnswer::Reader answer)
{
    http_reply reply;
    reply.status = answer.getStatus();
    reply.headers["Content-Type"] = answer.getContentType();
    reply.headers["Orioleway-Verdict"] = toString(rpc::fromWire(answer.getVerdict()));
    if (answer.getRequestId().size() > 0)
        reply.headers["Orioleway-Request-Id"] = answer.getRequestId();
    reply.body = rpc::readBytes(answer.getBody());
    return reply;
}

// Only requests have a timeout, and theirs was checked before; of anything else the header means nothing.
std::uint32_t timeoutOf(const http_call& call)
{
    const auto text = call.header("orioleway-timeout-ms").value_or("");
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc {} && end == text.data() + text.size() ? value : 0;
}

} // namespace

rpc::Entry::Client makeEntryRpc(entry_node& node, forwarded_handler handleForwarded)
{
    return kj::heap<entry_rpc>(node, std::move(handleForwarded));
}

kj::Promise<http_reply> forwardTo(entry_node& node, const std::string& entry, const http_call& call, bool harmless)
{
    auto peer = node.peers.client(entry);
    if (!peer)
        return refusal(notRun(failure_kind::Unavailable, "the organisation's entry " + entry + " is not connected"));

    auto request = peer->forwardRequest();
    auto target = request.initCall();
    target.setMethod(call.method);
    target.setPath(call.path);
    target.setQuery(call.query);
    target.setContentType(call.header("content-type").value_or(""));
    target.setIdempotencyKey(call.header("idempotency-key").value_or(""));
    target.setUnrepeatable(call.header("orioleway-unrepeatable") == "true");
    target.setDeadlineMs(timeoutOf(call));
    target.setBody(rpc::toWire(call.body));
    return request.send().then([](auto&& response) { return read(response.getAnswer()); },
        [entry, harmless](kj::Exception&&) {
            const auto reason = "the organisation's entry " + entry + " did not answer";
            return harmless ? refusal(notRun(failure_kind::Unavailable, reason))
                            : refusal(mayHaveRun(failure_kind::Broken, reason));
        });
}

} // namespace oriole
