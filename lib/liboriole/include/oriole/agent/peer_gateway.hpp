/// @file
/// @brief Interface for heartbeats from an agent to the leads of its gangs.
#pragma once

#include <oriole/agent/gang.hpp>
#include <oriole/api/result.hpp>

#include <functional>
#include <string>

namespace oriole {

class peer_gateway {
public:
    using handler = std::function<void(result<gang_answer>)>;

    virtual ~peer_gateway() = default;

    /// @brief Reports the phase of @p worker to the lead at @p rpc. The handler is not called before this function returns.
    virtual void heartbeat(const std::string& rpc, const attempt_id& id, const std::string& worker, task_phase phase,
        handler done)
        = 0;
};

} // namespace oriole
