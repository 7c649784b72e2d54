#include <fleet/agent/worker_agent.hpp>

#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// Another writer may describe the worker's incarnation differently. Whichever description comes this often in a row is taken.
constexpr unsigned contradictionsToAdopt = 3;

} // namespace

worker_agent::worker_agent(
    oriole::timer_service& timers, clock now, agent_timing timing, runtime_factory makeRuntime)
    : m_timers(timers)
    , m_clock(std::move(now))
    , m_timing(timing)
    , m_check(std::move(makeRuntime),
          [this](const worker_heartbeat& heartbeat, const std::shared_ptr<backend_runtime>& runtime, const poll_response& answer) {
              handleConfirmed(heartbeat, runtime, answer);
          })
    , m_bounds(m_timing, m_clock())
{
}

worker_agent::~worker_agent()
{
    *m_alive = false;
}

bool worker_agent::handleHeartbeat(const worker_heartbeat& heartbeat)
{
    if (m_runtime != nullptr) {
        // A start time of the worker's time of day, which may have been set back. While the present incarnation answers, an earlier
        // one is of a late heartbeat; otherwise the worker's answer decides.
        const bool isEarlier = heartbeat.worker.incarnation.startedUnixMs < m_worker.worker.incarnation.startedUnixMs;
        if (isEarlier && m_failedPolls == 0)
            return false;
        if (isSameRegistration(heartbeat, m_worker))
            return updateWorker(heartbeat);
        if (isSameIncarnation(heartbeat, m_worker))
            return handleContradiction(heartbeat);
    }
    return m_check.propose(heartbeat, m_fence.token());
}

bool worker_agent::updateWorker(const worker_heartbeat& heartbeat)
{
    m_contradictions = 0;
    if (heartbeat.sequence < m_worker.sequence && !outlastsDelays(heartbeat))
        return false;
    m_lowerSince.reset();
    const bool startsToDrain = heartbeat.worker.draining && !m_worker.worker.draining;
    m_worker = heartbeat;
    m_report.worker = heartbeat.worker;
    if (startsToDrain) {
        oriole::logEvent(oriole::log_level::Info, "worker_draining", { { "remaining_ms", heartbeat.worker.drainRemainingMs } });
        sendReport();
    }
    return true;
}

/// Late heartbeats have been sent before the one that is known, so none arrives once the longest delay of a call has passed. What
/// goes on with lower numbers that rise is the worker itself, and the known number was another writer's.
bool worker_agent::outlastsDelays(const worker_heartbeat& heartbeat)
{
    const bool rises = m_lowerSince && heartbeat.sequence > m_lowerSequence;
    if (!rises)
        m_lowerSince = m_clock();
    m_lowerSequence = heartbeat.sequence;
    if (m_clock() - *m_lowerSince <= m_timing.maxCallDelay)
        return false;
    oriole::logEvent(oriole::log_level::Warning, "heartbeat_sequence_replaced",
        { { "instance", heartbeat.worker.incarnation.instance }, { "known_sequence", m_worker.sequence }, { "sequence", heartbeat.sequence },
            { "lower_for_ms", std::chrono::duration_cast<milliseconds>(m_clock() - *m_lowerSince).count() } });
    return true;
}

bool worker_agent::handleContradiction(const worker_heartbeat& heartbeat)
{
    if (!isSameRegistration(heartbeat, m_contradiction) || heartbeat.sequence < m_contradiction.sequence)
        m_contradictions = 0;
    m_contradiction = heartbeat;
    ++m_contradictions;
    oriole::logEvent(oriole::log_level::Warning, "heartbeat_contradicts_incarnation",
        { { "instance", heartbeat.worker.incarnation.instance }, { "service", heartbeat.worker.service },
            { "known_service", m_worker.worker.service }, { "times", m_contradictions } });
    if (m_contradictions < contradictionsToAdopt)
        return false;
    m_contradictions = 0;
    m_worker = heartbeat;
    m_report.worker = heartbeat.worker;
    sendReport();
    return true;
}

bool worker_agent::mayReplace(const worker_heartbeat& successor) const
{
    const bool isPresent = successor.worker.incarnation == m_worker.worker.incarnation;
    return isPresent || successor.address == m_worker.address || m_clock() > m_bounds.allEndAt();
}

