/// @file
/// @brief Carries short requests to backend servers: attempts, retries, deadlines and verdicts.
#pragma once

#include <oriole/api/result.hpp>
#include <oriole/control/configuration.hpp>
#include <oriole/entry/request_parser.hpp>
#include <oriole/entry/retry_budget.hpp>
#include <oriole/entry/router.hpp>
#include <oriole/entry/worker_health.hpp>
#include <oriole/helpers/log.hpp>
#include <oriole/helpers/metrics.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace oriole {

/// @brief One attempt of a request, as an agent gets it.
struct backend_call {
    std::string id; ///< Of this attempt, `<request id>.<number>`; the reply carries it back.
    std::string organisation;
    std::string service;
    bool repeatable = true;
    milliseconds deadline { 0 }; ///< What is left of the caller's time.
    std::string contentType;
    std::string body;

    auto operator<=>(const backend_call&) const = default;
};

/// @brief What a backend server answered.
struct backend_answer {
    unsigned status = 0;
    std::string contentType;
    std::string body;

    auto operator<=>(const backend_answer&) const = default;
};

/// @brief The reply of an agent to one attempt.
///
/// A `not-run` failure is a promise that the attempt did not and will not run. Kind Overloaded means that the agent
/// is full; any other kind counts against the worker's health.
struct backend_reply {
    std::string id; ///< Of the attempt that it answers.
    result<backend_answer> outcome;
};

/// @brief The way to the agents.
class agent_gateway {
public:
    using handler = std::function<void(backend_reply)>;

    virtual ~agent_gateway() = default;

    /// @brief Sends an attempt to a worker's agent.
    ///
    /// Calls @p done once, on the event loop's thread, possibly before it returns. A connection that broke is a
    /// `may-have-run` failure with the id of @p call, or a `not-run` one when the call was certainly not sent.
    virtual void dispatch(const worker_info& worker, backend_call call, handler done) = 0;
};

/// @brief What the caller of a request is told.
struct request_outcome {
    std::string requestId;
    verdict ran = verdict::NotRun;
    unsigned status = 503; ///< The backend server's when completed, else that of the refusal.
    std::string contentType;
    std::string body; ///< Empty unless completed.
    std::string reason; ///< Empty when completed.
    unsigned retryAfterMs = 0; ///< Not zero when a later try has a chance.
    std::string worker; ///< Of the last attempt; empty when there was none.
    unsigned attempts = 0;

    auto operator<=>(const request_outcome&) const = default;
};

struct dispatcher_settings {
    std::string idPrefix; ///< Unique for each start of each entry; request ids begin with it.
    std::uint64_t seed = 1;
    std::size_t waitingLimit = 256; ///< Requests that wait for a worker to become free; more are refused.
    milliseconds longestWait { 250 };
    milliseconds retryAfter { 200 }; ///< Advice to a caller that was refused because of load.
    std::function<void(log_level, std::string_view, const nlohmann::json&)> log = logEvent;
};

/// @brief The state machine of all short requests of an entry. Belongs to the thread of the event loop.
///
/// Each accepted request is answered exactly once, by its deadline plus one step of the timer service.
/// `not-run` is told only when every attempt was refused by a reply that says so.
class request_dispatcher {
public:
    using handler = std::function<void(request_outcome)>;

    request_dispatcher(dispatcher_settings settings, router& routes, worker_health& health, agent_gateway& gateway,
        timer_service& timers, metrics_registry& metrics);
    ~request_dispatcher();
    request_dispatcher(const request_dispatcher&) = delete;
    request_dispatcher& operator=(const request_dispatcher&) = delete;

    /// @brief Takes the limits of a configuration.
    void configure(const configuration& config);

    /// @brief Takes a request. @p done is called once, possibly before this returns.
    /// @return The request's id.
    std::string submit(request_submission submission, handler done);

    /// @brief Gives waiting requests another chance; call it after a change in the router's table.
    void workersChanged();

    /// @brief Ends the outstanding attempts at a worker that fell silent as `may-have-run`.
    void workerLost(const std::string& worker);

    /// @brief Requests taken and not answered.
    [[nodiscard]] std::size_t inFlight() const { return m_requests.size(); }

    /// @brief Requests that wait for a worker.
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

private:
    struct request;
    struct attempt_in_flight;
    using request_number = std::uint64_t;

    void route(request_number number);
    void send(request_number number, const routing_decision& decision);
    void wait(request_number number, const std::string& reason);
    void endWait(request_number number);
    void wakeWaiting();
    void scheduleWakeUp();
    void replied(request_number number, unsigned attempt, const backend_reply& reply);
    void completed(request_number number, const backend_answer& answer);
    void attemptFailed(request_number number, const failure& error);
    void deadlinePassed(request_number number);
    void refuse(request_number number, const failure& error, milliseconds retryAfter);
    void finish(request_number number, request_outcome outcome);
    void dropped(const char* why);
    void logDecision(const request& target, const routing_decision& decision) const;
    [[nodiscard]] bool mayRetry(request& target, const failure& error);
    [[nodiscard]] request* find(request_number number);
    [[nodiscard]] unsigned organisationLimit(const std::string& organisation) const;

    dispatcher_settings m_settings;
    router& m_router;
    worker_health& m_health;
    agent_gateway& m_gateway;
    timer_service& m_timers;
    metrics_registry& m_metrics;
    retry_budget m_budget;
    unsigned m_attemptLimit;
    std::map<std::string, unsigned> m_organisationLimits;
    std::map<std::string, unsigned> m_organisationInFlight;
    std::mt19937_64 m_random;
    request_number m_lastNumber = 0;
    std::map<request_number, std::unique_ptr<request>> m_requests;
    std::deque<request_number> m_waiting;
    std::optional<timer_service::subscription_id> m_wakeUp;
    std::shared_ptr<request_dispatcher*> m_self; ///< Null inside once this object is gone.
};

} // namespace oriole
