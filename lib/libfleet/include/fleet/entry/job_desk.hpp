/// @file
/// @brief Takes jobs in and answers for them, from the store alone: any entry can do it.
#pragma once

#include <fleet/entry/control_view.hpp>
#include <fleet/records/job_codec.hpp>
#include <fleet/store/store_mirror.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace fleet {

/// @brief The end of a submission.
enum class intake {
    Accepted, ///< It is stored, now or by an earlier submission of the same job.
    OtherBody, ///< The id belongs to another job.
    NotAccepted, ///< Nothing was stored and nothing will be.
    MayBeAccepted, ///< The store did not answer: it may be stored now or later.
    NotCurrent, ///< The configuration has changed meanwhile; nothing was stored.
};

class job_desk {
public:
    job_desk(record_store& store, oriole::timer_service& timers);

    void start();

    /// @brief Stores a job on condition that the configuration it was admitted by is still the newest.
    void submit(accepted_job job, const record_condition& control, std::function<void(intake)> done);

    /// @brief Finds a job's state; no value when no such job exists.
    void find(const std::string& id, std::function<void(result<std::optional<job_status>>)> done);

    /// @brief Records that a job is to be cancelled.
    /// @return Through @p done its state afterwards; no value when no such job exists.
    void cancel(const std::string& id, std::function<void(result<std::optional<job_state>>)> done);

    /// @brief Jobs of a queue for which no task has started.
    [[nodiscard]] std::size_t pending(const std::string& queue) const;

    [[nodiscard]] bool ready() const { return m_status.loaded(); }

private:
    void takeStatus(const record_change& change);

    record_store& m_store;
    store_mirror m_status;
    std::map<std::string, job_status> m_states;
    std::set<std::string> m_cancelled; ///< By this entry, until the scheduler's record says it.
    std::map<std::string, std::size_t> m_pending; ///< Queued jobs by queue.
};

} // namespace fleet
