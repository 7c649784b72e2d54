#include <fleet/agent/worker_agent.hpp>

#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// Long-poll durations with and without active runs. They bound the age of reported progress and the processor time
// spent on polls.
constexpr milliseconds pollWait { 700 };
constexpr milliseconds idlePollWait { 1200 };
// Delay between polls while ended runs are not acknowledged or stops are pending, so that freed capacity is reported
// early.
constexpr milliseconds pendingPollDelay { 40 };
constexpr milliseconds failedPollDelay { 250 };
// Ends are acknowledged only this soon after an answer of their incarnation: a later one numbers its ends anew, and forgets those that
// an acknowledgement of before covers.
constexpr milliseconds maxAcknowledgementAge { 100 };
// Reports renew the permission to extend the lease and carry progress. The period is shorter than pollWait, so that
// each poll with active runs is followed by a report.
constexpr milliseconds reportPeriod { 600 };

bool sameRuns(const std::vector<active_run>& left, const std::vector<active_run>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](const auto& a, const auto& b) { return a.run == b.run; });
}

} // namespace

void worker_agent::poll(milliseconds wait)
{
    if (m_runtime == nullptr || m_polling)
        return;
    m_polling = true;
    const auto number = ++m_pollNumber;
    poll_request request { m_fence.token(), 0, std::nullopt, wait };
    // The lease is not extended on a worker that may be gone: its runs count as ended once their lease has expired.
    if (m_failedPolls == 0 && mayExtendLease())
        request.deadlineMs = extendLease();
    // A poll that waits would also acknowledge ends that occur meanwhile, of whichever incarnation.
    if (wait.count() == 0 && mayAcknowledge())
        request.acknowledgedUpTo = m_acknowledgedUpTo;
    m_runtime->poll(request, [this, number, request, runtime = m_runtime, alive = m_alive](result<poll_response> answer) {
        if (!*alive)
            return;
        if (number != m_pollNumber)
            return handleSupersededAnswer(request, answer, runtime == m_runtime);
        m_polling = false;
        // A different start time means that the worker restarted; its next heartbeat describes the new incarnation.
        if (answer && isOfOtherIncarnation(answer.value()))
            answer = handleOtherIncarnation(request, answer.value());
        else if (answer)
            handleAnsweredPoll(request, answer.value());
        handlePoll(answer);
    });
}

bool worker_agent::isOfOtherIncarnation(const poll_response& answer) const
{
    return answer.life.startedUnixMs != 0 && answer.life.startedUnixMs != m_worker.worker.incarnation.startedUnixMs;
}

/// Its lists may be older than those of a later poll, but it shows a restart as well.
void worker_agent::handleSupersededAnswer(const poll_request& request, const result<poll_response>& answer, bool isOfPresentRuntime)
{
    logIgnoredAnswer(answer);
    if (!isOfPresentRuntime || !answer || !isOfOtherIncarnation(answer.value()) || m_answeringStartMs == answer.value().life.startedUnixMs)
        return;
    handleOtherIncarnation(request, answer.value());
    ++m_pollNumber;
    m_polling = false;
    poll(milliseconds(0));
}

bool worker_agent::mayAcknowledge() const
{
    return m_acknowledgedUpTo > m_forgottenUpTo && m_failedPolls == 0 && !m_isRestarted
        && m_clock() - m_workerClockReadAt <= maxAcknowledgementAge;
}

/// The present incarnation has answered a call with the present token.
void worker_agent::handleAnsweredPoll(const poll_request& request, const poll_response& answer)
{
    m_forgottenUpTo = std::max(m_forgottenUpTo, request.acknowledgedUpTo);
    noteEarlierCallsExcluded(answer);
    m_isRestarted = false;
    m_answeringStartMs = 0;
}

void worker_agent::noteEarlierCallsExcluded(const poll_response& answer)
{
    if (!m_bounds.mayCarryOutEarlierCalls() || !m_fence.excludesEarlierCalls())
        return;
    m_bounds.earlierCallsExcluded(m_clock());
    oriole::logEvent(oriole::log_level::Info, "earlier_calls_excluded",
        { { "instance", m_worker.worker.incarnation.instance }, { "born_unix_ms", answer.life.startedUnixMs },
            { "fencing_token", m_fence.token() }, { "active", answer.active.size() }, { "ended", answer.ended.size() },
            { "lease_left_ms", leaseLeft().count() } });
}

failure worker_agent::handleOtherIncarnation(const poll_request& request, const poll_response& answer)
{
    if (m_answeringStartMs != answer.life.startedUnixMs) {
        logRestart(request, answer);
        m_answeringStartMs = answer.life.startedUnixMs;
        handleRestart("start time");
    } else
        noteEarlierCallsExcluded(answer);
    return oriole::notRun(oriole::failure_kind::NotFound, "the worker was restarted");
}

void worker_agent::handleRestart(const std::string& evidence)
{
    m_isRestarted = true;
    m_bounds.restarted();
    const bool isRaised = m_fence.raise();
    oriole::logEvent(isRaised ? oriole::log_level::Info : oriole::log_level::Warning, "worker_restarted",
        { { "evidence", evidence }, { "instance", m_worker.worker.incarnation.instance }, { "epoch", m_attachment.epoch },
            { "attachment", m_attachment.number }, { "fencing_token", m_fence.token() }, { "raised", isRaised },
            { "lease_left_ms", leaseLeft().count() } });
    // The scheduler connects again, which raises the token.
    if (!isRaised)
        m_link = nullptr;
}

