/// @file
/// @brief Writes the progress of jobs into the store, each write conditional on this scheduler still being the leader.
#pragma once

#include <fleet/core/job_progress.hpp>
#include <fleet/store/record_store.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fleet {

/// @brief Keeps at most one write in flight for each job; changes made meanwhile go into the next write.
class progress_writer {
public:
    struct source {
        const job_progress* progress = nullptr;
        std::string queue;
    };

    struct handlers {
        /// @brief Returns the current progress of the job, null for an unknown job.
        std::function<source(const std::string& job)> read;
        /// @brief The store committed what `read` returned for the last write.
        std::function<void(const std::string& job)> recorded;
        std::function<void(const std::string& reason)> leadershipLost;
        std::function<void(oriole::time_point sentAt)> leadershipConfirmed;
    };

    /// @param clock Keeps counting while the machine is suspended.
    progress_writer(record_store& store, oriole::timer_service& timers, std::function<oriole::time_point()> clock,
        revision_number epoch, handlers eventHandlers);
    ~progress_writer();
    progress_writer(const progress_writer&) = delete;
    progress_writer& operator=(const progress_writer&) = delete;

    /// @brief Sets the revision of the progress record and the recorded status of a job after they were loaded.
    /// @param state Without a value the status record is written again.
    void restore(const std::string& job, revision_number revision, std::optional<job_state> state);

    /// @brief Marks a job as changed; its progress is written in the next turn of the event loop.
    void markDirty(const std::string& job);

    /// @brief Whether all changes of the job are recorded.
    [[nodiscard]] bool isClean(const std::string& job) const;

private:
    struct job_entry {
        revision_number revision = 0;
        std::optional<job_state> recordedState;
        bool dirty = false;
        bool writing = false;
        bool alone = false; ///< The store refused a transaction with it for good, so it is written without other jobs.
        std::optional<oriole::time_point> notBefore; ///< It was refused alone; when it is tried again.
    };

    void flush();
    void write(const std::vector<std::string>& jobs);
    void handleOutcome(const std::vector<std::string>& jobs, const std::vector<job_state>& states, oriole::time_point sentAt,
        const result<commit_outcome>& outcome);
    bool adoptRevisions(const std::vector<record>& current);
    void flushAfter(milliseconds delay);
    [[nodiscard]] std::vector<std::string> nextJobs();
    void separateRefused(const std::vector<std::string>& jobs, const failure& error);

    record_store& m_store;
    oriole::timer_service& m_timers;
    std::function<oriole::time_point()> m_clock;
    revision_number m_epoch;
    handlers m_handlers;
    std::map<std::string, job_entry> m_jobs;
    std::set<std::string> m_dirty;
    bool m_flushScheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
