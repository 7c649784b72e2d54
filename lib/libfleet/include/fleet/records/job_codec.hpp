/// @file
/// @brief Keys of the records in the store, and their JSON encoding.
#pragma once

#include <fleet/core/job_progress.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace fleet {

/// @brief Keys and key prefixes of all records. The records of a job are stored under its id.
namespace record_keys {
inline const std::string jobs = "oriole/job/"; ///< The accepted job; never changed.
inline const std::string progress = "oriole/progress/"; ///< Written by the scheduler only.
inline const std::string status = "oriole/status/"; ///< Queue and state of a job, for replies to callers.
inline const std::string cancels = "oriole/cancel/"; ///< A cancellation; written by the entry that received it.
inline const std::string members = "oriole/member/"; ///< Addresses of agents and entries.
inline const std::string cores = "oriole/cores/"; ///< Processor share of each entry in cores.
inline const std::string scheduler = "oriole/scheduler"; ///< The entry that runs the scheduler; bound to its lease.
inline const std::string backlog = "oriole/backlog"; ///< Work that waits; written by the scheduler, read by all entries.
} // namespace record_keys

/// @brief Queue and state of a job.
struct job_status {
    std::string queue;
    job_state state = job_state::Queued;

    auto operator<=>(const job_status&) const = default;
};

std::string_view toString(job_state state);

/// @brief Upper bound of the size of a job's record of progress in bytes, with names of workers as long as platforms give them.
std::size_t maxProgressBytes(const job_spec& spec);

std::string encodeJob(const accepted_job& job);
std::optional<accepted_job> decodeJob(std::string_view text);

std::string encodeProgress(const job_progress& progress);
std::optional<job_progress> decodeProgress(std::string_view text);

std::string encodeStatus(const job_status& status);
std::optional<job_status> decodeStatus(std::string_view text);

} // namespace fleet
