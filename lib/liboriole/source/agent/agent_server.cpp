#include <oriole/agent/agent_server.hpp>
#include <oriole/rpc/convert.hpp>

#include <kj/debug.h>

#include <memory>
#include <utility>

namespace oriole {

namespace {

/// @brief A promise and a copyable function that resolves it.
template <typename Value>
struct deferred {
    deferred()
        : deferred(kj::newPromiseAndFulfiller<std::unique_ptr<Value>>())
    {
    }

    kj::Promise<std::unique_ptr<Value>> promise;
    std::function<void(Value)> resolve;

private:
    explicit deferred(kj::PromiseFulfillerPair<std::unique_ptr<Value>> pair)
        : promise(kj::mv(pair.promise))
    {
        auto fulfiller
            = std::make_shared<kj::Own<kj::PromiseFulfiller<std::unique_ptr<Value>>>>(kj::mv(pair.fulfiller));
        resolve = [fulfiller](Value value) { (*fulfiller)->fulfill(std::make_unique<Value>(std::move(value))); };
    }
};

backend_request readRequest(rpc::BackendRequest::Reader source)
{
    backend_request target;
    target.id = source.getId();
    target.organisation = source.getOrganisation();
    target.service = source.getService();
    target.unrepeatable = source.getUnrepeatable();
    target.deadline = milliseconds(source.getDeadlineMs());
    target.contentType = source.getContentType();
    const auto body = source.getBody().asChars();
    target.body.assign(body.begin(), body.size());
    return target;
}

void writeReply(rpc::BackendReply::Builder target, const std::string& id, const result<http_reply>& reply)
{
    target.setId(id);
    if (!reply) {
        rpc::write(target.initFailure(), reply.error());
        return;
    }
    auto answer = target.initAnswer();
    answer.setStatus(reply.value().status);
    if (const auto type = reply.value().headers.find("content-type"); type != reply.value().headers.end())
        answer.setContentType(type->second);
    const auto& body = reply.value().body;
    answer.setBody(kj::arrayPtr(reinterpret_cast<const kj::byte*>(body.data()), body.size()));
}

void writeReports(capnp::List<rpc::TaskReport>::Builder target, const std::vector<task_report>& reports)
{
    for (unsigned i = 0; i < target.size(); ++i)
        rpc::write(target[i], reports[i]);
}

} // namespace

agent_server::agent_server(
    forwarder& requests, task_manager& tasks, agent_view& view, event_loop& loop, std::function<void()> requestView)
    : m_requests(requests)
    , m_tasks(tasks)
    , m_view(view)
    , m_loop(loop)
    , m_requestView(std::move(requestView))
{
}

kj::Promise<void> agent_server::dispatch(DispatchContext context)
{
    m_loop.syncTime();
    auto request = readRequest(context.getParams().getRequest());
    context.releaseParams();
    const auto id = request.id;
    deferred<result<http_reply>> answer;
    m_requests.dispatch(std::move(request), answer.resolve);
    return answer.promise.then([context, id](std::unique_ptr<result<http_reply>>&& reply) mutable {
        writeReply(context.getResults().initReply(), id, *reply);
    });
}

kj::Promise<void> agent_server::reserve(ReserveContext context)
{
    m_loop.syncTime();
    const auto params = context.getParams();
    const auto revision = params.getRevision();
    if (m_view.isBehind(revision.getConfiguration(), revision.getFailureDomains()))
        m_requestView();

    deferred<reservation_answer> answer;
    m_tasks.reserve(rpc::read(params.getAttempt()), milliseconds(params.getTtlMs()), params.getEvictBorrowed(),
        answer.resolve);
    return answer.promise.then([context](std::unique_ptr<reservation_answer>&& given) mutable {
        auto results = context.getResults();
        results.setAccepted(given->state == reservation_state::Accepted);
        results.setReason(given->reason);
        results.setEpoch(given->epoch);
        results.setMayHaveRun(given->mayHaveRun);
    });
}

kj::Promise<void> agent_server::commit(CommitContext context)
{
    m_loop.syncTime();
    const auto params = context.getParams();
    const auto answer = m_tasks.commit(rpc::read(params.getId()), params.getEpoch());
    auto results = context.getResults();
    results.setAccepted(answer.accepted);
    results.setReason(answer.reason);
    results.setMayHaveRun(answer.mayHaveRun);
    return kj::READY_NOW;
}

kj::Promise<void> agent_server::release(ReleaseContext context)
{
    m_loop.syncTime();
    const auto params = context.getParams();
    deferred<std::vector<task_report>> answer;
    m_tasks.release(rpc::read(params.getIds()), params.getEpoch(), params.getReason(), answer.resolve);
    return answer.promise.then([context](std::unique_ptr<std::vector<task_report>>&& reports) mutable {
        writeReports(context.getResults().initReports(static_cast<unsigned>(reports->size())), *reports);
    });
}

kj::Promise<void> agent_server::fence(FenceContext context)
{
    m_loop.syncTime();
    const auto params = context.getParams();
    std::uint64_t epoch = params.getEpoch();
    const auto reports = m_tasks.fence(params.getOrganisation(), epoch);
    auto results = context.getResults();
    results.setEpoch(epoch);
    writeReports(results.initReports(static_cast<unsigned>(reports.size())), reports);
    return kj::READY_NOW;
}

kj::Promise<void> agent_server::evict(EvictContext context)
{
    m_loop.syncTime();
    const auto params = context.getParams();
    m_tasks.evict(rpc::read(params.getIds()), milliseconds(params.getGraceMs()), params.getReason());
    return kj::READY_NOW;
}

kj::Promise<void> agent_server::applyView(ApplyViewContext context)
{
    m_loop.syncTime();
    // A push may have been delayed in transit, so it does not show how fresh the sender's state is now.
    if (m_view.apply(rpc::read(context.getParams().getView()), std::nullopt))
        m_requestView();
    auto revision = context.getResults().initRevision();
    revision.setConfiguration(m_view.state().configurationRevision());
    revision.setFailureDomains(m_view.state().failureDomains().revision);
    return kj::READY_NOW;
}

kj::Promise<void> agent_server::gangHeartbeat(GangHeartbeatContext context)
{
    m_loop.syncTime();
    const auto params = context.getParams();
    deferred<result<gang_answer>> answer;
    m_tasks.gangHeartbeat(
        rpc::read(params.getId()), params.getWorker(), rpc::fromWire(params.getPhase()), answer.resolve);
    return answer.promise.then([context](std::unique_ptr<result<gang_answer>>&& answered) mutable {
        const auto& given = *answered;
        if (!given)
            kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, given.error().reason.c_str()));
        context.getResults().setPhase(rpc::toWire(given.value().phase));
        context.getResults().setReason(given.value().reason);
    });
}

} // namespace oriole
