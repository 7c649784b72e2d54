/// @file
/// @brief Leader election among the entries: the entry that holds the leased record in the store runs the scheduler.
#pragma once

#include <fleet/store/record_store.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fleet {

using oriole::time_point;

/// @brief Duration of the lease on the scheduler's record. After a scheduler died, its successor waits at most this long.
constexpr milliseconds leaseTtl { 2000 };

/// @brief Acquires the scheduler's record and renews its lease. The store revision that created the record is the epoch.
class leadership {
public:
    struct handlers {
        std::function<void(std::uint64_t epoch)> acquired;
        std::function<void(const std::string& reason)> lost;
        /// @brief Time to wait between the removal of the record and the claim; no value if it is not known yet. Optional.
        std::function<std::optional<milliseconds>(bool lostRecently)> claimDelay = {};
    };

    /// @param clock Returns the current time of a clock that keeps counting while the machine is suspended.
    leadership(record_store& store, oriole::timer_service& timers, std::function<time_point()> clock, std::string name,
        handlers eventHandlers);
    ~leadership();
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;

    void start();

    /// @brief Must be called when the scheduler's record was removed, or was written by this or another entry.
    void recordChanged(bool exists);

    /// @brief Ends the lease for a planned stop, so that another entry can take over at once.
    void resign(std::function<void()> done);

    /// @brief Gives up leadership after a store request showed that the record now belongs to another entry.
    void stepDown(const std::string& reason);

    [[nodiscard]] std::optional<std::uint64_t> epoch() const { return m_epoch; }

    /// @brief Send time of the last store request that confirmed this entry's leadership.
    [[nodiscard]] time_point confirmedAt() const { return m_confirmedAt; }
    /// @brief Records that a store request sent at @p sentAt confirmed this entry's leadership.
    void confirm(time_point sentAt);

private:
    void tryAcquire();
    void acquireAfter(milliseconds delay);
    [[nodiscard]] milliseconds timeToClaim();
    [[nodiscard]] bool isFromEarlierProcess(const record& found);
    void endLeaseOf(const record& found);
    void claim();
    void readBack();
    void becomeLeader(std::uint64_t epoch, time_point sentAt);
    void renew();
    void renewAfter(milliseconds delay);

    record_store& m_store;
    oriole::timer_service& m_timers;
    std::function<time_point()> m_clock;
    std::string m_name;
    std::string m_token; ///< Distinguishes this process from earlier ones under the same name.
    handlers m_handlers;
    std::int64_t m_lease = 0;
    std::optional<revision_number> m_earlierRecord; ///< Of an earlier process of this name, when this one first looked; 0 for none.
    std::optional<std::uint64_t> m_epoch;
    time_point m_confirmedAt;
    std::optional<time_point> m_missingSince; ///< When the record was first found missing.
    std::optional<time_point> m_lostAt; ///< When this entry last lost the record.
    oriole::timer_service::subscription_id m_acquireSubscription = 0;
    oriole::timer_service::subscription_id m_renewSubscription = 0;
    bool m_acquiring = false;
    bool m_resigned = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
