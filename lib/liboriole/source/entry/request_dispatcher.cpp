#include <oriole/entry/request_dispatcher.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace oriole {

namespace {

constexpr milliseconds wakeUpInterval { 10 };

} // namespace

struct request_dispatcher::request {
    std::string id;
    request_submission submission;
    handler done;
    time_point deadline;
    timer_service::subscription_id deadlineTimer = 0;
    std::optional<timer_service::subscription_id> waitTimer;
    bool mayHaveRun = false; ///< Some attempt was sent whose fate is unknown.
    bool outstanding = false; ///< The attempt numbered @c attempts has not been answered.
    unsigned attempts = 0;
    std::string worker; ///< Of the last attempt.
    std::set<std::string> tried; ///< Workers that failed it; a full one may be asked again.
    std::string lastReason;
};

/// @brief Keeps a worker's count of requests in flight up for as long as the attempt may occupy it.
struct request_dispatcher::attempt_in_flight {
    attempt_in_flight(std::weak_ptr<request_dispatcher*> dispatcher, std::string workerName, std::uint64_t workerIncarnation)
        : owner(std::move(dispatcher))
        , worker(std::move(workerName))
        , incarnation(workerIncarnation)
    {
    }

    ~attempt_in_flight() { release(); }
    attempt_in_flight(const attempt_in_flight&) = delete;
    attempt_in_flight& operator=(const attempt_in_flight&) = delete;

    void release()
    {
        if (const auto alive = std::exchange(owner, {}).lock())
            (*alive)->m_router.answered(worker, incarnation);
    }

    std::weak_ptr<request_dispatcher*> owner;
    std::string worker;
    std::uint64_t incarnation;
};

request_dispatcher::request_dispatcher(dispatcher_settings settings, router& routes, worker_health& health,
    agent_gateway& gateway, timer_service& timers, metrics_registry& metrics)
    : m_settings(std::move(settings))
    , m_router(routes)
    , m_health(health)
    , m_gateway(gateway)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_budget(limits_config {}.retryShare)
    , m_attemptLimit(limits_config {}.requestAttempts)
    , m_random(m_settings.seed)
    , m_self(std::make_shared<request_dispatcher*>(this))
{
}

request_dispatcher::~request_dispatcher()
{
    if (m_wakeUp)
        m_timers.cancel(*m_wakeUp);
    for (const auto& [number, target] : m_requests) {
        m_timers.cancel(target->deadlineTimer);
        if (target->waitTimer)
            m_timers.cancel(*target->waitTimer);
    }
}

void request_dispatcher::configure(const configuration& config)
{
    m_budget.setShare(config.limits.retryShare);
    m_attemptLimit = std::max(1U, config.limits.requestAttempts);
    m_organisationLimits.clear();
    for (const auto& organisation : config.organisations)
        m_organisationLimits[organisation.policy.name] = organisation.requestsAtOnce;
}

std::string request_dispatcher::submit(request_submission submission, handler done)
{
    const auto number = ++m_lastNumber;
    const auto& organisation = submission.organisation;
    auto id = m_settings.idPrefix + "-" + std::to_string(number);
    auto target = std::make_unique<request>();
    target->id = id;
    target->done = std::move(done);
    target->deadline = m_timers.now() + submission.timeout;

    const auto limit = organisationLimit(organisation);
    auto& inFlightOfOrganisation = m_organisationInFlight[organisation];
    const bool overLimit = limit != 0 && inFlightOfOrganisation >= limit;
    ++inFlightOfOrganisation;
    target->submission = std::move(submission);
    target->deadlineTimer = m_timers.subscribeOnce(
        target->submission.timeout, [this, number](time_point) { deadlinePassed(number); });
    m_requests.emplace(number, std::move(target));

    if (overLimit) {
        refuse(number, notRun(failure_kind::Overloaded, "the organisation has too many requests in flight"),
            m_settings.retryAfter);
        return id;
    }
    m_budget.deposit();
    route(number);
    return id;
}

void request_dispatcher::workersChanged()
{
    wakeWaiting();
}

void request_dispatcher::workerLost(const std::string& worker)
{
    std::vector<request_number> affected;
    for (const auto& [number, target] : m_requests) {
        if (target->outstanding && target->worker == worker)
            affected.push_back(number);
    }
    for (const auto number : affected) {
        auto* target = find(number);
        if (target == nullptr || !target->outstanding || target->worker != worker)
            continue;
        target->outstanding = false;
        attemptFailed(number, mayHaveRun(failure_kind::Broken, "worker " + worker + " fell silent"));
    }
}

