#include <fleet/agent/worker_agent.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// A start without a response is sent again. The request identifies its run, so the worker executes it at most once.
constexpr unsigned maxStartTries = 3;
constexpr milliseconds stopRetryDelay { 120 };
constexpr milliseconds stopTimeout { 3000 };

bool listsRun(const poll_response& answer, const run_id& run)
{
    const auto isRun = [&](const auto& entry) { return entry.run == run; };
    return std::any_of(answer.active.begin(), answer.active.end(), isRun)
        || std::any_of(answer.ended.begin(), answer.ended.end(), isRun);
}

stop_outcome stopOutcomeOf(const poll_response& answer, const run_id& run)
{
    if (listsRun(answer, run))
        return stop_outcome::Ending;
    return answer.endsTruncated ? stop_outcome::Unanswered : stop_outcome::Absent;
}

/// A stop also covers the lower attempts of the task.
bool isStoppedBy(const run_id& run, const run_id& stopped)
{
    return run.task == stopped.task && run.attempt <= stopped.attempt;
}

} // namespace

std::string_view toString(start_outcome outcome)
{
    switch (outcome) {
    case start_outcome::Accepted:
        return "accepted";
    case start_outcome::Refused:
        return "refused";
    case start_outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(stop_outcome outcome)
{
    switch (outcome) {
    case stop_outcome::Absent:
        return "absent";
    case stop_outcome::Ending:
        return "ending";
    case stop_outcome::Unanswered:
        return "unanswered";
    }
    return "unanswered";
}

struct worker_agent::pending_start {
    start_order order;
    std::function<void(start_outcome, std::string)> done;
    unsigned tries = 0;
    bool isStopped = false; ///< A stop of the run was asked for since.
};

struct worker_agent::stop_request {
    run_id run;
    std::uint64_t epoch = 0;
    worker_incarnation life;
    time_point startedAt;
    std::uint64_t confirmedByPoll = 0; ///< Number of the first poll that was sent after the worker confirmed the stop.
    worker_incarnation confirmedBy; ///< The incarnation that confirmed it.
    std::function<void(stop_outcome)> done;
};

void worker_agent::start(const attachment_id& attachment, const worker_incarnation& life, start_order order,
    std::function<void(start_outcome, std::string)> done)
{
    if (attachment.epoch != m_attachment.epoch)
        return done(start_outcome::Refused, "lower epoch");
    if (attachment.number != m_attachment.number)
        return done(start_outcome::Refused, "the connection was replaced");
    if (!isPermitted())
        return done(start_outcome::Refused, "no permission: the scheduler's last answer is too old");
    if (m_runtime == nullptr || m_isRestarted || life != m_worker.worker.incarnation || m_workerClockMs == 0)
        return done(start_outcome::Refused, "another life of the worker");
    if (m_worker.worker.draining)
        return done(start_outcome::Refused, "the worker drains");
    if (m_failedPolls >= maxFailedPolls || !mayExtendLease())
        return done(start_outcome::Refused, "the worker is silent");
    order.fence = m_fence.token();
    m_starts.push_back(std::make_shared<pending_start>(pending_start { std::move(order), std::move(done) }));
    sendStart(m_starts.back());
}

void worker_agent::sendStart(const std::shared_ptr<pending_start>& start)
{
    auto& order = start->order;
    order.deadlineMs = extendLease();
    ++start->tries;
    const auto runtime = m_runtime;
    runtime->start(order, [this, start, runtime, earliestMs = earliestWorkerClock(), alive = m_alive](const result<start_response>& answer) {
        if (!*alive)
            return;
        const bool isOtherClock = answer && answer.value().clockMs != 0 && answer.value().clockMs < earliestMs;
        if (isOtherClock && runtime == m_runtime && !m_isRestarted)
            handleOtherClock(start->order, answer.value());
        // It runs on an incarnation that no report has named yet.
        if (isOtherClock && answer.value().accepted)
            return completeStart(start, start_outcome::Unknown, "another incarnation answered");
        if (answer && answer.value().accepted)
            return completeStart(start, start_outcome::Accepted, {});
        // If this is a retry, an earlier request may still take effect even if this one was refused.
        if (answer)
            return completeStart(start, start->tries > 1 ? start_outcome::Unknown : start_outcome::Refused, answer.value().reason);
        if (answer.error().ran == oriole::verdict::NotRun && start->tries == 1)
            return completeStart(start, start_outcome::Refused, answer.error().reason);
        if (!maySendAgain(*start, runtime))
            return completeStart(start, start_outcome::Unknown, answer.error().reason);
        sendStart(start);
    });
}

/// A worker that has started again since a stop has forgotten it, so a start must not follow the stop of its run.
bool worker_agent::maySendAgain(const pending_start& start, const std::shared_ptr<backend_runtime>& runtime) const
{
    return start.tries < maxStartTries && !start.isStopped && runtime == m_runtime && start.order.fence == m_fence.token()
        && mayExtendLease();
}

void worker_agent::completeStart(const std::shared_ptr<pending_start>& start, start_outcome outcome, const std::string& reason)
{
    std::erase(m_starts, start);
    start->done(outcome, reason);
}

bool worker_agent::isStartPending(const run_id& run) const
{
    return std::any_of(m_starts.begin(), m_starts.end(), [&](const auto& start) { return isStoppedBy(start->order.run, run); });
}

void worker_agent::stop(
    std::uint64_t epoch, const worker_incarnation& life, const run_id& run, std::function<void(stop_outcome)> done)
{
    if (epoch != m_attachment.epoch)
        return done(stop_outcome::Unanswered);
    if (m_runtime == nullptr)
        return done(stop_outcome::Unanswered);
    auto request = std::make_shared<stop_request>();
    request->run = run;
    request->epoch = epoch;
    request->life = life;
    request->startedAt = m_clock();
    request->done = std::move(done);
    for (const auto& start : m_starts)
        start->isStopped = start->isStopped || isStoppedBy(start->order.run, run);
    sendStop(request);
}

/// What is known of a run without asking the worker.
std::optional<stop_outcome> worker_agent::stopOutcomeWithoutOrder(const worker_incarnation& life) const
{
    const auto& present = m_worker.worker.incarnation;
    if (life == present)
        return std::nullopt;
    if (!haveOthersEnded())
        return stop_outcome::Unanswered;
    // A start order to an earlier incarnation may still reach the present one if it has the same instance id.
    return life.instance == present.instance ? std::nullopt : std::optional(stop_outcome::Absent);
}

void worker_agent::sendStop(const std::shared_ptr<stop_request>& request)
{
    if (request->epoch != m_attachment.epoch)
        return request->done(stop_outcome::Unanswered);
    if (const auto known = stopOutcomeWithoutOrder(request->life))
        return request->done(*known);
    const auto runtime = m_runtime;
    request->confirmedBy = m_worker.worker.incarnation;
    runtime->stop(request->run, m_fence.token(), [this, request, runtime, alive = m_alive](const result<bool>& answer) {
        if (!*alive)
            return;
        if (answer) {
            request->confirmedByPoll = m_pollNumber + 1;
            m_stops.push_back(request);
            ++m_pollNumber;
            m_polling = false;
            return poll(milliseconds(0));
        }
        if (m_clock() - request->startedAt > stopTimeout)
            return request->done(stop_outcome::Unanswered);
        m_timers.subscribeOnce(stopRetryDelay, [this, request, alive](time_point) {
            if (*alive)
                sendStop(request);
        });
    });
}

void worker_agent::completeStops(const poll_response& answer)
{
    std::vector<std::pair<std::shared_ptr<stop_request>, stop_outcome>> completed;
    std::erase_if(m_stops, [&](const auto& request) {
        if (m_pollNumber < request->confirmedByPoll)
            return false;
        // The list of another incarnation does not show what became of the run.
        const bool isListOfConfirming = request->confirmedBy == m_worker.worker.incarnation;
        const auto outcome = isListOfConfirming ? stopOutcomeOf(answer, request->run) : stop_outcome::Unanswered;
        // Until the list is whole again, the run may be among the ends that it leaves out.
        if (isListOfConfirming && outcome == stop_outcome::Unanswered && m_clock() - request->startedAt <= stopTimeout)
            return false;
        // A start that is under way would be taken by a worker that starts again before it arrives.
        if (outcome == stop_outcome::Absent && isStartPending(request->run))
            return false;
        completed.emplace_back(request, outcome);
        return true;
    });
    for (const auto& [request, outcome] : completed)
        request->done(outcome);
}

void worker_agent::acknowledge(std::uint64_t epoch, const worker_incarnation& life, std::uint64_t upTo)
{
    if (epoch != m_attachment.epoch || life != m_worker.worker.incarnation || upTo <= m_acknowledgedUpTo)
        return;
    m_acknowledgedUpTo = upTo;
    std::erase_if(m_report.ended, [upTo](const ended_run& entry) { return entry.number <= upTo; });
}

} // namespace fleet
