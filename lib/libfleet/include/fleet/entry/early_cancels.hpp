/// @file
/// @brief Records cancellations that come before their job is stored.
///
/// Answers submissions that the store carries out seconds after their caller was told that the outcome is not known, and has
/// cancelled the job. A submission is stored only if its job has no cancellation.
#pragma once

#include <fleet/store/record_store.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fleet {

enum class early_cancel_outcome {
    Recorded, ///< No job of this id is stored, and none will be while the record lasts.
    JobStored, ///< Nothing was recorded, since the store holds the job.
};

class early_cancels {
public:
    using handler = std::function<void(result<early_cancel_outcome>)>;

    early_cancels(record_store& store, oriole::timer_service& timers);

    /// @brief Records the cancellation of a job of which this entry knows nothing. Once too many records last, it fails with
    /// Overloaded and nothing is done.
    void record(const std::string& id, handler done);

private:
    /// @brief Records end with their lease, so that nobody has to remove them.
    struct record_lease {
        std::int64_t id = 0;
        oriole::time_point usableUntil;
        unsigned records = 0;
    };

    void withLease(std::function<void(result<std::int64_t>)> use);
    void takeLease(const result<std::int64_t>& granted);
    void commit(const std::string& id, std::int64_t lease, handler done);

    record_store& m_store;
    oriole::timer_service& m_timers;
    std::optional<record_lease> m_lease;
    std::vector<std::function<void(result<std::int64_t>)>> m_waiting; ///< Until the lease that was asked for is granted.
};

} // namespace fleet
