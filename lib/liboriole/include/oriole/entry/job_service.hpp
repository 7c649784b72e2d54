/// @file
/// @brief Jobs of the organisations that this entry owns, from their acceptance to their end.
#pragma once

#include <oriole/core/scheduler.hpp>
#include <oriole/entry/control_keeper.hpp>
#include <oriole/entry/job_driver.hpp>
#include <oriole/entry/ownership.hpp>
#include <oriole/entry/scheduler_pacer.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oriole {

/// @brief Feeds the decision core, carries its commands out and keeps the pages.
class job_service {
public:
    using job_handler = std::function<void(result<job_record>)>;

    job_service(ownership& pages, worker_table& workers, const control_keeper& control, gang_gateway& agents,
        store_client& store, timer_service& timers, policy decisions, std::uint64_t seed);

    /// @brief Accepts a job. @p done gets the record once the page holds it.
    /// A known idempotency key gives the job that it was first used for.
    void submit(const job_spec& spec, const std::string& idempotencyKey, milliseconds patience, job_handler done);

    /// @brief Returns the job, or NotFound.
    [[nodiscard]] result<job_record> find(const std::string& organisation, const std::string& job) const;

    /// @brief Calls @p done when the job has ended or the time is over, whichever comes first.
    void wait(const std::string& organisation, const std::string& job, milliseconds longest, job_handler done);

    /// @brief Withdraws a job; @p done gets its record once the withdrawal is recorded or the job ended before.
    void cancel(const std::string& organisation, const std::string& job, milliseconds patience, job_handler done);

    [[nodiscard]] std::vector<job_record> list(const std::string& organisation) const;

    /// @brief Jobs of the organisation that have not ended.
    [[nodiscard]] std::size_t waitingJobs(const std::string& organisation) const;

    /// @brief Runs the decision core if anything calls for it. @p mayStart is false while the control view is stale.
    void tick(bool mayStart);

    /// @brief Ends of attempts that the pages have recorded and the agent may forget.
    [[nodiscard]] std::vector<attempt_id> acknowledged(const worker_record& worker) const;

    [[nodiscard]] scheduler_summary summary() const { return m_scheduler.summary(); }
    [[nodiscard]] std::optional<std::string> impossible(const shape& wanted) const
    {
        return m_scheduler.impossible(wanted);
    }

    /// @brief Tells the core of the configuration and the failure domains now in force.
    void configurationChanged();
    void failureDomainsChanged();

private:
    /// @brief A recorded attempt of a page taken over, until its agents have said what they hold.
    struct takeover {
        job_record job;
        time_point since;
        bool leadAnswered = false;
    };

    struct visitor;

    using job_key = std::pair<std::string, std::string>;

    void feed(const event& what);
    void acquired(const std::string& organisation);
    void lost(const std::string& organisation);
    void fence(const std::string& worker, const std::string& organisation);
    void fenceAnswered(const std::string& worker, const std::string& organisation,
        const result<std::vector<task_report>>& reports);
    void settleTakeover(const job_key& key, const std::optional<task_report>& lead);
    void findLostTakeovers(time_point now);
    void recordAttempt(const attempt& value, const std::function<void(result<bool>)>& done);
    void attemptEnded(const attempt_ended& what);
    void workerHeard(const worker_record& worker);
    void releaseStale(const worker_record& worker);
    void finishJob(const finish_job& command);
    void notifyWaiters(const job_key& key);
    void addToCore(const job_record& job);
    void update(const std::string& organisation, page_keeper::change change);

    ownership& m_pages;
    worker_table& m_workers;
    const control_keeper& m_control;
    gang_gateway& m_agents;
    store_client& m_store;
    timer_service& m_timers;
    scheduler m_scheduler;
    scheduler_pacer m_pacer;
    job_driver m_driver;
    std::set<job_key> m_waiting; ///< Jobs that the core may start; for pacing only.
    time_point m_leasesChecked;
    std::map<job_key, takeover> m_takeovers;
    std::map<job_key, std::vector<std::function<void()>>> m_waiters;
    std::set<std::string> m_knownDomains;
};

} // namespace oriole
