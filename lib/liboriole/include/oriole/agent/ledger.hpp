/// @file
/// @brief The ledger of what one worker holds: reservations, tasks and their ends.
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

/// @brief One attempt on this worker.
struct ledger_entry {
    oriole::attempt attempt;
    allocation share; ///< The part of the attempt that this worker gives.
    task_phase phase = task_phase::Reserved;
    time_point since; ///< Of the reservation, later of the start.
    time_point expires; ///< End of the reservation while in phase Reserved.
    bool waiting = false; ///< Reserved, but evicted tasks still hold some of what it needs.
    bool mayHaveRun = false;
    bool leads = false;
    std::string reason;
    unsigned usedMemoryGb = 0;
};

enum class reservation_state {
    Accepted,
    Waiting, ///< Granted once the evicted tasks are gone.
    Refused,
};

struct reservation_answer {
    reservation_state state = reservation_state::Refused;
    std::string reason;
    std::uint64_t epoch = 0; ///< Highest known of the organisation.
    bool mayHaveRun = false;
    std::vector<attempt_id> evict; ///< Tasks that the caller of the ledger now has to checkpoint and stop.
};

struct commit_answer {
    bool accepted = false;
    std::string reason;
    bool mayHaveRun = false;
};

/// @brief Authority over one worker's accelerators, processors and memory. Pure: no I/O, no clock.
///
/// Every operation may be repeated or arrive out of order. An attempt that has ended here, or was released before it
/// was known, is never accepted afterwards; records of that are bounded in number, the oldest go first.
class ledger {
public:
    /// @param capacity All that the worker has.
    /// @param rememberedEnds Number of ended attempts that late messages are checked against.
    ledger(std::string worker, const amounts& capacity, std::size_t rememberedEnds = 65536);

    /// @brief Holds the attempt's share for @p ttl. A guaranteed or urgent attempt with @p evictBorrowed takes that of
    /// borrowed tasks that are not urgent; these are evicted first.
    reservation_answer reserve(const attempt& wanted, milliseconds ttl, bool evictBorrowed, time_point now);

    /// @brief Turns a granted reservation into a commitment, which does not expire.
    commit_answer commit(const attempt_id& id, std::uint64_t epoch, time_point now);

    /// @brief Ends an attempt that has not started, or marks a started one as Evicting; its task has to be stopped.
    /// @return No report when @p epoch is stale.
    std::vector<task_report> release(
        const attempt_id& id, std::uint64_t epoch, const std::string& reason, time_point now);

    /// @brief Refuses lower epochs from now on.
    /// @return The highest epoch known.
    std::uint64_t fence(const std::string& organisation, std::uint64_t epoch);

    /// @brief Takes over a task found running or ended at the runtime.
    /// @param holds False when it holds no accelerators any more: its own part is over, its gang not yet.
    /// @return False when its accelerators are held or it has ended here.
    bool adopt(const attempt& found, task_phase phase, bool holds, const std::string& reason, time_point now);

    /// @brief Records that a task may start from now on; to be called before anybody is told to start it.
    /// @return False when the attempt is not committed, or the failure domain is out.
    bool allowStart(const attempt_id& id);

    /// @brief Takes @c allowStart back: the task was told to nobody but the runtime, which refused it.
    void retractStart(const attempt_id& id);

    /// @brief Records that the task runs.
    void markRunning(const attempt_id& id, time_point now);

    /// @brief Records that the task is being stopped.
    void markEvicting(const attempt_id& id, const std::string& reason);

    void markMemory(const attempt_id& id, unsigned usedMemoryGb);

    /// @brief Ends an attempt; its accelerators are free. An end is final.
    void end(const attempt_id& id, task_phase phase, const std::string& reason);

    /// @brief Ends reservations whose time is over.
    void expire(time_point now);

    /// @brief Takes the failure domain out or in; out ends everything that has not started.
    void setOut(bool out);

    /// @brief Forgets ends that their owner has recorded.
    void forget(const std::vector<attempt_id>& acknowledged);

    [[nodiscard]] const ledger_entry* find(const attempt_id& id) const;
    [[nodiscard]] const std::map<attempt_id, ledger_entry>& entries() const { return m_entries; }
    [[nodiscard]] std::vector<task_report> reports(time_point now) const;

    /// @brief The report of one attempt; one that is not held counts as Released.
    [[nodiscard]] task_report report(const attempt_id& id, time_point now) const;

    /// @brief Whether a task of the attempt may have run here, also when it is no longer held.
    [[nodiscard]] bool mayHaveRun(const attempt_id& id) const;

    /// @brief Grows with each change of what @c reports says.
    [[nodiscard]] std::uint64_t version() const { return m_version; }

private:
    struct remembered_end {
        unsigned number = 0; ///< Attempts of the job up to this number are over.
        bool mayHaveRun = false; ///< Of attempt @c number.
        bool earlierMayHaveRun = false; ///< Of any attempt before it.
        std::uint64_t age = 0;
    };
    using job_key = std::pair<std::string, std::string>;

    reservation_answer refuse(const attempt& wanted, std::string reason, bool mayHaveRun = false) const;
    reservation_answer repeated(ledger_entry& held, const attempt& wanted, milliseconds ttl, time_point now);
    reservation_answer claim(ledger_entry wanted, bool mayEvict);
    std::vector<attempt_id> conflicts(const ledger_entry& wanted) const;
    /// Adds the borrowed tasks to @p victims that have to go for the processors and memory of @p wanted.
    bool makeRoom(const ledger_entry& wanted, bool mayEvict, std::vector<attempt_id>& victims) const;
    /// True while others hold any of what @p wanted needs; what waits itself holds nothing yet.
    [[nodiscard]] bool blocked(const ledger_entry& wanted) const;
    void settle();
    void remember(const attempt_id& id, bool mayHaveRun);
    const remembered_end* rememberedEnd(const attempt_id& id) const;
    std::uint64_t highestEpoch(const std::string& organisation) const;

    std::string m_worker;
    amounts m_capacity;
    std::size_t m_rememberedEnds;
    bool m_out = false;
    std::uint64_t m_version = 1;
    std::map<attempt_id, ledger_entry> m_entries;
    std::map<std::string, std::uint64_t> m_epochs;
    std::map<job_key, remembered_end> m_ends;
    std::deque<std::pair<job_key, std::uint64_t>> m_endsByAge;
    std::uint64_t m_endAge = 0;
};

} // namespace oriole
