/// @file
/// @brief The tables of the decision core: workers, groups of workers, attempts, jobs and organisations.
#pragma once

#include <oriole/core/commands.hpp>
#include <oriole/core/events.hpp>
#include <oriole/core/guarantee_homes.hpp>
#include <oriole/core/guarantee_plan.hpp>
#include <oriole/core/place.hpp>
#include <oriole/core/run_time_estimate.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace oriole {

using group_index = std::uint32_t;

struct attempt_row;

/// @brief Resources that one attempt holds on one worker.
struct holding {
    attempt_row* attempt = nullptr;
    accelerator_set accelerators = 0;
    unsigned processors = 0;
    unsigned memoryGb = 0;
    unsigned usedMemoryGb = 0; ///< As reported by the platform, which lags behind the actual use.
    bool reported = false; ///< Included in the last report of the worker.
};

struct worker_row {
    worker_info info;
    std::uint32_t rank = 0; ///< Position by rack and worker name; the same at every entry that knows the same workers.
    group_index rack = 0;
    group_index domain = 0;
    bool present = false;
    bool hostsHomes = false; ///< Homes may be placed on it: it is present, or was until a short time ago.
    bool leaving = false;
    bool probation = false; ///< Repeatedly failed tasks; receives only small probe jobs.
    time_point probationUntil {}; ///< End of the probation if no probe job succeeds before.
    time_point nextProbe {}; ///< Earliest time of the next probe job.
    bool refused = false; ///< Has refused a reservation since its last report.
    unsigned failuresInRow = 0;
    time_point absentSince {}; ///< Time at which it was last marked as not present.
    std::vector<holding> holdings;
    resources used; ///< Held by all attempts.
    resources nonEvictable; ///< Held by attempts that must not be evicted.
};

/// @brief A rack or a failure domain.
struct group_row {
    std::string name;
    std::uint32_t rank = 0; ///< Position in the order by name, after all workers.
    std::vector<worker_index> workers; ///< Ordered by name.
    bool out = false; ///< Taken out of service; for failure domains only.
    time_point returnedAt {}; ///< When it was put back into service.
    bool ramping = false; ///< Recently put back into service; its workers are opened step by step.
};

/// @brief An attempt of any organisation that holds resources on at least one worker.
struct attempt_row {
    attempt_id id;
    bool guaranteed = false;
    bool urgent = false;
    bool repeatable = true;
    bool ownedHere = false; ///< Belongs to a job in the job table; its holdings are kept until @c attempt_ended.
    bool evicting = false; ///< Being evicted, according to a report or due to a reservation made by this entry.
    bool endRequested = false; ///< A command to evict or stop it has been issued.
    time_point since {}; ///< Start of the tasks, or of the reservation if no task has started.
    milliseconds declaredRun { 0 };
    unsigned accelerators = 0; ///< Total over its workers.
    unsigned processors = 0;
    unsigned memoryGb = 0;
    shape totalShape; ///< Totals over all its allocations, including those not yet reported.
    bool spansWorkers = false; ///< Has allocations on more than one worker.
    std::vector<worker_index> workers; ///< Workers on which a holding of it is known.
    unsigned holdingCount = 0; ///< Number of holdings that refer to this row.
};

enum class job_state {
    Waiting,
    Starting,
    Running,
    Ending, ///< Was told to stop or to be evicted; waits for @c attempt_ended.
};

struct job_row {
    job_spec spec;
    job_state state = job_state::Waiting;
    unsigned attempts = 0; ///< Number of the last attempt made.
    time_point acceptedAt {};
    time_point notBefore {}; ///< The next attempt does not start before this time (back-off).
    unsigned refusals = 0; ///< Number of consecutive refusals.
    unsigned guaranteedRefusals = 0; ///< Number of consecutive refusals of starts within a guarantee.
    unsigned failures = 0;
    std::set<std::string> failedWorkers;
    time_point avoidUntil {}; ///< Until this time it is not placed on workers on which it failed.
    bool cancelled = false;
    bool evictionRequested = false; ///< Because its failure domain is out, or it holds resources in a home of a guarantee.
    std::uint64_t unplaceableVersion = 0; ///< Value of @c version at which no place was found for the job; 0 for none.
    attempt_row* active = nullptr;
};

