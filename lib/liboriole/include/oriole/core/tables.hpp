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

/// @brief What one attempt holds on one worker.
struct holding {
    attempt_row* attempt = nullptr;
    accelerator_set accelerators = 0;
    unsigned processors = 0;
    unsigned memoryGb = 0;
    unsigned usedMemoryGb = 0; ///< As the platform reports it, with its lag.
    bool reported = false; ///< Part of the last report of the worker.
};

struct worker_row {
    worker_info info;
    std::uint32_t rank = 0; ///< Position in the order of all racks' and workers' names, the same at every entry.
    group_index rack = 0;
    group_index domain = 0;
    bool present = false;
    bool givesHomes = false; ///< Present now or a short time ago.
    bool leaving = false;
    bool probation = false; ///< Fails what it starts: gets only small probes.
    time_point probationUntil {}; ///< When it may get any work again, should no small job have probed it.
    time_point nextProbe {}; ///< When the next small job may try a worker on probation.
    bool refused = false; ///< Refused a reservation since its last report.
    unsigned failuresInRow = 0;
    time_point leftAt {}; ///< Since when it is not present.
    std::vector<holding> holdings;
    amounts used; ///< Held by any attempt.
    amounts fixed; ///< Held by attempts that must not be evicted.
};

/// @brief A rack or a failure domain.
struct group_row {
    std::string name;
    std::uint32_t rank = 0; ///< Position in the order of all names.
    std::vector<worker_index> workers; ///< In the order of their names.
    bool out = false; ///< For failure domains only.
    time_point returnedAt {}; ///< When it came back in.
    bool ramping = false; ///< Came back a short time ago.
};

/// @brief An attempt that holds something on some worker, of whatever organisation.
struct attempt_row {
    attempt_id id;
    bool guaranteed = false;
    bool urgent = false;
    bool repeatable = true;
    bool own = false; ///< Of a job in the table of jobs; held until @c attempt_ended.
    bool evicting = false; ///< On its way out, as reported or because a reservation of this entry evicts it.
    bool endAsked = false; ///< Its end was asked for by a command.
    time_point since {}; ///< Start of the tasks, else of the reservation.
    milliseconds declaredRun { 0 };
    unsigned accelerators = 0; ///< Total over its workers.
    unsigned processors = 0;
    unsigned memoryGb = 0;
    shape whole; ///< Totals over all its allocations, also those that no report has shown yet.
    bool spread = false; ///< On several workers.
    std::vector<worker_index> workers; ///< As far as known here.
    unsigned holders = 0; ///< Number of holdings that point here.
};

enum class job_state {
    Waiting,
    Starting,
    Running,
    Ending, ///< Asked to stop or to move; waits for @c attempt_ended.
};

struct job_row {
    job_spec spec;
    job_state state = job_state::Waiting;
    unsigned attempts = 0; ///< Number of the last attempt made.
    time_point acceptedAt {};
    time_point notBefore {}; ///< End of the back-off.
    unsigned refusals = 0; ///< In a row.
    unsigned guaranteedRefusals = 0; ///< In a row, of starts inside the guarantee.
    unsigned failures = 0;
    std::set<std::string> failedWorkers;
    time_point avoidUntil {}; ///< Until when it keeps off the workers on which it failed.
    bool cancelled = false;
    bool moving = false; ///< Evicted because its failure domain is out.
    std::uint64_t misfitVersion = 0; ///< State of the fleet at which no place was found; 0 for none.
    attempt_row* active = nullptr;
};

using job_key = std::pair<std::string, std::string>; ///< Organisation and id.

/// @brief Order of waiting jobs of one organisation: longest waiting first.
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

/// @brief A place that is kept free for a large gang until the attempts there have ended.
struct collection {
    job_key job;
    place where;
    time_point readyAt {}; ///< When the attempts there should have ended.
};

/// @brief Hash for the attempt table.
struct attempt_id_hash {
    std::size_t operator()(const attempt_id& id) const noexcept;
};

/// @brief All state of the decision core. The systems read and change it through these functions only
/// where a sum has to stay right.
struct scheduler_tables {
    explicit scheduler_tables(std::uint64_t seed);

    std::vector<worker_row> workers;
    std::unordered_map<std::string, worker_index> workerNames;
    std::vector<group_row> racks;
    std::vector<group_row> domains;
    std::unordered_map<std::string, group_index> rackNames;
    std::unordered_map<std::string, group_index> domainNames;
    std::unordered_map<attempt_id, std::unique_ptr<attempt_row>, attempt_id_hash> attempts;
    std::map<attempt_id, time_point> endedAttempts; ///< Own ones that surely hold nothing, and until when to remember.
    std::map<job_key, job_row> jobs;
    std::map<std::string, organisation_row> organisations;
    std::set<job_row*> activeJobs;
    std::vector<collection> collections;
    guarantee_homes homes;
    std::uint64_t homesVersion = 1; ///< Grows with every change of the configuration or of the known workers.
    guarantee_plan plan;
    std::uint64_t plannedVersion = 0; ///< Value of @c planVersion that the plan was made for.
    time_point plannedAt {};
    bool ranksStale = false;
    std::vector<command> pending; ///< Commands for the next tick.
    std::uint64_t version = 1; ///< Grows whenever something became free or the fleet changed.
    std::uint64_t planVersion = 0; ///< Grows with every change of a holding or of the fleet.
    std::mt19937_64 random;

    /// @brief Returns the row of the worker, making an absent one when it is new.
    worker_index workerFor(const std::string& name);
    /// @brief Puts the worker into its rack and failure domain.
    void placeInGroups(worker_index index);
    group_index domainFor(const std::string& name);

    attempt_row& attemptFor(const attempt_id& id);
    attempt_row* findAttempt(const attempt_id& id);
    void addHolding(worker_index where, attempt_row& attempt, const holding& what);
    /// @brief Removes the holding and, with its last one, the attempt unless it is of an active job.
    void removeHolding(worker_index where, std::size_t position);
    /// @brief Removes what the attempt holds on any worker.
    /// @param onlyUnreported Leaves what the last reports show.
    void removeAttempt(attempt_row& attempt, bool onlyUnreported);
    /// @brief Adds (@p sign 1) or takes away (-1) the attempt from the sums of its organisation.
    void countAttempt(attempt_row& attempt, int sign);
    void recount(worker_index where);

    organisation_row& organisationFor(const std::string& name);
    job_row* findJob(const std::string& organisation, const std::string& job);
    void enqueue(job_row& job);
    void dequeue(job_row& job);

    /// @brief Numbers workers and groups by name, when any was added.
    void rankFleet();

    /// @brief True when new work may start on the worker at all.
    [[nodiscard]] bool eligible(const worker_row& worker) const;
};

/// @brief True for attempts that no reservation may evict.
bool isFixed(const attempt_row& attempt);

/// @brief The free amounts of a worker; nothing of it is used.
amounts freeOf(const worker_row& worker);

} // namespace oriole
