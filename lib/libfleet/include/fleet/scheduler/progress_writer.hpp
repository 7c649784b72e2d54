/// @file
/// @brief Writes the progress of jobs into the store, each write on condition that this scheduler still decides.
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

/// @brief One write of a job at a time; changes meanwhile go into the next one.
class progress_writer {
public:
    struct source {
        const job_progress* progress = nullptr;
        std::string queue;
    };

    struct handlers {
        /// @brief The job as it is now; a null progress when it is not known.
        std::function<source(const std::string& job)> read;
        /// @brief What was read for the last write is recorded.
        std::function<void(const std::string& job)> recorded;
        std::function<void(const std::string& reason)> deposed;
        std::function<void(oriole::time_point sentAt)> proven;
    };

    /// @param clock Also counts while the machine is suspended.
    progress_writer(record_store& store, oriole::timer_service& timers, std::function<oriole::time_point()> clock,
        revision_number epoch, handlers notify);
    ~progress_writer();
    progress_writer(const progress_writer&) = delete;
    progress_writer& operator=(const progress_writer&) = delete;

    /// @brief Tells the revision and the state of a job's records, as loaded.
    void restore(const std::string& job, revision_number revision, std::optional<job_state> state);

    /// @brief Something of the job changed; it is written soon.
    void change(const std::string& job);

    /// @brief Whether all changes of the job are recorded.
    [[nodiscard]] bool isClean(const std::string& job) const;

private:
    struct row {
        revision_number revision = 0;
        std::optional<job_state> recordedState;
        bool dirty = false;
        bool writing = false;
    };

    void flush();
    void write(const std::vector<std::string>& jobs);
    void take(const std::vector<std::string>& jobs, const std::vector<job_state>& states, oriole::time_point sentAt,
        const result<commit_outcome>& outcome);
    bool adopt(const std::vector<record>& current);
    void later(milliseconds delay);

    record_store& m_store;
    oriole::timer_service& m_timers;
    std::function<oriole::time_point()> m_clock;
    revision_number m_epoch;
    handlers m_notify;
    std::map<std::string, row> m_rows;
    std::set<std::string> m_dirty;
    bool m_flushing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