void request_dispatcher::route(request_number number)
{
    auto* target = find(number);
    if (target == nullptr)
        return;
    if (m_timers.now() >= target->deadline) {
        deadlinePassed(number);
        return;
    }

    const auto decision = m_router.choose(
        target->submission.service, target->tried, target->submission.repeatable, m_timers.now(), m_random);
    if (!decision.worker) {
        wait(number, decision.reason);
        return;
    }
    endWait(number);
    logDecision(*target, decision);
    send(number, decision);
}

void request_dispatcher::send(request_number number, const routing_decision& decision)
{
    auto& target = *find(number);
    ++target.attempts;
    target.outstanding = true;
    target.worker = decision.worker->name;
    m_metrics.counter("oriole_request_attempts_total", { { "worker", target.worker } }).add();
    if (decision.reason == "other-region")
        m_metrics.counter("oriole_request_attempts_other_region_total").add();

    backend_call call;
    call.id = target.id + "." + std::to_string(target.attempts);
    call.organisation = target.submission.organisation;
    call.service = target.submission.service;
    call.repeatable = target.submission.repeatable;
    call.deadline = std::chrono::duration_cast<milliseconds>(target.deadline - m_timers.now());
    call.contentType = target.submission.contentType;
    call.body = target.submission.body;

    const std::weak_ptr<request_dispatcher*> self = m_self;
    const auto held = std::make_shared<attempt_in_flight>(self, target.worker, m_router.sent(target.worker));
    // The gateway may answer before it returns, so nothing of the request is touched after this call.
    m_gateway.dispatch(
        *decision.worker, std::move(call), [self, held, number, attempt = target.attempts](const backend_reply& reply) {
            held->release();
            if (const auto alive = self.lock())
                (*alive)->replied(number, attempt, reply);
        });
}

void request_dispatcher::wait(request_number number, const std::string& reason)
{
    auto& target = *find(number);
    if (target.waitTimer)
        return;
    if (m_waiting.size() >= m_settings.waitingLimit) {
        refuse(number, notRun(failure_kind::Unavailable, "no worker is free and too many requests wait: " + reason),
            m_settings.retryAfter);
        return;
    }
    target.waitTimer = m_timers.subscribeOnce(m_settings.longestWait, [this, number, reason](time_point) {
        auto* waiting = find(number);
        if (waiting == nullptr || !waiting->waitTimer)
            return;
        const auto why = waiting->lastReason.empty() ? std::string() : ", last attempt: " + waiting->lastReason;
        refuse(number, notRun(failure_kind::Unavailable, "no worker for the request: " + reason + why),
            m_settings.retryAfter);
    });
    m_waiting.push_back(number);
    scheduleWakeUp();
}

void request_dispatcher::endWait(request_number number)
{
    auto& target = *find(number);
    if (!target.waitTimer)
        return;
    m_timers.cancel(*target.waitTimer);
    target.waitTimer.reset();
    std::erase(m_waiting, number);
}

void request_dispatcher::wakeWaiting()
{
    // A request that finds no worker stays in its place of the queue, and so holds up no other service.
    const std::vector<request_number> waiting(m_waiting.begin(), m_waiting.end());
    for (const auto number : waiting) {
        // A reply within the call of another request's dispatch may have routed this one meanwhile.
        if (const auto* target = find(number); target != nullptr && target->waitTimer)
            route(number);
    }
}

void request_dispatcher::scheduleWakeUp()
{
    if (m_wakeUp)
        return;
    m_wakeUp = m_timers.subscribeOnce(wakeUpInterval, [this](time_point) {
        m_wakeUp.reset();
        wakeWaiting();
        if (!m_waiting.empty())
            scheduleWakeUp();
    });
}

void request_dispatcher::replied(request_number number, unsigned attempt, const backend_reply& reply)
{
    auto* target = find(number);
    if (target == nullptr || !target->outstanding || target->attempts != attempt) {
        dropped("late");
        wakeWaiting();
        return;
    }

    target->outstanding = false;
    if (reply.id != target->id + "." + std::to_string(attempt)) {
        dropped("crossed");
        attemptFailed(number, mayHaveRun(failure_kind::Broken, "the reply belongs to another attempt"));
    } else if (reply.outcome) {
        completed(number, reply.outcome.value());
    } else {
        attemptFailed(number, reply.outcome.error());
    }
    wakeWaiting();
}

