/// @file
/// @brief Drives the tasks of one worker from reservation to end.
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

/// @brief Joins the ledger, the gangs, the runtime and the peers. Lives on the event loop's thread.
class task_manager {
public:
    using reserve_handler = std::function<void(const reservation_answer&)>;
    using reports_handler = std::function<void(const std::vector<task_report>&)>;
    using gang_handler = std::function<void(result<gang_answer>)>;

    task_manager(std::string worker, const amounts& capacity, timer_service& timers, runtime_client& runtime,
        peer_gateway& peers, const agent_view& view);
    ~task_manager();
    task_manager(const task_manager&) = delete;
    task_manager& operator=(const task_manager&) = delete;

    /// @brief Finds the tasks of an earlier process in the runtime and adopts or stops them. Until this has
    /// succeeded nothing is reserved.
    void recover();

    /// @brief Answers once the reservation is granted or refused.
    void reserve(const attempt& wanted, milliseconds ttl, bool evictBorrowed, reserve_handler done);

    commit_answer commit(const attempt_id& id, std::uint64_t epoch);

    /// @brief Ends attempts; answers when their tasks are stopped, or after a bounded time with what is known.
    void release(
        const std::vector<attempt_id>& ids, std::uint64_t epoch, const std::string& reason, reports_handler done);

    /// @brief Refuses lower epochs from now on and reports all that is held of the organisation.
    std::vector<task_report> fence(const std::string& organisation, std::uint64_t& epoch);

    /// @brief Checkpoints and stops borrowed tasks, and any task when the failure domain is out.
    void evict(const std::vector<attempt_id>& ids, milliseconds grace, const std::string& reason);

    /// @brief Takes a member's heartbeat; the answer is held back for a while as long as there is nothing to tell.
    void gangHeartbeat(const attempt_id& id, const std::string& worker, task_phase phase, gang_handler done);

    /// @brief Releases what has not started and evicts everything else.
    void evictAll(milliseconds grace, const std::string& reason);

    /// @brief Forgets ends that their owners have recorded.
    void acknowledge(const std::vector<attempt_id>& ids);

    /// @brief To be called after a change of the control state.
    void viewChanged();

    /// @brief Called soon after each change of what @c reports says.
    void onChange(std::function<void()> handler) { m_changed = std::move(handler); }

    /// @brief Called once the tasks of an earlier process are known.
    void onRecovered(std::function<void()> handler) { m_onRecovered = std::move(handler); }

    [[nodiscard]] std::vector<task_report> reports() const;
    [[nodiscard]] std::uint64_t version() const { return m_ledger.version(); }
    [[nodiscard]] bool recovered() const { return m_recovered; }

    /// @brief Tasks that failed here since the last one that finished.
    [[nodiscard]] unsigned failuresInRow() const { return m_failuresInRow; }

    /// @brief True when nothing is reserved, committed or running.
    [[nodiscard]] bool idle() const;

    [[nodiscard]] const task_counters& counters() const { return m_counters; }

private:
    using run_ref = std::shared_ptr<task_run>;
    struct pending_reserve;
    struct pending_release;

    [[nodiscard]] time_point now() const { return m_timers.now(); }
    [[nodiscard]] milliseconds lease() const { return m_view.limits().taskLease; }
    run_ref findRun(const attempt_id& id) const;
    run_ref addRun(const attempt& attempt, const allocation& share);

    void tick();
    void publish();
    void advance(const run_ref& task);
    void noteEnd(const run_ref& task);
    void advanceLead(const run_ref& task);
    void advanceMember(const run_ref& task);
    void answerMembers(const run_ref& task, bool changed);
    void sendHeartbeat(const run_ref& task);
    void heartbeatAnswered(const run_ref& task, time_point sentAt, task_phase told, const result<gang_answer>& answer);
    void followLead(const run_ref& task, time_point sentAt, const gang_answer& answer);

    void startOrGiveUp(const run_ref& task);
    void startTask(const run_ref& task);
    void startAnswered(const run_ref& task, const result<runtime_task>& answer);
    void stopRun(const run_ref& task, task_phase phase, const std::string& reason, bool checkpoint);
    void stopTask(const run_ref& task);
    void stopAnswered(const run_ref& task, const result<runtime_task>& answer);
    void taskEnded(const run_ref& task, const runtime_task& last);
    void endRun(const run_ref& task, task_phase phase, const std::string& reason);
    void evictRun(const run_ref& task, const std::string& reason);

    void renewLeases();
    void leasesRenewed(const std::vector<run_ref>& asked, const result<std::vector<runtime_task>>& answer);
    void watchMemory(const run_ref& task, unsigned usedMemoryGb);
    void adopt(const labelled_task& found);
    void adoptEnded(const labelled_task& found);
    void forgetRecords();

    void answerPending();
    void dropRuns();

    std::string m_worker;
    timer_service& m_timers;
    runtime_client& m_runtime;
    peer_gateway& m_peers;
    const agent_view& m_view;
    ledger m_ledger;
    std::map<attempt_id, run_ref> m_runs;
    std::vector<pending_reserve> m_pendingReserves;
    std::vector<pending_release> m_pendingReleases;
    std::vector<std::string> m_recordsToForget;
    std::shared_ptr<bool> m_alive;
    timer_service::subscription_id m_tick = 0;
    time_point m_nextRenewal;
    bool m_renewing = false;
    bool m_forgetting = false;
    bool m_recovered = false;
    bool m_publishing = false;
    milliseconds m_evictionGrace;
    unsigned m_failuresInRow = 0;
    std::uint64_t m_published = 0;
    task_counters m_counters;
    std::function<void()> m_changed;
    std::function<void()> m_onRecovered;
};

} // namespace oriole
