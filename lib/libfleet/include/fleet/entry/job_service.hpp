/// @file
/// @brief Accepts jobs and reports their states. It depends on the store alone, so that any entry can serve any job.
#pragma once

#include <fleet/entry/control_view.hpp>
#include <fleet/entry/early_cancels.hpp>
#include <fleet/records/job_codec.hpp>
#include <fleet/store/store_mirror.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace fleet {

/// @brief Outcome of a submission.
enum class submit_outcome {
    Accepted, ///< The job is stored, by this or by an earlier submission of the same job.
    IdConflict, ///< The id belongs to another job.
    NotStored, ///< The job was not stored and will not be.
    MayBeStored, ///< The store did not answer: the job may be stored already or later.
    Cancelled, ///< The job was cancelled before it was stored; it is not stored while the record of that lasts.
    ConfigurationChanged, ///< The configuration has changed since the admission; the job was not stored.
};

class job_service {
public:
    job_service(record_store& store, oriole::timer_service& timers);

    void start();

    /// @brief Stores a job on condition that the configuration by which it was admitted is still current.
    void submit(accepted_job job, const record_condition& control, std::function<void(submit_outcome)> done);

    /// @brief Tells whether the store holds a job of this id, whatever its body.
    void holds(const std::string& id, std::function<void(result<bool>)> done);

    /// @brief Looks up a job's status; @p done receives no value if the job does not exist.
    void find(const std::string& id, std::function<void(result<std::optional<job_status>>)> done);

    using cancel_handler = std::function<void(result<std::optional<job_state>>)>;

    /// @brief Records the cancellation of a job, also of one that the store may be about to store.
    /// @param done Receives the job's new state, or no value if the job does not exist.
    void cancel(const std::string& id, cancel_handler done);

    /// @brief Number of jobs of a queue of which no task has started.
    [[nodiscard]] std::size_t pending(const std::string& queue) const;

    [[nodiscard]] bool ready() const { return m_status.loaded(); }

private:
    void handleStatusChange(const record_change& change);
    void cancelStored(const std::string& id, cancel_handler done);

    record_store& m_store;
    store_mirror m_status;
    early_cancels m_earlyCancels;
    std::map<std::string, job_status> m_statuses;
    std::set<std::string> m_cancelled; ///< Jobs that were cancelled through this entry; their status records may not show it yet.
    std::map<std::string, std::size_t> m_pending; ///< Number of queued jobs by queue.
};

} // namespace fleet