void request_dispatcher::completed(request_number number, const backend_answer& answer)
{
    constexpr unsigned firstServerError = 500;
    const auto& target = *find(number);
    if (answer.status >= firstServerError)
        m_health.failed(target.worker, target.id, m_timers.now());
    else
        m_health.succeeded(target.worker, target.id, m_timers.now());

    request_outcome outcome;
    outcome.ran = verdict::Completed;
    outcome.status = answer.status;
    outcome.contentType = answer.contentType;
    outcome.body = answer.body;
    finish(number, std::move(outcome));
}

void request_dispatcher::attemptFailed(request_number number, const failure& error)
{
    auto& target = *find(number);
    const bool ran = error.ran != verdict::NotRun;
    const bool full = !ran && error.kind == failure_kind::Overloaded;
    target.mayHaveRun = target.mayHaveRun || ran;
    target.lastReason = error.reason;
    if (full) {
        m_router.busy(target.worker, m_timers.now());
    } else {
        m_health.failed(target.worker, target.id, m_timers.now());
        target.tried.insert(target.worker);
    }

    if (mayRetry(target, error)) {
        m_metrics.counter("oriole_request_retries_total").add();
        route(number);
        return;
    }
    // A full fleet is no limit of the caller's, so it is told as 503 and not as 429.
    if (full)
        refuse(number, notRun(failure_kind::Unavailable, error.reason), m_settings.retryAfter);
    else
        refuse(number, error, milliseconds::zero());
}

bool request_dispatcher::mayRetry(request& target, const failure& error)
{
    if (target.attempts >= m_attemptLimit || m_timers.now() >= target.deadline)
        return false;
    if (error.ran != verdict::NotRun && !target.submission.repeatable)
        return false;
    if (m_budget.take())
        return true;

    m_metrics.counter("oriole_request_retries_denied_total").add();
    return false;
}

void request_dispatcher::deadlinePassed(request_number number)
{
    auto* target = find(number);
    if (target == nullptr)
        return;
    if (target->outstanding) {
        target->mayHaveRun = true;
        m_health.failed(target->worker, target->id, m_timers.now());
    }
    refuse(number, notRun(failure_kind::Timeout, "the deadline passed"), milliseconds::zero());
}

void request_dispatcher::refuse(request_number number, const failure& error, milliseconds retryAfter)
{
    auto told = error;
    if (find(number)->mayHaveRun)
        told.ran = verdict::MayHaveRun;

    request_outcome outcome;
    outcome.ran = told.ran;
    outcome.status = httpStatus(told);
    outcome.reason = told.reason;
    outcome.retryAfterMs = told.ran == verdict::NotRun ? static_cast<unsigned>(retryAfter.count()) : 0;
    finish(number, std::move(outcome));
}

void request_dispatcher::finish(request_number number, request_outcome outcome)
{
    endWait(number);
    const auto found = m_requests.find(number);
    const auto target = std::move(found->second);
    m_requests.erase(found);
    m_timers.cancel(target->deadlineTimer);
    if (auto count = m_organisationInFlight.find(target->submission.organisation); --count->second == 0)
        m_organisationInFlight.erase(count);

    outcome.requestId = target->id;
    outcome.worker = target->worker;
    outcome.attempts = target->attempts;
    m_metrics
        .counter("oriole_requests_total",
            { { "organisation", target->submission.organisation }, { "service", target->submission.service },
                { "verdict", std::string(toString(outcome.ran)) } })
        .add();
    target->done(std::move(outcome));
}

void request_dispatcher::dropped(const char* why)
{
    m_metrics.counter("oriole_request_replies_dropped_total", { { "why", why } }).add();
}

void request_dispatcher::logDecision(const request& target, const routing_decision& decision) const
{
    auto weighed = nlohmann::json::array();
    for (const auto& candidate : decision.weighed)
        weighed.push_back({ { "worker", candidate.worker }, { "in_flight", candidate.inFlight } });
    m_settings.log(log_level::Info, "routing_decision",
        { { "request", target.id }, { "attempt", target.attempts + 1 },
            { "organisation", target.submission.organisation }, { "service", target.submission.service },
            { "candidates", decision.candidates }, { "weighed", std::move(weighed) },
            { "worker", decision.worker->name }, { "reason", decision.reason } });
}

request_dispatcher::request* request_dispatcher::find(request_number number)
{
    const auto found = m_requests.find(number);
    return found == m_requests.end() ? nullptr : found->second.get();
}

unsigned request_dispatcher::organisationLimit(const std::string& organisation) const
{
    const auto found = m_organisationLimits.find(organisation);
    return found == m_organisationLimits.end() ? 0 : found->second;
}

} // namespace oriole
