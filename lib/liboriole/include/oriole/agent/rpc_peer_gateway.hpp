/// @file
/// @brief RPC implementation of peer_gateway with cached connections.
#pragma once

#include <oriole/agent/peer_gateway.hpp>
#include <oriole/rpc/connection.hpp>

#include <map>
#include <memory>

namespace oriole {

class rpc_peer_gateway final : public peer_gateway {
public:
    explicit rpc_peer_gateway(event_loop& loop);

    void heartbeat(const std::string& rpc, const attempt_id& id, const std::string& worker, task_phase phase,
        handler done) override;

private:
    using shared_connection = std::shared_ptr<kj::Own<rpc::connection>>;

    kj::Promise<shared_connection> connectionTo(const std::string& rpc);
    kj::Promise<gang_answer> call(
        const shared_connection& peer, const attempt_id& id, const std::string& worker, task_phase phase);

    event_loop& m_loop;
    std::map<std::string, shared_connection> m_connections;
};

} // namespace oriole
