#include <oriole/agent/rpc_peer_gateway.hpp>
#include <oriole/rpc/convert.hpp>

#include <kj/debug.h>

#include <utility>

namespace oriole {

namespace {

constexpr milliseconds connectTimeout { 500 };
constexpr auto callTimeout = 2000 * kj::MILLISECONDS;

} // namespace

rpc_peer_gateway::rpc_peer_gateway(event_loop& loop)
    : m_loop(loop)
{
}

void rpc_peer_gateway::heartbeat(
    const std::string& rpc, const attempt_id& id, const std::string& worker, task_phase phase, handler done)
{
    auto answered = connectionTo(rpc).then([this, id, worker, phase](shared_connection&& peer) {
        auto& timer = m_loop.io().provider->getTimer();
        return timer.timeoutAfter(callTimeout, call(peer, id, worker, phase)).attach(std::move(peer));
    });
    auto finished = answered.then([this, done](gang_answer&& answer) {
        m_loop.syncTime();
        done(std::move(answer)); },
        [this, rpc, done](kj::Exception&& error) {
            m_loop.syncTime();
            m_connections.erase(rpc);
            done(notRun(failure_kind::Unavailable, error.getDescription().cStr()));
        });
    m_loop.detach("gang heartbeat", kj::mv(finished));
}

kj::Promise<rpc_peer_gateway::shared_connection> rpc_peer_gateway::connectionTo(const std::string& rpc)
{
    if (const auto known = m_connections.find(rpc); known != m_connections.end())
        return known->second;

    const auto peer = parseEndpoint(rpc);
    if (!peer)
        return KJ_EXCEPTION(FAILED, "RPC address of the gang's lead is not valid");
    return rpc::connect(m_loop, peer.value(), connectTimeout).then([this, rpc](kj::Own<rpc::connection>&& connected) {
        auto shared = std::make_shared<kj::Own<rpc::connection>>(kj::mv(connected));
        m_connections[rpc] = shared;
        return shared;
    });
}

kj::Promise<gang_answer> rpc_peer_gateway::call(
    const shared_connection& peer, const attempt_id& id, const std::string& worker, task_phase phase)
{
    auto request = (*peer)->bootstrap<rpc::Agent>().gangHeartbeatRequest();
    rpc::write(request.initId(), id);
    request.setWorker(worker);
    request.setPhase(rpc::toWire(phase));
    return request.send().then([](capnp::Response<rpc::Agent::GangHeartbeatResults>&& answer) {
        return gang_answer { rpc::fromWire(answer.getPhase()), answer.getReason() };
    });
}

} // namespace oriole
