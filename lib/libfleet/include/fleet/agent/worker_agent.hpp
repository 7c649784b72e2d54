/// @file
/// @brief Worker agent: the only process that starts and stops runs on its worker.
#pragma once

#include <fleet/agent/agent_timing.hpp>
#include <fleet/agent/attachment_id.hpp>
#include <fleet/agent/backend_runtime.hpp>
#include <fleet/agent/incarnation_check.hpp>
#include <fleet/agent/incarnation_fence.hpp>
#include <fleet/agent/lease_bounds.hpp>
#include <fleet/agent/worker_heartbeat.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fleet {

enum class start_outcome { Accepted,
    Refused,
    Unknown };
enum class stop_outcome { Absent,
    Ending,
    Unanswered };

std::string_view toString(start_outcome outcome);
std::string_view toString(stop_outcome outcome);

/// @brief Connection to the scheduler that controls the agent.
class scheduler_link {
public:
    virtual ~scheduler_link() = default;
    /// @brief Sends a report. @p answered is called once, with true if the scheduler accepted it and is still the leader.
    virtual void report(const worker_report& report, std::function<void(bool)> answered) = 0;
};

/// @brief Extends the lease of the worker's runs, executes requests of the highest epoch and reports the worker's state
/// to the scheduler.
class worker_agent {
public:
    using runtime_factory = incarnation_check::runtime_factory;
    /// @brief Monotonic clock that also advances while the machine is suspended.
    using clock = std::function<time_point()>;

    worker_agent(oriole::timer_service& timers, clock now, agent_timing timing, runtime_factory makeRuntime);
    ~worker_agent();
    worker_agent(const worker_agent&) = delete;
    worker_agent& operator=(const worker_agent&) = delete;

    /// @brief Updates the worker's description. An incarnation that the heartbeat names for the first time takes the place of
    /// the present one once the worker has confirmed it, at the same address or after the lease of the present one has expired.
    /// Runs of the earlier one count as ended only when that lease has expired.
    /// @return False if the heartbeat is out of order, names an earlier incarnation or contradicts the present one.
    bool handleHeartbeat(const worker_heartbeat& heartbeat);

    /// @brief Handles a deregistration, which names no incarnation: one that drains and is not confirmed yet is dropped. Nothing is
    /// started on the present one if it drains; if it doesn't, the call is of an earlier one.
    void handleDeregistration(const std::string& instance);

    /// @brief Makes the given scheduler the one that controls the agent.
    /// @return False if it is older than the current one.
    bool attach(const attachment_id& attachment, std::shared_ptr<scheduler_link> link);

    /// @brief Starts a run, unless the order was sent on another attachment than the present one. An order that was held up is worth
    /// nothing once a later connection is attached: the scheduler may have counted the worker as lost in between.
    void start(const attachment_id& attachment, const worker_incarnation& life, start_order order,
        std::function<void(start_outcome, std::string)> done);
    void stop(std::uint64_t epoch, const worker_incarnation& life, const run_id& run, std::function<void(stop_outcome)> done);
    void acknowledge(std::uint64_t epoch, const worker_incarnation& life, std::uint64_t upTo);

    [[nodiscard]] bool attached() const { return m_link != nullptr && isPermitted(); }

private:
    /// After this many failed polls in a row the worker counts as unresponsive, and nothing is started on it.
    static constexpr unsigned maxFailedPolls = 2;

    struct pending_start;
    struct stop_request;

