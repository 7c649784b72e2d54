/// @file
/// @brief Manages the tasks of one worker from reservation to end.
#pragma once

#include <oriole/agent/agent_view.hpp>
#include <oriole/agent/gang.hpp>
#include <oriole/agent/ledger.hpp>
#include <oriole/agent/peer_gateway.hpp>
#include <oriole/runtime/runtime_client.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriole {

struct task_run;

/// @brief Counters for metrics and tests.
struct task_counters {
    std::uint64_t reservations = 0;
    std::uint64_t reservationsRefused = 0;
    std::uint64_t starts = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t evicted = 0;
    std::uint64_t lost = 0;
    std::uint64_t adopted = 0;
    std::uint64_t throttled = 0;
};

/// @brief Coordinates the ledger, the gangs, the runtime and the peers. Runs on the event loop's thread.
class task_manager {
public:
    using reserve_handler = std::function<void(const reservation_answer&)>;
    using reports_handler = std::function<void(const std::vector<task_report>&)>;
    using gang_handler = std::function<void(result<gang_answer>)>;

    task_manager(std::string worker, const resources& capacity, timer_service& timers, runtime_client& runtime,
        peer_gateway& peers, const agent_view& view);
    ~task_manager();
    task_manager(const task_manager&) = delete;
    task_manager& operator=(const task_manager&) = delete;

    /// @brief Asks the runtime for the tasks of an earlier agent process, and adopts or stops each of them. Retries until
    /// this succeeds; reservations are refused until then.
    void recover();

    /// @brief Reserves an allocation; calls @p done once the reservation is granted or refused.
    void reserve(const attempt& requested, milliseconds ttl, bool evictBorrowed, reserve_handler done);

    commit_answer commit(const attempt_id& id, std::uint64_t epoch);

    /// @brief Ends attempts; calls @p done when their tasks have stopped, or with their current state after a time-out.
    void release(
        const std::vector<attempt_id>& ids, std::uint64_t epoch, const std::string& reason, reports_handler done);

    /// @brief Refuses requests with lower epochs from now on and returns all attempts of the organisation on this worker.
    /// @param epoch Set to the highest known epoch.
    std::vector<task_report> fence(const std::string& organisation, std::uint64_t& epoch);

    /// @brief Checkpoints and stops borrowed tasks; evicts guaranteed ones only if the worker's failure domain is out.
    void evict(const std::vector<attempt_id>& ids, milliseconds grace, const std::string& reason);

    /// @brief Processes a heartbeat of a gang member; the answer is delayed (long polling) while the gang's state does not
    /// change.
    void gangHeartbeat(const attempt_id& id, const std::string& worker, task_phase phase, gang_handler done);

    /// @brief Releases all attempts that have not started and evicts all others.
    void evictAll(milliseconds grace, const std::string& reason);

    /// @brief Removes ended attempts after their owners have recorded that they ended.
    void acknowledge(const std::vector<attempt_id>& ids);

    /// @brief Must be called after each change of the control state.
    void viewChanged();

    /// @brief Sets the handler that is called after the result of @c reports has changed.
    void onChange(std::function<void()> handler) { m_onChange = std::move(handler); }

    /// @brief Sets the handler that is called once the tasks of an earlier process have been recovered.
    void onRecovered(std::function<void()> handler) { m_onRecovered = std::move(handler); }

    [[nodiscard]] std::vector<task_report> reports() const;
    [[nodiscard]] std::uint64_t version() const { return m_ledger.version(); }
    [[nodiscard]] bool recovered() const { return m_recovered; }

    /// @brief Number of tasks that have failed on this worker since the last one that finished.
    [[nodiscard]] unsigned failuresInRow() const { return m_failuresInRow; }

    /// @brief True if no attempt is reserved, committed, running or being evicted.
    [[nodiscard]] bool idle() const;

    [[nodiscard]] const task_counters& counters() const { return m_counters; }

private:
    using run_ptr = std::shared_ptr<task_run>;
    struct pending_reserve;
    struct pending_release;

    [[nodiscard]] time_point now() const { return m_timers.now(); }
    [[nodiscard]] milliseconds lease() const { return m_view.limits().taskLease; }
    run_ptr findRun(const attempt_id& id) const;
    run_ptr addRun(const attempt& attempt, const allocation& share);

    void tick();
    void publish();
    void advance(const run_ptr& task);
    void recordLedgerEnd(const run_ptr& task);
    void advanceLead(const run_ptr& task);
    void advanceMember(const run_ptr& task);
    void answerHeartbeats(const run_ptr& task, bool changed);
    void sendHeartbeat(const run_ptr& task);
    void handleHeartbeatAnswer(const run_ptr& task, time_point sentAt, task_phase sentPhase, const result<gang_answer>& answer);
    void applyLeadAnswer(const run_ptr& task, time_point sentAt, const gang_answer& answer);

    void startOrAbort(const run_ptr& task);
    void startTask(const run_ptr& task);
    void handleStartAnswer(const run_ptr& task, const result<runtime_task>& answer);
    void stopRun(const run_ptr& task, task_phase phase, const std::string& reason, bool checkpoint);
    void stopTask(const run_ptr& task);
    void handleStopAnswer(const run_ptr& task, const result<runtime_task>& answer);
    void handleTaskEnd(const run_ptr& task, const runtime_task& last);
    void endRun(const run_ptr& task, task_phase phase, const std::string& reason);
    void evictRun(const run_ptr& task, const std::string& reason);

    void renewLeases();
    void handleRenewalAnswer(const std::vector<run_ptr>& runs, const result<std::vector<runtime_task>>& answer);
    void enforceMemoryLimit(const run_ptr& task, unsigned usedMemoryGb);
    void adopt(const labelled_task& found);
    void adoptEnded(const labelled_task& found);
    void deleteRuntimeRecords();

    void answerPendingCalls();
    void removeEndedRuns();

    std::string m_worker;
    timer_service& m_timers;
    runtime_client& m_runtime;
    peer_gateway& m_peers;
    const agent_view& m_view;
    ledger m_ledger;
    std::map<attempt_id, run_ptr> m_runs;
    std::vector<pending_reserve> m_pendingReserves;
    std::vector<pending_release> m_pendingReleases;
    std::vector<std::string> m_recordsToDelete;
    std::shared_ptr<bool> m_alive;
    timer_service::subscription_id m_tick = 0;
    time_point m_nextRenewal;
    bool m_renewalInFlight = false;
    bool m_deletionInFlight = false;
    bool m_recovered = false;
    bool m_answeringCalls = false;
    milliseconds m_evictionGrace;
    unsigned m_failuresInRow = 0;
    std::uint64_t m_publishedVersion = 0;
    task_counters m_counters;
    std::function<void()> m_onChange;
    std::function<void()> m_onRecovered;
};

} // namespace oriole
