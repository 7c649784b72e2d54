/// @file
/// @brief State of one attempt on one worker; internal to the task manager.
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

/// @brief State of an attempt's task at the runtime.
enum class task_state {
    None, ///< Not started.
    Starting,
    Running,
    Stopping,
    Ended,
};

/// @brief State of an attempt that the ledger does not hold: its gang, and its calls to the runtime and to the lead.
struct task_run {
    /// @brief Answer to a member's heartbeat that the lead delays until there is news, or until @c due.
    struct pending_answer {
        std::function<void(result<gang_answer>)> done;
        time_point due;
        gang_answer knownAtRequest; ///< The answer as it was when the heartbeat arrived.
    };

    oriole::attempt attempt;
    allocation localAllocation;
    std::string taskId;
    std::optional<gang_lead> gang; ///< Set on the lead's worker only.
    std::vector<pending_answer> pendingAnswers;
    gang_answer lastAnswer; ///< Gang state at the last update; pending answers are sent when it changes.

    bool heartbeatInFlight = false;
    time_point nextHeartbeat;
    time_point lastContact; ///< Send time of the last heartbeat that the lead has answered.
    std::optional<task_phase> lastAcknowledgedPhase; ///< Phase of the last heartbeat that the lead has answered.

    task_state state = task_state::None;
    bool runtimeCallInFlight = false;
    time_point nextRuntimeCall;
    time_point startDeadline;
    time_point lastRenewed; ///< When the runtime last answered a renewal.
    time_point leaseExpiresAt; ///< The runtime has stopped the task by then if its lease was not renewed.
    task_phase endPhase = task_phase::Lost;
    std::string endReason;
    time_point endedAt;
    bool throttled = false;
    bool startUncertain = false; ///< A start call failed without certainty that the task was not started.
};

/// @brief Log fields that identify an attempt.
nlohmann::json attemptLogFields(const attempt& subject);

/// @brief Maps the state that the runtime reported last to a task phase.
task_phase phaseOf(runtime_state state);

} // namespace oriole
