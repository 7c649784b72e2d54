/// @file
/// @brief Interface by which an agent reaches the leads of its gangs.
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

    /// @brief Tells the lead at @p rpc where @p worker stands. The handler is never called inside the call itself.
    virtual void heartbeat(const std::string& rpc, const attempt_id& id, const std::string& worker, task_phase phase,
        handler done)
        = 0;
};

} // namespace oriole
