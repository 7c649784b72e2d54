/// @file
/// @brief The state of one attempt at its agent; internal to the task manager.
#pragma once

#include <oriole/agent/gang.hpp>
#include <oriole/api/result.hpp>
#include <oriole/runtime/runtime_client.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oriole {

/// @brief Where the task of an attempt stands at the runtime.
enum class task_state {
    None, ///< Not started.
    Starting,
    Running,
    Stopping,
    Ended,
};

/// @brief An attempt at its agent beyond what the ledger says: its gang, and the calls to runtime and lead.
struct task_run {
    struct held_answer {
        std::function<void(result<gang_answer>)> done;
        time_point due;
        gang_answer known; ///< What the member was told or knew when it asked.
    };

    oriole::attempt attempt;
    allocation share;
    std::string taskId;
    std::optional<gang_lead> gang; ///< Set at the lead.
    std::vector<held_answer> held;
    gang_answer announced; ///< What the members were last told.

    bool heartbeatInFlight = false;
    time_point nextHeartbeat;
    time_point lastContact; ///< When the last heartbeat was sent that the lead answered.
    std::optional<task_phase> told; ///< Last phase that the lead has answered to.

    task_state state = task_state::None;
    bool callInFlight = false;
    time_point nextCall;
    time_point startDeadline;
    time_point lastRenewed; ///< Last time the runtime answered a renewal.
    time_point leaseEnds; ///< From then on the runtime has stopped an unrenewed task.
    task_phase endPhase = task_phase::Lost;
    std::string endReason;
    time_point endedAt;
    bool throttled = false;
    bool startUncertain = false; ///< A start call may have taken effect.
};

/// @brief The members that every log line on an attempt has.
nlohmann::json logFields(const attempt& subject);

/// @brief The phase that a runtime's last word means.
task_phase phaseOf(runtime_state state);

} // namespace oriole
