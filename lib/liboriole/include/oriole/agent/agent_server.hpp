/// @file
/// @brief RPC interface of an agent, called by entries and other agents.
#pragma once

#include <oriole/agent/agent_view.hpp>
#include <oriole/agent/forwarder.hpp>
#include <oriole/agent/task_manager.hpp>

#include <oriole/helpers/event_loop.hpp>

#include <oriole.capnp.h>

#include <functional>

namespace oriole {

/// @brief Translates RPC calls into calls of the forwarder, the task manager and the view; holds no state of its own.
class agent_server final : public rpc::Agent::Server {
public:
    /// @param requestView Called when a caller knows a newer control state than this agent.
    agent_server(
        forwarder& requests, task_manager& tasks, agent_view& view, event_loop& loop, std::function<void()> requestView);

    kj::Promise<void> dispatch(DispatchContext context) override;
    kj::Promise<void> reserve(ReserveContext context) override;
    kj::Promise<void> commit(CommitContext context) override;
    kj::Promise<void> release(ReleaseContext context) override;
    kj::Promise<void> fence(FenceContext context) override;
    kj::Promise<void> evict(EvictContext context) override;
    kj::Promise<void> applyView(ApplyViewContext context) override;
    kj::Promise<void> gangHeartbeat(GangHeartbeatContext context) override;

private:
    forwarder& m_requests;
    task_manager& m_tasks;
    agent_view& m_view;
    event_loop& m_loop;
    std::function<void()> m_requestView;
};

} // namespace oriole
