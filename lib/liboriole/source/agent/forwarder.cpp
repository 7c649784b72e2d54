#include <oriole/agent/forwarder.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds tickPeriod { 20 };
constexpr milliseconds probePeriod { 1000 };
constexpr milliseconds probeTimeout { 900 };
constexpr unsigned unhealthyAfterFailedProbes = 2;

// The backend server may continue a request after its deadline. The slot stays taken until it replies, at most for this
// time after the deadline.
constexpr milliseconds maxOverrun { 5000 };

http_request toHttp(const backend_request& request, milliseconds left)
{
    http_request target;
    target.method = "POST";
    target.path = "/requests/" + request.service;
    target.headers["Orioleway-Request-Id"] = request.id;
    target.headers["Orioleway-Organisation"] = request.organisation;
    target.headers["Orioleway-Timeout-Ms"] = std::to_string(left.count());
    if (request.unrepeatable)
        target.headers["Orioleway-Unrepeatable"] = "true";
    if (!request.contentType.empty())
        target.headers["Content-Type"] = request.contentType;
    target.body = request.body;
    return target;
}

} // namespace

forwarder::forwarder(std::string service, unsigned slots, unsigned connections, timer_service& timers,
    backend_client& backend, const agent_view& view)
    : m_service(std::move(service))
    , m_timers(timers)
    , m_backend(backend)
    , m_view(view)
    , m_admission(slots, connections)
    , m_alive(std::make_shared<bool>(true))
{
    m_tick = m_timers.subscribeEvery(tickPeriod, [this](time_point) { tick(); });
    m_probe = m_timers.subscribeEvery(probePeriod, [this](time_point) { probe(); });
    probe();
}

forwarder::~forwarder()
{
    m_timers.cancel(m_tick);
    m_timers.cancel(m_probe);
}

void forwarder::dispatch(backend_request request, handler done)
{
    ++m_counters.dispatched;
    if (const auto reason = findRefusal(request)) {
        refuse(request, *reason, done);
        return;
    }

    const auto ticket = m_nextTicket++;
    const auto deadline = m_timers.now() + request.deadline;
    const auto decision = m_admission.offer(ticket, deadline);
    if (decision == admission::decision::Refuse) {
        refuse(request, notRun(failure_kind::Overloaded, "busy: all connections of the backend server are taken"),
            done);
        return;
    }

    m_accepted.emplace(ticket, accepted_request { std::move(request), deadline, std::move(done) });
    if (decision == admission::decision::Run)
        send(ticket);
}

std::optional<failure> forwarder::findRefusal(const backend_request& request) const
{
    if (request.service != m_service)
        return notRun(failure_kind::NotFound, "this worker does not offer service '" + request.service + "'");
    if (request.deadline <= milliseconds::zero())
        return notRun(failure_kind::Timeout, "the deadline has passed");
    if (const auto viewRefusal = m_view.refusalReason(m_timers.now()))
        return notRun(failure_kind::Unavailable, *viewRefusal);
    if (!m_healthy)
        return notRun(failure_kind::Unavailable, "backend server is not healthy");
    return std::nullopt;
}

void forwarder::refuse(const backend_request& request, const failure& reason, const handler& done)
{
    ++m_counters.refused;
    logEvent(log_level::Info, "request_refused",
        { { "request", request.id }, { "organisation", request.organisation }, { "reason", reason.reason },
            { "running", running() }, { "queued", queued() } });
    done(reason);
}

void forwarder::send(admission::ticket ticket)
{
    const auto& item = m_accepted.at(ticket);
    const auto left = std::chrono::duration_cast<milliseconds>(item.deadline - m_timers.now());
    m_backend.send(toHttp(item.request, left), std::max(left, milliseconds(1)) + maxOverrun,
        [this, ticket, alive = std::weak_ptr(m_alive)](const result<http_reply>& reply) {
            if (!alive.expired())
                handleReply(ticket, reply);
        });
}

void forwarder::handleReply(admission::ticket ticket, const result<http_reply>& reply)
{
    constexpr unsigned tooManyRequests = 429;
    constexpr unsigned unavailable = 503;
    constexpr unsigned firstServerError = 500;

    m_admission.releaseSlot();
    const auto status = reply ? reply.value().status : 0;
    if (status == tooManyRequests || status == unavailable)
        ++m_counters.overloads;
    else if (!reply || status >= firstServerError)
        ++m_counters.failed;
    else
        ++m_counters.completed;

    const auto item = m_accepted.extract(ticket);
    sendWaiting();
    if (item.mapped().done)
        item.mapped().done(reply);
}

void forwarder::answerOverdue()
{
    std::vector<handler> overdue;
    for (auto& [ticket, item] : m_accepted) {
        if (item.done && item.deadline <= m_timers.now())
            overdue.push_back(std::exchange(item.done, nullptr));
    }
    for (const auto& done : overdue)
        done(mayHaveRun(failure_kind::Timeout, "no reply of the backend server in time"));
}

void forwarder::tick()
{
    for (const auto ticket : m_admission.removeExpired(m_timers.now())) {
        const auto item = m_accepted.extract(ticket);
        ++m_counters.expired;
        refuse(item.mapped().request, notRun(failure_kind::Timeout, "the deadline passed in the agent's queue"),
            item.mapped().done);
    }
    answerOverdue();
    sendWaiting();
}

void forwarder::sendWaiting()
{
    if (const auto viewRefusal = m_view.refusalReasonForAccepted(m_timers.now())) {
        refuseWaiting(notRun(failure_kind::Unavailable, *viewRefusal));
        return;
    }
    while (const auto ticket = m_admission.startNext(m_timers.now()))
        send(*ticket);
}

void forwarder::refuseWaiting(const failure& reason)
{
    for (const auto ticket : m_admission.removeExpired(time_point::max())) {
        const auto item = m_accepted.extract(ticket);
        refuse(item.mapped().request, reason, item.mapped().done);
    }
}

void forwarder::probe()
{
    if (m_probeInFlight)
        return;
    m_probeInFlight = true;
    m_backend.probe(probeTimeout, [this, alive = std::weak_ptr(m_alive)](const result<http_reply>& reply) {
        if (!alive.expired())
            handleProbeReply(reply);
    });
}

void forwarder::handleProbeReply(const result<http_reply>& reply)
{
    constexpr unsigned statusOk = 200;
    m_probeInFlight = false;
    const bool succeeded = reply && reply.value().status == statusOk;
    // A single probe that times out may only be delayed; a refused connection or an error status is conclusive.
    const bool certain = reply || reply.error().ran == verdict::NotRun;
    m_failedProbes = succeeded ? 0 : m_failedProbes + 1;
    const bool healthy = succeeded || (m_healthy && !certain && m_failedProbes < unhealthyAfterFailedProbes);
    if (healthy == m_healthy)
        return;

    m_healthy = healthy;
    logEvent(log_level::Info, "backend_health", { { "healthy", healthy } });
    if (m_onHealthChange)
        m_onHealthChange();
}

} // namespace oriole