void worker_agent::logRestart(const poll_request& request, const poll_response& answer) const
{
    oriole::logEvent(oriole::log_level::Warning, "worker_restart_seen",
        { { "instance", m_worker.worker.incarnation.instance }, { "known_born_unix_ms", m_worker.worker.incarnation.startedUnixMs },
            { "born_unix_ms", answer.life.startedUnixMs }, { "known_clock_ms", workerClock() }, { "clock_ms", answer.clockMs },
            { "deadline_ms", request.deadlineMs.value_or(0) }, { "acknowledged", request.acknowledgedUpTo },
            { "wait_ms", request.wait.count() }, { "active", answer.active.size() }, { "ended", answer.ended.size() } });
}

void worker_agent::logIgnoredAnswer(const result<poll_response>& answer) const
{
    if (!answer || answer.value().ended.empty())
        return;
    oriole::logEvent(oriole::log_level::Info, "poll_answer_ignored",
        { { "instance", m_worker.worker.incarnation.instance }, { "born_unix_ms", answer.value().life.startedUnixMs },
            { "ended", answer.value().ended.size() }, { "first_end", answer.value().ended.front().number } });
}

void worker_agent::handleOtherClock(const start_order& order, const start_response& answer)
{
    oriole::logEvent(oriole::log_level::Warning, "start_answered_by_other_clock",
        { { "task", toString(order.run.task) }, { "attempt", order.run.attempt }, { "accepted", answer.accepted },
            { "instance", m_worker.worker.incarnation.instance }, { "known_born_unix_ms", m_worker.worker.incarnation.startedUnixMs },
            { "known_clock_ms", m_workerClockMs }, { "clock_ms", answer.clockMs }, { "deadline_ms", order.deadlineMs } });
    handleRestart("clock");
    ++m_pollNumber;
    m_polling = false;
    poll(milliseconds(0));
}

/// What the worker's clock shows at least.
std::int64_t worker_agent::earliestWorkerClock() const
{
    const auto passed = std::chrono::duration_cast<milliseconds>(m_clock() - m_workerClockReadAt);
    return m_workerClockMs + std::max<std::int64_t>(0, agent_timing::shortestAdvance(passed).count());
}

void worker_agent::handlePoll(const result<poll_response>& answer)
{
    if (!answer) {
        ++m_failedPolls;
        const bool refused = answer.error().kind == oriole::failure_kind::NotFound;
        // A refused connection or the answer of another incarnation may be due to the path to a worker that lives.
        const bool gone = m_clock() > m_bounds.allEndAt();
        const bool unresponsive = refused || m_failedPolls >= maxFailedPolls;
        if (unresponsive && (m_report.responsive || gone != m_report.gone)) {
            oriole::logEvent(oriole::log_level::Warning, "worker_unresponsive",
                { { "instance", m_worker.worker.incarnation.instance }, { "address", m_worker.address },
                    { "reason", answer.error().reason }, { "gone", gone }, { "failed_polls", m_failedPolls },
                    { "lease_left_ms", leaseLeft().count() }, { "active", m_report.active.size() } });
        }
        m_report.responsive = m_report.responsive && !unresponsive;
        m_report.gone = gone;
        sendReport();
        return schedulePoll(failedPollRetryDelay());
    }

    const bool changed = !m_report.responsive || m_report.endsTruncated != answer.value().endsTruncated
        || !sameRuns(m_report.active, answer.value().active)
        || m_report.ended.size() != answer.value().ended.size();
    if (m_failedPolls > 0) {
        oriole::logEvent(oriole::log_level::Info, "worker_responsive",
            { { "instance", m_worker.worker.incarnation.instance }, { "failed_polls", m_failedPolls }, { "was_gone", m_report.gone },
                { "active", answer.value().active.size() }, { "ended", answer.value().ended.size() } });
    }
    m_failedPolls = 0;
    m_workerClockMs = answer.value().clockMs;
    m_workerClockReadAt = m_clock();
    m_report.active = answer.value().active;
    m_report.ended = answer.value().ended;
    m_report.endsTruncated = answer.value().endsTruncated;
    std::erase_if(m_report.ended, [this](const ended_run& entry) { return entry.number <= m_acknowledgedUpTo; });
    m_report.responsive = true;
    m_report.gone = false;
    if (changed || m_clock() - m_reportedAt >= reportPeriod)
        sendReport();
    completeStops(answer.value());
    if (mayAcknowledge())
        return poll(milliseconds(0));
    if (!m_report.ended.empty() || !m_stops.empty())
        return schedulePoll(pendingPollDelay);
    poll(m_report.active.empty() ? idlePollWait : pollWait);
}

milliseconds worker_agent::failedPollRetryDelay() const
{
    // Until a restarted worker has answered with the raised token, it may carry out calls that were sent before.
    const bool isExclusionDue = m_isRestarted && m_bounds.mayCarryOutEarlierCalls() && m_failedPolls <= maxFailedPolls;
    return isExclusionDue ? pendingPollDelay : failedPollDelay;
}

void worker_agent::schedulePoll(milliseconds delay)
{
    m_timers.subscribeOnce(delay, [this, alive = m_alive](time_point) {
        if (*alive)
            poll(milliseconds(0));
    });
}

} // namespace fleet
