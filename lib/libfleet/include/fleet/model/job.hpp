/// @file
/// @brief A job as handed in: a graph of steps, each of one or many tasks. Immutable once accepted.
#pragma once

#include <fleet/model/resources.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fleet {

struct step_spec {
    unsigned count = 1;
    resources need; ///< Of each task.
    std::int64_t runTimeMs = 0; ///< Rough run time of a task.
    std::vector<unsigned> after; ///< Earlier steps whose tasks must all be done first.
    bool checkpointing = false;
    bool gang = false; ///< The tasks run only together.
    bool sameRack = false; ///< A gang over several racks is slower.
    bool lasting = false; ///< The tasks run until the job is cancelled.
    bool fillsIdle = false; ///< The processors it asks for are not counted against a worker's room.
    std::string requirement; ///< Label that the worker must have; empty for none.
    std::string affinityRack; ///< Rack of its data; empty for none.
    std::string image;
    unsigned antiAffinity = 0; ///< At most so many tasks of the step on one worker; 0 for no limit.
    unsigned optional = 0; ///< So many tasks may be away by the system's own doing.
    unsigned targetMs = 0; ///< Tail latency that a lasting task has to keep; 0 for none.

    auto operator<=>(const step_spec&) const = default;

    /// @brief What a task takes of its worker's room: work that fills idle time takes no cores.
    [[nodiscard]] resources held() const { return { fillsIdle ? 0 : need.millicores, need.memoryMb, need.accelerators }; }
};

struct job_spec {
    std::string text; ///< Opaque; handed to each task.
    std::vector<step_spec> steps;
    unsigned repeatCount = 0; ///< 0: the steps run once, at once.
    std::int64_t firstDueUnixMs = 0;
    std::int64_t intervalMs = 0;

    auto operator<=>(const job_spec&) const = default;

    [[nodiscard]] unsigned occurrences() const { return repeatCount == 0 ? 1 : repeatCount; }
};

/// @brief What its queue promised when a job was accepted. It holds for the job once the queue has been removed.
struct acceptance_terms {
    unsigned priority = 0;
    unsigned maxAttempts = 1;
    double slackFactor = 1;
    std::int64_t targetLatencyMs = 0;

    auto operator<=>(const acceptance_terms&) const = default;
};

/// @brief A job as accepted: what its caller sent, for whom, and where.
struct accepted_job {
    std::string id;
    std::string queue; ///< Name of the queue.
    std::string service;
    std::string organisation; ///< Empty on a queue that asks for no key.
    std::int64_t acceptedUnixMs = 0;
    std::uint64_t bodyDigest = 0; ///< Another body under the same id is another job.
    std::optional<acceptance_terms> terms; ///< Missing in records of earlier versions.
    job_spec spec;

    auto operator<=>(const accepted_job&) const = default;
};

enum class job_state {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// @brief Whether nothing of the job will run any more.
[[nodiscard]] constexpr bool isFinal(job_state state)
{
    return state != job_state::Queued && state != job_state::Running;
}

/// @brief One task of one occurrence of a job.
struct task_id {
    std::string job;
    unsigned occurrence = 0;
    unsigned step = 0;
    unsigned index = 0;

    auto operator<=>(const task_id&) const = default;
};

/// @brief One start of a task; attempts of a task rise.
struct run_id {
    task_id task;
    unsigned attempt = 0;

    auto operator<=>(const run_id&) const = default;
};

/// @brief Writes a task's name, `JOB.OCCURRENCE.STEP.INDEX`.
std::string toString(const task_id& task);

/// @return No value when the text is no task's name.
std::optional<task_id> parseTaskId(std::string_view text);

/// @brief How a run ended.
enum class run_outcome {
    Done,
    Failed, ///< Through its own fault or the worker's; counts as an attempt.
    Stopped,
    Lapsed, ///< Its lease ran out.
    Broken, ///< Another member of its gang ended.
    Alone, ///< The other members of its gang did not come.
    Lost, ///< Its worker is gone or does not have it.
};

std::string_view toString(run_outcome how);

} // namespace fleet
