/// @file
/// @brief Forwards short requests to the backend server, subject to admission control.
#pragma once

#include <oriole/agent/admission.hpp>
#include <oriole/agent/agent_view.hpp>
#include <oriole/agent/backend_client.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriole {

/// @brief A short request as received from an entry.
struct backend_request {
    std::string id;
    std::string organisation;
    std::string service;
    bool unrepeatable = false;
    milliseconds deadline { 0 }; ///< Time left until the caller's deadline.
    std::string contentType;
    std::string body;
};

/// @brief Counters for metrics and tests.
struct forwarder_counters {
    std::uint64_t dispatched = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0; ///< Requests whose deadline passed in the queue.
    std::uint64_t completed = 0;
    std::uint64_t overloads = 0; ///< Replies of the backend server with status 429 or 503.
    std::uint64_t failed = 0; ///< Other replies with status 500 or above, and failed exchanges.
};

class forwarder {
public:
    using handler = std::function<void(result<http_reply>)>;

    forwarder(std::string service, unsigned slots, unsigned connections, timer_service& timers,
        backend_client& backend, const agent_view& view);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;

    /// @brief Forwards @p request, queues it at most until its deadline, or refuses it with `not-run`.
    void dispatch(backend_request request, handler done);

    [[nodiscard]] unsigned running() const { return m_admission.running(); }
    [[nodiscard]] unsigned queued() const { return m_admission.waiting(); }
    [[nodiscard]] bool idle() const { return running() == 0 && queued() == 0; }
    [[nodiscard]] bool backendHealthy() const { return m_healthy; }
    [[nodiscard]] const forwarder_counters& counters() const { return m_counters; }

    /// @brief Sets the handler that is called when the health of the backend server changes.
    void onHealthChange(std::function<void()> handler) { m_onHealthChange = std::move(handler); }

private:
    struct accepted_request {
        backend_request request;
        time_point deadline;
        handler done;
    };

    [[nodiscard]] std::optional<failure> findRefusal(const backend_request& request) const;
    void refuse(const backend_request& request, const failure& reason, const handler& done);
    void send(admission::ticket ticket);
    void handleReply(admission::ticket ticket, const result<http_reply>& reply);
    void tick();

    /// @brief Answers running requests whose deadline has passed with a time-out; they keep their slots.
    void answerOverdue();
    void sendWaiting();
    void refuseWaiting(const failure& reason);
    void probe();
    void handleProbeReply(const result<http_reply>& reply);

    std::string m_service;
    timer_service& m_timers;
    backend_client& m_backend;
    const agent_view& m_view;
    admission m_admission;
    std::map<admission::ticket, accepted_request> m_accepted;
    admission::ticket m_nextTicket = 1;
    bool m_healthy = false;
    bool m_probeInFlight = false;
    unsigned m_failedProbes = 0;
    forwarder_counters m_counters;
    std::function<void()> m_onHealthChange;
    std::shared_ptr<bool> m_alive;
    timer_service::subscription_id m_tick = 0;
    timer_service::subscription_id m_probe = 0;
};

} // namespace oriole
