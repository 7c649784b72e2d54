/// @file
/// @brief RPC server through which the scheduler controls a worker agent.
#pragma once

#include <fleet/agent/worker_agent.hpp>

#include <oriole/helpers/event_loop.hpp>
#include <oriole/helpers/metrics.hpp>

#include <memory>
#include <string>

namespace fleet {

class client_gate;

class agent_server {
public:
    /// @param name Name under which the agent announces itself; schedulers that look for another agent are turned away.
    /// @param address IP:PORT to listen on.
    agent_server(oriole::event_loop& loop, worker_agent& agent, oriole::metrics_registry& metrics, const std::string& name,
        const std::string& address, std::shared_ptr<client_gate> clients = nullptr);
    ~agent_server();
    agent_server(const agent_server&) = delete;
    agent_server& operator=(const agent_server&) = delete;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fleet
