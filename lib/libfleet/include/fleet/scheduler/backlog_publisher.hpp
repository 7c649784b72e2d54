/// @file
/// @brief Writes the backlog of one scheduler to the store, when it has changed noticeably and at most twice a second.
#pragma once

#include <fleet/core/backlog.hpp>
#include <fleet/store/record_store.hpp>

#include <oriole/helpers/metrics.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace fleet {

class backlog_publisher {
public:
    /// @param epoch Revision of the scheduler's record; writes are made on condition that it has not changed.
    backlog_publisher(record_store& store, oriole::metrics_registry& metrics, revision_number epoch);
    ~backlog_publisher();
    backlog_publisher(const backlog_publisher&) = delete;
    backlog_publisher& operator=(const backlog_publisher&) = delete;

    /// @brief To be called often. Sums up the backlog by @p summarize if a write may be due, and writes it if it is.
    void update(oriole::time_point now, const std::function<backlog()>& summarize);

private:
    [[nodiscard]] bool mayWrite(oriole::time_point now) const;
    [[nodiscard]] const char* reasonToWrite(const backlog& present, oriole::time_point now) const;
    void write(backlog present, oriole::time_point now, const char* reason);
    void handleOutcome(const result<commit_outcome>& outcome, oriole::time_point now);

    record_store& m_store;
    oriole::metrics_registry& m_metrics;
    revision_number m_epoch;
    std::uint64_t m_version = 0;
    std::optional<backlog> m_published; ///< What was last written.
    std::optional<oriole::time_point> m_firstUpdate;
    oriole::time_point m_nextUpdate; ///< Not summed up before.
    oriole::time_point m_writtenAt;
    bool m_writing = false;
    bool m_unconfirmed = false; ///< The last write failed or was not answered.
    bool m_replaced = false; ///< Another scheduler has written its record.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
