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

/// @brief How close the accelerators of a gang have to be.
enum class adjacency {
    Worker, ///< All on one worker, neighbours there.
    Rack, ///< On workers of one rack.
    FailureDomain, ///< On workers of one failure domain.
};

std::string_view toString(adjacency value);
std::optional<adjacency> parseAdjacency(std::string_view text);

/// @brief What a job asks for. Processors and memory are totals over all its workers.
struct shape {
    unsigned accelerators = 0;
    oriole::adjacency adjacency = oriole::adjacency::Worker;
    unsigned processors = 0;
    unsigned memoryGb = 0;

    auto operator<=>(const shape&) const = default;
};

/// @brief Set of accelerators of one worker; bit n stands for accelerator n. A worker has 64 at the most.
using accelerator_set = std::uint64_t;

/// @brief What one worker gives to an attempt.
struct allocation {
    std::string worker;
    std::string rpc; ///< Address of the worker's agent, `ip:port`.
    accelerator_set accelerators = 0;
    unsigned processors = 0;
    unsigned memoryGb = 0;

    auto operator<=>(const allocation&) const = default;
};

/// @brief One try at running a job; numbers grow by one per job.
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
    Urgent, ///< Starts before normal work of every organisation; needs the class right.
};

std::string_view toString(job_class value);
std::optional<job_class> parseJobClass(std::string_view text);

/// @brief A job as its caller declared it.
struct job_spec {
    std::string organisation;
    std::string id;
    oriole::shape shape;
    oriole::job_class jobClass = oriole::job_class::Normal;
    bool repeatable = true; ///< False: no second attempt once a task may have started.
    std::chrono::milliseconds declaredRun { 0 };
    std::string payload; ///< Handed to each task as it is.

    auto operator<=>(const job_spec&) const = default;
};

/// @brief An attempt as agents see it. The first allocation's worker leads the gang.
struct attempt {
    attempt_id id;
    std::uint64_t epoch = 0; ///< Epoch of the organisation's page at the owner.
    bool guaranteed = false; ///< Runs inside its organisation's guarantee; anything else is borrowed.
    bool urgent = false;
    bool repeatable = true;
    std::vector<allocation> allocations;
    std::chrono::milliseconds declaredRun { 0 };
    std::string payload;

    auto operator<=>(const attempt&) const = default;
};

/// @brief Where an attempt stands on one worker. The last five are ends.
enum class task_phase {
    Reserved,
    Committed,
    Running,
    Evicting,
    Finished,
    Failed, ///< The task itself ended with an error.
    Evicted, ///< Checkpointed and stopped to make room; not the fault of the job.
    Lost, ///< Stopped because a member or the lead of the gang went silent.
    Released, ///< Ended before any task started.
};

std::string_view toString(task_phase phase);

/// @brief True for the phases in which a worker holds nothing for the attempt any more.
bool isEnd(task_phase phase);

/// @brief What an agent says of one attempt on its worker.
struct task_report {
    oriole::attempt attempt;
    task_phase phase = task_phase::Reserved;
    std::chrono::milliseconds age { 0 }; ///< Since the task started, else since the reservation.
    bool mayHaveRun = false; ///< False while no task of the attempt has started on this worker.
    bool leads = false;
    std::string reason;
    unsigned usedMemoryGb = 0; ///< As reported by the platform, with its lag.

    auto operator<=>(const task_report&) const = default;
};

/// @brief A worker as its agent announces it.
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
    unsigned slots = 0; ///< Requests that the backend server runs at once.
    unsigned connections = 0; ///< Connections that the backend server accepts.
    std::uint64_t incarnation = 0; ///< Random per start of the agent.

    auto operator<=>(const worker_info&) const = default;
};

/// @brief An organisation's right to run @p count gangs of this shape at any time.
struct guarantee {
    oriole::shape shape;
    unsigned count = 1;

    auto operator<=>(const guarantee&) const = default;
};

/// @brief What the decision core needs to know of an organisation.
struct organisation_policy {
    std::string name;
    std::vector<guarantee> guarantees;
    unsigned acceleratorQuota = 0; ///< Most accelerators held at once; 0 means no limit.
    unsigned weight = 1; ///< Share of borrowed accelerators against other organisations.
    bool mayRunUrgent = false;

    auto operator<=>(const organisation_policy&) const = default;
};

} // namespace oriole
