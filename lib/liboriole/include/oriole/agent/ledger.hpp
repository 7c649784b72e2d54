/// @file
/// @brief Resource ledger of one worker: its reservations, its tasks and how they ended.
#pragma once

#include <oriole/core/model.hpp>
#include <oriole/core/place.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace oriole {

/// @brief An attempt that has an allocation on this worker.
struct ledger_entry {
    oriole::attempt attempt;
    allocation localAllocation; ///< The part of the attempt that is allocated on this worker.
    task_phase phase = task_phase::Reserved;
    time_point activeSince; ///< Time of the reservation; from the start of the task on, time of the start.
    time_point expiresAt; ///< When the reservation expires; counts in phase Reserved only.
    bool waiting = false; ///< Reserved, but tasks being evicted still hold resources that it needs.
    bool mayHaveRun = false;
    bool leads = false;
    std::string reason;
    unsigned usedMemoryGb = 0;
};

enum class reservation_state {
    Accepted,
    Waiting, ///< Granted once the evicted tasks have ended.
    Refused,
};

struct reservation_answer {
    reservation_state state = reservation_state::Refused;
    std::string reason;
    std::uint64_t epoch = 0; ///< Highest known epoch of the organisation.
    bool mayHaveRun = false;
    std::vector<attempt_id> evict; ///< Tasks that the caller has to checkpoint and stop.
};

struct commit_answer {
    bool accepted = false;
    std::string reason;
    bool mayHaveRun = false;
};

/// @brief Allocates one worker's accelerators, processors and memory. Performs no I/O and reads no clock.
///
/// Operations are idempotent and may arrive out of order. An attempt that has ended on this worker, or was released
/// before its reservation arrived, is not accepted again. This is tracked by a bounded number of end records; when the
/// bound is exceeded, the oldest record is discarded first.
class ledger {
public:
    /// @param capacity Total resources of the worker.
    /// @param maxEndRecords Bound on the end records, against which late messages are checked.
    ledger(std::string worker, const resources& capacity, std::size_t maxEndRecords = 65536);

    /// @brief Reserves the attempt's allocation for @p ttl. If @p evictBorrowed is set, a guaranteed or urgent attempt
    /// may evict borrowed tasks that are not urgent; it waits until they have ended.
    reservation_answer reserve(const attempt& requested, milliseconds ttl, bool evictBorrowed, time_point now);

    /// @brief Commits a granted reservation. A committed attempt does not expire.
    commit_answer commit(const attempt_id& id, std::uint64_t epoch, time_point now);

    /// @brief Ends an attempt that has not started, or marks a started one as Evicting; the caller has to stop its task.
    /// @return The report of the attempt; none if @p epoch is stale.
    std::vector<task_report> release(
        const attempt_id& id, std::uint64_t epoch, const std::string& reason, time_point now);

    /// @brief Refuses messages with an epoch lower than @p epoch from now on.
    /// @return The highest known epoch of the organisation.
    std::uint64_t fence(const std::string& organisation, std::uint64_t epoch);

    /// @brief Adopts a task that the runtime reports as running or ended.
    /// @param holdsResources False if the task itself has ended and holds no resources, while its gang still runs.
    /// @return False if another attempt holds its accelerators, or it is already known or has ended on this worker.
    bool adopt(const attempt& found, task_phase phase, bool holdsResources, const std::string& reason, time_point now);

    /// @brief Records that the task may have run from now on. Must be called before any start order is sent.
    /// @return False if the attempt is not committed, or the failure domain is out.
    bool allowStart(const attempt_id& id);

    /// @brief Reverts @c allowStart. Valid only if the start order went to no other worker and the runtime has not started
    /// the task.
    void revokeStart(const attempt_id& id);

    void markRunning(const attempt_id& id, time_point now);

    void markEvicting(const attempt_id& id, const std::string& reason);

    void setUsedMemory(const attempt_id& id, unsigned usedMemoryGb);

    /// @brief Ends an attempt and frees its resources. An ended attempt does not change its phase again.
    void end(const attempt_id& id, task_phase phase, const std::string& reason);

    /// @brief Ends the reservations that have expired.
    void expireReservations(time_point now);

    /// @brief Takes the failure domain out or in. Taking it out ends all attempts that have not started.
    void setFailureDomainOut(bool out);

    /// @brief Removes ended attempts whose end the owner has recorded; an end record of each remains.
    void removeEnded(const std::vector<attempt_id>& acknowledged);

    [[nodiscard]] const ledger_entry* find(const attempt_id& id) const;
    [[nodiscard]] const std::map<attempt_id, ledger_entry>& entries() const { return m_entries; }
    [[nodiscard]] std::vector<task_report> reports(time_point now) const;

    /// @brief The report of one attempt; an attempt without an entry is reported as Released.
    [[nodiscard]] task_report report(const attempt_id& id, time_point now) const;

    /// @brief True if a task of the attempt may have run on this worker, also after its entry has been removed.
    [[nodiscard]] bool mayHaveRun(const attempt_id& id) const;

    /// @brief Increases with each change of the result of @c reports, other than ages.
    [[nodiscard]] std::uint64_t version() const { return m_version; }

private:
    struct end_record {
        unsigned number = 0; ///< Attempts of the job up to and including this number have ended.
        bool mayHaveRun = false; ///< Applies to attempt @c number.
        bool earlierMayHaveRun = false; ///< True if any earlier attempt may have run.
        std::uint64_t sequence = 0;
    };
    using job_key = std::pair<std::string, std::string>;

    reservation_answer refuse(const attempt& requested, std::string reason, bool mayHaveRun = false) const;
    reservation_answer repeatReservation(ledger_entry& held, const attempt& requested, milliseconds ttl, time_point now);
    reservation_answer allocate(ledger_entry requested, bool mayEvict);
    std::vector<attempt_id> acceleratorConflicts(const ledger_entry& requested) const;
    /// Adds to @p victims the borrowed tasks that have to be evicted to free processors and memory for @p requested.
    /// @return False if eviction can't free enough for @p requested.
    bool selectVictims(const ledger_entry& requested, bool mayEvict, std::vector<attempt_id>& victims) const;
    /// True while other attempts hold resources that @p requested needs. Waiting reservations hold none yet.
    [[nodiscard]] bool lacksResources(const ledger_entry& requested) const;
    void grantWaiting();
    void recordEnd(const attempt_id& id, bool mayHaveRun);
    const end_record* findEndRecord(const attempt_id& id) const;
    std::uint64_t highestEpoch(const std::string& organisation) const;

    std::string m_worker;
    resources m_capacity;
    std::size_t m_maxEndRecords;
    bool m_failureDomainOut = false;
    std::uint64_t m_version = 1;
    std::map<attempt_id, ledger_entry> m_entries;
    std::map<std::string, std::uint64_t> m_highestEpochs;
    std::map<job_key, end_record> m_endRecords;
    std::deque<std::pair<job_key, std::uint64_t>> m_endRecordsByAge;
    std::uint64_t m_lastEndSequence = 0;
};

} // namespace oriole