    [[nodiscard]] bool isPermitted() const { return m_clock() < m_permittedUntil; }
    bool updateWorker(const worker_heartbeat& heartbeat);
    bool handleContradiction(const worker_heartbeat& heartbeat);
    [[nodiscard]] bool outlastsDelays(const worker_heartbeat& heartbeat);
    void handleConfirmed(
        const worker_heartbeat& heartbeat, const std::shared_ptr<backend_runtime>& runtime, const poll_response& answer);
    [[nodiscard]] bool mayReplace(const worker_heartbeat& successor) const;
    /// @brief Whether the lease of everything on other incarnations than the present one has expired.
    [[nodiscard]] bool haveOthersEnded() const { return m_clock() > m_bounds.displacedEndAt(); }
    [[nodiscard]] std::optional<stop_outcome> stopOutcomeWithoutOrder(const worker_incarnation& life) const;
    void poll(milliseconds wait);
    void handlePoll(const result<poll_response>& answer);
    void schedulePoll(milliseconds delay);
    [[nodiscard]] milliseconds failedPollRetryDelay() const;
    void reportWhenOthersHaveEnded();
    /// @brief Notes that the worker has started again under its id: nothing more is sent to it by the clock and numbers of before.
    void handleRestart(const std::string& evidence);
    /// @brief Handles the answer of an incarnation that is not the present one.
    failure handleOtherIncarnation(const poll_request& request, const poll_response& answer);
    [[nodiscard]] bool isOfOtherIncarnation(const poll_response& answer) const;
    void handleSupersededAnswer(const poll_request& request, const result<poll_response>& answer, bool isOfPresentRuntime);
    void handleAnsweredPoll(const poll_request& request, const poll_response& answer);
    [[nodiscard]] std::int64_t earliestWorkerClock() const;
    [[nodiscard]] bool mayAcknowledge() const;
    void logRestart(const poll_request& request, const poll_response& answer) const;
    void logIgnoredAnswer(const result<poll_response>& answer) const;
    /// @brief Handles the answer to a start by a clock that has begun anew since it was last read.
    void handleOtherClock(const start_order& order, const start_response& answer);
    void noteEarlierCallsExcluded(const poll_response& answer);
    /// @brief Notes what a confirmed incarnation says of the present one: it has restarted, or another worker has taken its place.
    void noteSuccessor(const worker_incarnation& successor);
    void sendReport();
    void sendStart(const std::shared_ptr<pending_start>& start);
    [[nodiscard]] bool maySendAgain(const pending_start& start, const std::shared_ptr<backend_runtime>& runtime) const;
    void completeStart(const std::shared_ptr<pending_start>& start, start_outcome outcome, const std::string& reason);
    [[nodiscard]] bool isStartPending(const run_id& run) const;
    void sendStop(const std::shared_ptr<stop_request>& request);
    void completeStops(const poll_response& answer);
    [[nodiscard]] std::int64_t workerClock() const;
    [[nodiscard]] bool mayExtendLease() const;
    /// @brief The deadline of a lease that lasts its full duration from now on.
    std::int64_t extendLease();
    /// @brief How long the lease of anything on the worker may last.
    [[nodiscard]] milliseconds leaseLeft() const;

    oriole::timer_service& m_timers;
    clock m_clock;
    agent_timing m_timing;
    incarnation_check m_check;
    std::shared_ptr<backend_runtime> m_runtime; ///< Null until an incarnation of the worker is confirmed.
    worker_heartbeat m_worker; ///< Of the confirmed incarnation.
    worker_heartbeat m_contradiction; ///< The last heartbeat of this incarnation that describes it differently.
    std::optional<time_point> m_lowerSince; ///< Since when only heartbeats with a lower sequence than the known one have come, each higher than the last.
    std::uint64_t m_lowerSequence = 0; ///< Of the last of them.
    unsigned m_contradictions = 0; ///< How often in a row it was described like that.
    std::shared_ptr<scheduler_link> m_link;
    attachment_id m_attachment;
    time_point m_permittedUntil;
    incarnation_fence m_fence;
    lease_bounds m_bounds;
    std::set<std::string> m_instances; ///< Ids that this process has confirmed.
    bool m_isRestarted = false; ///< The worker has started again under its id, and the new incarnation is not confirmed yet.
    std::int64_t m_answeringStartMs = 0; ///< Start time that a restarted worker has answered with; 0 if it has not.
    std::int64_t m_workerClockMs = 0; ///< The worker's clock at the last successful poll.
    time_point m_workerClockReadAt;
    std::uint64_t m_acknowledgedUpTo = 0; ///< By the scheduler.
    std::uint64_t m_forgottenUpTo = 0; ///< The worker has answered an acknowledgement up to this number.
    worker_report m_report;
    time_point m_reportedAt;
    unsigned m_failedPolls = 0;
    std::uint64_t m_pollNumber = 0; ///< Responses to polls with a lower number are ignored.
    bool m_polling = false;
    std::vector<std::shared_ptr<pending_start>> m_starts; ///< Sent, and not answered for good.
    /// Stops that the worker has confirmed and that wait for the result of a poll sent after the confirmation.
    std::vector<std::shared_ptr<stop_request>> m_stops;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