void worker_agent::handleConfirmed(
    const worker_heartbeat& heartbeat, const std::shared_ptr<backend_runtime>& runtime, const poll_response& answer)
{
    const auto& life = heartbeat.worker.incarnation;
    if (m_runtime != nullptr && !mayReplace(heartbeat)) {
        // Its next heartbeat proposes it again.
        oriole::logEvent(oriole::log_level::Warning, "incarnation_waits",
            { { "instance", life.instance }, { "address", heartbeat.address },
                { "present_instance", m_worker.worker.incarnation.instance }, { "present_address", m_worker.address },
                { "lease_left_ms", leaseLeft().count() } });
        return;
    }
    oriole::logEvent(oriole::log_level::Info, "worker_registered",
        { { "instance", life.instance }, { "born_unix_ms", life.startedUnixMs }, { "address", heartbeat.address },
            { "accelerators", heartbeat.worker.capacity.accelerators },
            { "displaced_instance", m_worker.worker.incarnation.instance }, { "displaced_address", m_worker.address },
            { "lease_left_ms", leaseLeft().count() }, { "displaced_active", m_report.active.size() } });
    if (life != m_worker.worker.incarnation) {
        if (m_runtime != nullptr)
            noteSuccessor(life);
        m_acknowledgedUpTo = 0;
        m_forgottenUpTo = 0;
        m_isRestarted = false;
        m_answeringStartMs = 0;
        reportWhenOthersHaveEnded();
    }
    m_instances.insert(life.instance);
    m_runtime = runtime;
    m_worker = heartbeat;
    m_contradictions = 0;
    m_workerClockMs = answer.clockMs;
    m_workerClockReadAt = m_clock();
    m_report = {};
    m_report.worker = heartbeat.worker;
    m_report.responsive = false;
    m_failedPolls = 0;
    ++m_pollNumber;
    m_polling = false;
    poll(milliseconds(0));
}

void worker_agent::noteSuccessor(const worker_incarnation& successor)
{
    if (successor.instance == m_worker.worker.incarnation.instance) {
        if (m_answeringStartMs != successor.startedUnixMs)
            handleRestart("heartbeat");
        return;
    }
    m_bounds.replaced();
    // Calls that were sent to an id reach it again when it comes back after others.
    if (m_instances.contains(successor.instance))
        handleRestart("returned id");
}

void worker_agent::handleDeregistration(const std::string& instance)
{
    m_check.withdrawDraining(instance);
    // The call names no incarnation, and a worker drains before it deregisters. While it doesn't, the call is a late one of an
    // earlier incarnation under the same id; a worker that has ended all the same answers no poll.
    if (m_runtime != nullptr && m_worker.worker.incarnation.instance == instance) {
        oriole::logEvent(oriole::log_level::Info, "worker_deregistered",
            { { "instance", instance }, { "born_unix_ms", m_worker.worker.incarnation.startedUnixMs },
                { "draining", m_worker.worker.draining } });
    }
}

bool worker_agent::attach(const attachment_id& attachment, std::shared_ptr<scheduler_link> link)
{
    if (attachment < m_attachment)
        return false;
    m_attachment = attachment;
    m_fence.attach(attachment);
    m_link = std::move(link);
    // The first report to this scheduler has to include the effects of all requests of earlier schedulers. A poll that
    // is already in flight may predate them, and so does what the last one returned.
    ++m_pollNumber;
    m_polling = false;
    m_reportedAt = {};
    m_report.responsive = false;
    m_check.probeAll(m_fence.token());
    poll(milliseconds(0));
    return true;
}

milliseconds worker_agent::leaseLeft() const
{
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(m_bounds.allEndAt() - m_clock()));
}

std::int64_t worker_agent::workerClock() const
{
    return m_workerClockMs + std::chrono::duration_cast<milliseconds>(m_clock() - m_workerClockReadAt).count();
}

bool worker_agent::mayExtendLease() const
{
    // What was ordered before a report that the worker is gone counts as ended.
    return isPermitted() && !m_report.gone && !m_isRestarted && m_workerClockMs > 0 && m_clock() - m_workerClockReadAt <= m_timing.maxClockAge;
}

std::int64_t worker_agent::extendLease()
{
    const auto deadlineMs = workerClock() + m_timing.lease.count();
    // The worker read its clock before the answer arrived, so the deadline passes no later than this.
    m_bounds.deadlineSent(m_clock(), m_workerClockReadAt + agent_timing::longestDuration(milliseconds(deadlineMs - m_workerClockMs)));
    return deadlineMs;
}

void worker_agent::reportWhenOthersHaveEnded()
{
    const auto left = std::chrono::ceil<milliseconds>(m_bounds.displacedEndAt() - m_clock()) + milliseconds(1);
    m_timers.subscribeOnce(std::max(milliseconds(0), left), [this, alive = m_alive](time_point) {
        if (*alive)
            sendReport();
    });
}

void worker_agent::sendReport()
{
    if (m_link == nullptr)
        return;
    const auto sentAt = m_clock();
    m_reportedAt = sentAt;
    m_report.othersMayRun = !haveOthersEnded();
    m_link->report(m_report, [this, sentAt, link = m_link, alive = m_alive](bool confirmed) {
        if (!*alive || link != m_link)
            return;
        const bool wasPermitted = isPermitted();
        if (confirmed)
            m_permittedUntil = std::max(m_permittedUntil, sentAt + m_timing.permission);
        if (!wasPermitted && isPermitted() && m_polling) {
            // The poll in flight was sent without permission and did not extend the lease: poll again immediately.
            ++m_pollNumber;
            m_polling = false;
            poll(milliseconds(0));
        }
    });
}

} // namespace fleet