using job_key = std::pair<std::string, std::string>; ///< Organisation and id.

/// @brief Key of the waiting jobs of one organisation: time of acceptance, then job id.
using waiting_key = std::pair<time_point, std::string>;

struct organisation_row {
    organisation_policy policy;
    bool configured = false;
    unsigned acceleratorsUsed = 0;
    unsigned borrowedAccelerators = 0;
    unsigned borrowedProcessors = 0;
    unsigned borrowedMemoryGb = 0;
    std::set<attempt_row*> guaranteedAttempts;
    std::map<waiting_key, job_row*> waiting;
    run_time_estimate estimate;
};

/// @brief A place that is reserved for a waiting gang until the attempts running there have ended. Only jobs that should end
/// before then may start there.
struct backfill_reservation {
    job_key job;
    place where;
    time_point readyAt {}; ///< Expected end of the attempts running there.
};

/// @brief Hash for the attempt table.
struct attempt_id_hash {
    std::size_t operator()(const attempt_id& id) const noexcept;
};

/// @brief All state of the decision core. Systems access the members directly, except where one of these functions keeps
/// totals or indexes consistent.
struct scheduler_tables {
    explicit scheduler_tables(std::uint64_t seed);

    std::vector<worker_row> workers;
    std::unordered_map<std::string, worker_index> workerNames;
    std::vector<group_row> racks;
    std::vector<group_row> domains;
    std::unordered_map<std::string, group_index> rackNames;
    std::unordered_map<std::string, group_index> domainNames;
    std::unordered_map<attempt_id, std::unique_ptr<attempt_row>, attempt_id_hash> attempts;
    std::map<attempt_id, time_point> endedAttempts; ///< Ended attempts of own jobs; stale reports of them are ignored until then.
    std::map<job_key, job_row> jobs;
    std::map<std::string, organisation_row> organisations;
    std::set<job_row*> activeJobs;
    std::vector<backfill_reservation> backfillReservations;
    guarantee_homes homes;
    std::uint64_t homesVersion = 1; ///< Incremented with every change of the configuration or of the known workers.
    guarantee_plan plan;
    std::uint64_t plannedVersion = 0; ///< Value of @c planVersion for which the plan was made.
    time_point plannedAt {};
    bool ranksOutdated = false;
    std::vector<command> pending; ///< Commands to return from the next tick.
    std::uint64_t version = 1; ///< Incremented whenever resources are freed or the fleet changes.
    std::uint64_t planVersion = 0; ///< Incremented with every change of a holding or of the fleet.
    std::mt19937_64 random;

    /// @brief Returns the index of the worker. Adds a row marked as not present if the worker is new.
    worker_index workerFor(const std::string& name);
    /// @brief Assigns the worker to its rack and failure domain.
    void assignToGroups(worker_index index);
    group_index domainFor(const std::string& name);

    attempt_row& attemptFor(const attempt_id& id);
    attempt_row* findAttempt(const attempt_id& id);
    void addHolding(worker_index where, attempt_row& attempt, const holding& what);
    /// @brief Removes the holding, and the attempt with its last holding unless it belongs to an own job.
    void removeHolding(worker_index where, std::size_t position);
    /// @brief Removes the holdings of the attempt on all workers.
    /// @param onlyUnreported Keeps the holdings that were included in the last reports.
    void removeAttempt(attempt_row& attempt, bool onlyUnreported);
    /// @brief Adds the attempt to the usage totals of its organisation (@p sign 1) or subtracts it (@p sign -1).
    void adjustUsage(attempt_row& attempt, int sign);
    void recomputeUsage(worker_index where);

    organisation_row& organisationFor(const std::string& name);
    job_row* findJob(const std::string& organisation, const std::string& job);
    void enqueue(job_row& job);
    void dequeue(job_row& job);

    /// @brief Assigns ranks to workers and groups by name if any was added.
    void rankFleet();

    /// @brief True if new work may start on the worker.
    [[nodiscard]] bool eligible(const worker_row& worker) const;
};

/// @brief True for guaranteed and urgent attempts, which no reservation may evict.
bool isNonEvictable(const attempt_row& attempt);

/// @brief Resources of the worker that no attempt holds.
resources freeOf(const worker_row& worker);

} // namespace oriole
