/// @file
/// @brief Carries out the decisions on gang attempts: reserve, record, commit, watch, end.
#pragma once

#include <oriole/core/commands.hpp>
#include <oriole/core/events.hpp>
#include <oriole/entry/gang_gateway.hpp>
#include <oriole/entry/worker_table.hpp>
#include <oriole/helpers/event_source.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriole {

/// @brief Times of the configuration that the driver needs.
struct job_driver_times {
    milliseconds reservationTtl { 5000 };
    milliseconds evictionGrace { 500 };
    milliseconds taskLease { 3000 };
};

/// @brief Drives each attempt of this entry's organisations from the decision to its end.
///
/// An attempt ends when the lead of its gang reports an end, when the lead no longer knows it, or when the lead was
/// silent for so long that its lease has run out.
class job_driver {
public:
    /// @brief Records the attempt in the organisation's page before it is committed.
    using recorder = std::function<void(const attempt&, std::function<void(result<bool>)>)>;

    job_driver(gang_gateway& agents, worker_table& workers, timer_service& timers, recorder record);

    void setTimes(const job_driver_times& times) { m_times = times; }
    [[nodiscard]] milliseconds reservationTtl() const { return m_times.reservationTtl; }

    /// @brief Starts an attempt; its epoch has been filled in.
    void start(const start_attempt& command);

    /// @brief Takes on an attempt that a previous owner started. @p lastHeard counts for its lease.
    void adopt(const attempt& running);

    void evict(const evict_attempt& command);
    void stop(const stop_attempt& command);

    /// @brief Takes in a worker's report.
    void workerHeard(const worker_record& worker);

    /// @brief Ends attempts whose lead is silent beyond its lease.
    void findLost(time_point now);

    /// @brief Forgets all attempts of an organisation that was given away, without ending them.
    void dropOrganisation(const std::string& organisation);

    [[nodiscard]] bool active(const attempt_id& id) const { return m_attempts.contains(id); }

    /// @brief Emitted when all tasks of an attempt run.
    event_source<attempt_id> running;

    /// @brief Emitted once per attempt that was started or adopted.
    event_source<attempt_ended> ended;

private:
    enum class step {
        Reserving,
        Recording,
        Committing,
        Watching, ///< Committed everywhere: the lead's reports decide.
        Releasing,
    };

    struct active_attempt {
        attempt value;
        step at = step::Reserving;
        unsigned answersMissing = 0;
        bool refused = false;
        bool mayHaveRun = false;
        bool stopWanted = false;
        bool toldRunning = false;
        std::string refusedBy;
        std::string reason;
        std::uint64_t leadIncarnation = 0; ///< A lead that restarted cannot say what it told the members before.
        time_point leadHeard;
        std::optional<time_point> runningSince;
    };

    void reserveAnswered(const attempt_id& id, const std::string& worker, const result<gang_answer>& answer);
    void record(const attempt_id& id);
    void commit(const attempt_id& id);
    void commitAnswered(const attempt_id& id, const std::string& worker, const result<gang_answer>& answer);
    void release(const attempt_id& id, attempt_outcome outcome);
    void releaseAnswered(const attempt_id& id, const std::string& worker, attempt_outcome outcome,
        const result<std::vector<task_report>>& reports);
    void releaseMembers(const attempt& value, const std::string& reason);
    void leadReported(const attempt_id& id, const task_report& report);
    void finish(const attempt_id& id, attempt_outcome outcome, bool mayHaveRun, const std::string& worker);
    [[nodiscard]] std::uint64_t incarnationOf(const std::string& worker) const;
    [[nodiscard]] std::string failedWorker(const attempt& value) const;

    gang_gateway& m_agents;
    worker_table& m_workers;
    timer_service& m_timers;
    recorder m_record;
    job_driver_times m_times;
    std::map<attempt_id, active_attempt> m_attempts;
};

} // namespace oriole
