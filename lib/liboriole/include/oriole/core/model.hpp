/// @file
/// @brief Value types shared by the decision core, the entry and the agent.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriole {

/// @brief Required proximity of the accelerators of a gang.
enum class adjacency {
    Worker, ///< All on one worker, as one contiguous block.
    Rack, ///< On workers of one rack.
    FailureDomain, ///< On workers of one failure domain.
};

std::string_view toString(adjacency value);
std::optional<adjacency> parseAdjacency(std::string_view text);

/// @brief Resources that a job requests. Processors and memory are totals over all its workers.
struct shape {
    unsigned accelerators = 0;
    oriole::adjacency adjacency = oriole::adjacency::Worker;
    unsigned processors = 0;
    unsigned memoryGb = 0;

    auto operator<=>(const shape&) const = default;
};

/// @brief Set of accelerators of one worker; bit n stands for accelerator n. A worker has at most 64.
using accelerator_set = std::uint64_t;

/// @brief Resources of one worker that are assigned to an attempt.
struct allocation {
    std::string worker;
    std::string rpc; ///< Address of the worker's agent, `ip:port`.
    accelerator_set accelerators = 0;
    unsigned processors = 0;
    unsigned memoryGb = 0;

    auto operator<=>(const allocation&) const = default;
};

/// @brief Identifies one attempt to run a job. Attempts of a job are numbered consecutively.
struct attempt_id {
    std::string organisation;
    std::string job;
    unsigned number = 0;

    auto operator<=>(const attempt_id&) const = default;
};

/// @brief Returns `organisation/job/number`, as used for task names and logs.
std::string toString(const attempt_id& id);

enum class job_class {
    Normal,
    Urgent, ///< Starts before normal work of any organisation; the organisation needs the right to urgent work.
};

std::string_view toString(job_class value);
std::optional<job_class> parseJobClass(std::string_view text);

/// @brief A job as declared by its caller.
struct job_spec {
    std::string organisation;
    std::string id;
    oriole::shape shape;
    oriole::job_class jobClass = oriole::job_class::Normal;
    bool repeatable = true; ///< If false, no further attempt is made once a task may have started.
    std::chrono::milliseconds declaredRun { 0 };
    std::string payload; ///< Passed unchanged to each task.

    auto operator<=>(const job_spec&) const = default;
};

/// @brief An attempt as sent to agents. The worker of the first allocation leads the gang.
struct attempt {
    attempt_id id;
    std::uint64_t epoch = 0; ///< Epoch of the organisation's page at the owner.
    bool guaranteed = false; ///< Runs within a guarantee of its organisation; all other work is borrowed.
    bool urgent = false;
    bool repeatable = true;
    std::vector<allocation> allocations;
    std::chrono::milliseconds declaredRun { 0 };
    std::string payload;

    auto operator<=>(const attempt&) const = default;
};

/// @brief Phase of an attempt on one worker. The last five are terminal.
enum class task_phase {
    Reserved,
    Committed,
    Running,
    Evicting,
    Finished,
    Failed, ///< The task itself ended with an error.
    Evicted, ///< Checkpointed and stopped to free resources; does not count as a failure of the job.
    Lost, ///< Stopped because a member or the lead of the gang stopped responding.
    Released, ///< Ended before any task started.
};

std::string_view toString(task_phase phase);

/// @brief True for the terminal phases, in which the worker no longer holds resources for the attempt.
bool isTerminal(task_phase phase);

/// @brief An agent's report of one attempt on its worker.
struct task_report {
    oriole::attempt attempt;
    task_phase phase = task_phase::Reserved;
    std::chrono::milliseconds age { 0 }; ///< Time since the task started, or since the reservation if it has not started.
    bool mayHaveRun = false; ///< False while no task of the attempt has started on this worker.
    bool leads = false;
    std::string reason;
    unsigned usedMemoryGb = 0; ///< As reported by the platform, which lags behind the actual use.

    auto operator<=>(const task_report&) const = default;
};

/// @brief A worker as announced by its agent.
struct worker_info {
    std::string name;
    std::string rpc;
    std::string region;
    std::string failureDomain;
    std::string rack;
    std::string service;
    unsigned accelerators = 0;
    unsigned processors = 0;
    unsigned memoryGb = 0;
    unsigned slots = 0; ///< Number of requests that the backend server runs concurrently.
    unsigned connections = 0; ///< Number of connections that the backend server accepts.
    std::uint64_t incarnation = 0; ///< Random number, chosen anew at each start of the agent.

    auto operator<=>(const worker_info&) const = default;
};

/// @brief An organisation's right to run @p count gangs of this shape at any time.
struct guarantee {
    oriole::shape shape;
    unsigned count = 1;

    auto operator<=>(const guarantee&) const = default;
};

/// @brief Settings of an organisation that the decision core needs.
struct organisation_policy {
    std::string name;
    std::vector<guarantee> guarantees;
    unsigned acceleratorQuota = 0; ///< Maximum number of accelerators held at the same time; 0 means no limit.
    unsigned weight = 1; ///< Weight of the organisation in the fair sharing of borrowed resources.
    bool mayRunUrgent = false;

    auto operator<=>(const organisation_policy&) const = default;
};

} // namespace oriole
