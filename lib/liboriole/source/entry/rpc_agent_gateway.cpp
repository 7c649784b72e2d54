#include <oriole/entry/rpc_agent_gateway.hpp>
#include <oriole/rpc/convert.hpp>

#include <utility>

namespace oriole {

namespace {

backend_reply read(rpc::BackendReply::Reader reply)
{
    if (reply.isFailure())
        return { reply.getId(), rpc::read(reply.getFailure()) };
    const auto answer = reply.getAnswer();
    return { reply.getId(),
        backend_answer { answer.getStatus(), answer.getContentType(), rpc::readBytes(answer.getBody()) } };
}

} // namespace

rpc_agent_gateway::rpc_agent_gateway(event_loop& loop, worker_table& workers)
    : m_loop(loop)
    , m_workers(workers)
{
}

void rpc_agent_gateway::dispatch(const worker_info& worker, backend_call call, handler done)
{
    if (!m_workers.present(worker.name)) {
        done({ call.id, notRun(failure_kind::Unavailable, "worker " + worker.name + " is not connected") });
        return;
    }

    auto request = m_workers.agent(worker.name).dispatchRequest();
    auto target = request.initRequest();
    target.setId(call.id);
    target.setOrganisation(call.organisation);
    target.setService(call.service);
    target.setUnrepeatable(!call.repeatable);
    target.setDeadlineMs(static_cast<unsigned>(call.deadline.count()));
    target.setContentType(call.contentType);
    target.setBody(rpc::toWire(call.body));
    m_loop.detach("dispatch",
        request.send().then([done](auto&& response) { done(read(response.getReply())); },
            [done, id = call.id](kj::Exception&& exception) {
                // Nothing tells a call that left from one that did not.
                done({ id, mayHaveRun(failure_kind::Broken, exception.getDescription().cStr()) });
            }));
}

} // namespace oriole
