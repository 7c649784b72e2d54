#include <fleet/agent/worker_agent.hpp>

#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// A look waits so long for an end: bounds how old progress is, and how often a look costs processor time.
constexpr milliseconds lookWait { 700 };
constexpr milliseconds idleLookWait { 1200 };
// Between looks while ends or stops are open, so that room that became free is seen soon.
constexpr milliseconds shortPause { 40 };
constexpr milliseconds failurePause { 250 };
// Reports renew the permission to extend the lease and carry progress: one for each look at runs.
constexpr milliseconds reportPeriod { 600 };
// An order without an answer is sent again: it names its run, so that the worker carries it out once.
constexpr unsigned maxStartTries = 3;
constexpr milliseconds stopPause { 120 };
constexpr milliseconds stopPatience { 3000 };
constexpr unsigned looksUntilSilent = 2;

bool lists(const look_answer& answer, const run_id& run)
{
    const auto isRun = [&](const auto& entry) { return entry.run == run; };
    return std::any_of(answer.active.begin(), answer.active.end(), isRun)
        || std::any_of(answer.ended.begin(), answer.ended.end(), isRun);
}

bool sameRuns(const std::vector<active_run>& left, const std::vector<active_run>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](const auto& a, const auto& b) { return a.run == b.run; });
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

struct worker_agent::stop_request {
    run_id run;
    std::uint64_t epoch = 0;
    worker_life life;
    time_point began;
    std::uint64_t settledByLook = 0; ///< First look that began after the stop was answered.
    std::function<void(stop_outcome)> done;
};

worker_agent::worker_agent(
    oriole::timer_service& timers, clock now, agent_timing timing, runtime_factory makeRuntime)
    : m_timers(timers)
    , m_clock(std::move(now))
    , m_timing(timing)
    , m_makeRuntime(std::move(makeRuntime))
    , m_leaseEnds(m_clock() + m_timing.longestLease())
{
}

worker_agent::~worker_agent()
{
    *m_alive = false;
}

bool worker_agent::takeHeartbeat(const worker_heartbeat& heartbeat)
{
    const auto& life = heartbeat.worker.life;
    const auto& known = m_worker.worker.life;
    if (m_runtime != nullptr) {
        if (life.bornUnixMs < known.bornUnixMs)
            return false;
        if (life == known && heartbeat.sequence < m_worker.sequence)
            return false;
    }
    const bool newLife = m_runtime == nullptr || life != known || heartbeat.address != m_worker.address;
    const bool wasDraining = !newLife && m_worker.worker.draining;
    m_worker = heartbeat;
    m_view.worker = heartbeat.worker;
    if (newLife) {
        oriole::logEvent(oriole::log_level::Info, "worker_life",
            { { "instance", life.instance }, { "born_unix_ms", life.bornUnixMs }, { "address", heartbeat.address },
                { "accelerators", heartbeat.worker.capacity.accelerators } });
        m_runtime = m_makeRuntime(heartbeat);
        m_noted = 0;
        m_view.active.clear();
        m_view.ended.clear();
        m_view.responsive = false;
        m_view.gone = false;
        m_failedLooks = 0;
        ++m_lookNumber;
        m_looking = false;
        look(milliseconds(0));
    } else if (heartbeat.worker.draining && !wasDraining) {
        oriole::logEvent(oriole::log_level::Info, "worker_drains", { { "left_ms", heartbeat.worker.drainRemainingMs } });
        sendReport();
    }
    return true;
}

void worker_agent::takeLeave(const std::string& instance)
{
    if (m_worker.worker.life.instance != instance)
        return;
    m_worker.worker.draining = true;
    m_view.worker.draining = true;
    sendReport();
}

bool worker_agent::attach(std::uint64_t epoch, std::shared_ptr<scheduler_link> link)
{
    if (epoch < m_epoch)
        return false;
    m_epoch = epoch;
    m_link = std::move(link);
    // The first report has to show what runs after all orders of earlier schedulers.
    ++m_lookNumber;
    m_looking = false;
    m_reportedAt = {};
    look(milliseconds(0));
    return true;
}

std::int64_t worker_agent::workerClock() const
{
    return m_clockMs + std::chrono::duration_cast<milliseconds>(m_clock() - m_clockAt).count();
}

void worker_agent::look(milliseconds wait)
{
    if (m_runtime == nullptr || m_looking)
        return;
    m_looking = true;
    const auto number = ++m_lookNumber;
    look_request request { m_epoch, m_noted, std::nullopt, wait };
    // A worker that may be gone is not given more time: what ran there is known to have ended when its lease has.
    const bool extends = permitted() && m_clockMs > 0 && m_failedLooks < looksUntilSilent;
    if (extends)
        request.deadlineMs = workerClock() + m_timing.lease.count();
    m_runtime->look(request, [this, number, extends, runtime = m_runtime, alive = m_alive](result<look_answer> answer) {
        if (!*alive || number != m_lookNumber)
            return;
        m_looking = false;
        // Another birth: the life that was asked for is over, and the next heartbeat tells of the new one.
        if (answer && answer.value().life.bornUnixMs != 0 && answer.value().life.bornUnixMs != m_worker.worker.life.bornUnixMs)
            answer = oriole::notRun(oriole::failure_kind::NotFound, "the worker was born anew");
        if (extends)
            m_leaseEnds = std::max(m_leaseEnds, m_clock() + m_timing.longestLease());
        takeLook(answer);
    });
}

void worker_agent::takeLook(const result<look_answer>& answer)
{
    if (!answer) {
        ++m_failedLooks;
        const bool refused = answer.error().kind == oriole::failure_kind::NotFound;
        const bool gone = (refused && m_failedLooks >= looksUntilSilent) || m_clock() > m_leaseEnds;
        const bool silent = refused || m_failedLooks >= looksUntilSilent;
        if (silent && (m_view.responsive || gone != m_view.gone)) {
            oriole::logEvent(oriole::log_level::Warning, "worker_silent",
                { { "reason", answer.error().reason }, { "gone", gone }, { "failed_looks", m_failedLooks } });
        }
        m_view.responsive = m_view.responsive && !silent;
        m_view.gone = gone;
        sendReport();
        return lookLater(failurePause);
    }

    const bool changed = !m_view.responsive || !sameRuns(m_view.active, answer.value().active)
        || m_view.ended.size() != answer.value().ended.size();
    m_failedLooks = 0;
    m_clockMs = answer.value().clockMs;
    m_clockAt = m_clock();
    m_view.active = answer.value().active;
    m_view.ended = answer.value().ended;
    std::erase_if(m_view.ended, [this](const ended_run& entry) { return entry.number <= m_noted; });
    m_view.responsive = true;
    m_view.gone = false;
    if (changed || m_clock() - m_reportedAt >= reportPeriod)
        sendReport();
    settleStops(answer.value());
    if (!m_view.ended.empty() || !m_stops.empty())
        return lookLater(shortPause);
    look(m_view.active.empty() ? idleLookWait : lookWait);
}

void worker_agent::lookLater(milliseconds delay)
{
    m_timers.subscribeOnce(delay, [this, alive = m_alive](time_point) {
        if (*alive)
            look(milliseconds(0));
    });
}

void worker_agent::sendReport()
{
    if (m_link == nullptr)
        return;
    const auto sentAt = m_clock();
    m_reportedAt = sentAt;
    m_link->report(m_view, [this, sentAt, link = m_link, alive = m_alive](bool decides) {
        if (!*alive || link != m_link)
            return;
        const bool before = permitted();
        if (decides)
            m_permittedUntil = std::max(m_permittedUntil, sentAt + m_timing.permission);
        if (!before && permitted() && m_looking) {
            // The look that waits now began without permission: the lease is extended at once.
            ++m_lookNumber;
            m_looking = false;
            look(milliseconds(0));
        }
    });
}

void worker_agent::start(std::uint64_t epoch, const worker_life& life, start_order order,
    std::function<void(start_outcome, std::string)> done)
{
    if (epoch != m_epoch)
        return done(start_outcome::Refused, "lower epoch");
    if (!permitted())
        return done(start_outcome::Refused, "no permission: the scheduler's last answer is too old");
    if (m_runtime == nullptr || life != m_worker.worker.life || m_clockMs == 0)
        return done(start_outcome::Refused, "another life of the worker");
    if (m_worker.worker.draining)
        return done(start_outcome::Refused, "the worker drains");
    if (m_failedLooks >= looksUntilSilent)
        return done(start_outcome::Refused, "the worker is silent");
    order.epoch = epoch;
    sendStart(std::move(order), 1, std::move(done));
}

void worker_agent::sendStart(start_order order, unsigned tries, std::function<void(start_outcome, std::string)> done)
{
    order.deadlineMs = workerClock() + m_timing.lease.count();
    m_leaseEnds = std::max(m_leaseEnds, m_clock() + m_timing.longestLease());
    const auto runtime = m_runtime;
    runtime->start(order, [this, order, tries, done = std::move(done), runtime, alive = m_alive](result<start_answer> answer) {
        if (!*alive)
            return;
        if (answer && answer.value().accepted)
            return done(start_outcome::Accepted, {});
        // An earlier try may still take effect, whatever this one was told.
        if (answer)
            return done(tries > 1 ? start_outcome::Unknown : start_outcome::Refused, answer.value().reason);
        if (answer.error().ran == oriole::verdict::NotRun && tries == 1)
            return done(start_outcome::Refused, answer.error().reason);
        if (tries >= maxStartTries || runtime != m_runtime || !permitted())
            return done(start_outcome::Unknown, answer.error().reason);
        sendStart(order, tries + 1, done);
    });
}

void worker_agent::stop(
    std::uint64_t epoch, const worker_life& life, const run_id& run, std::function<void(stop_outcome)> done)
{
    if (epoch != m_epoch)
        return done(stop_outcome::Unanswered);
    if (m_runtime == nullptr)
        return done(stop_outcome::Unanswered);
    if (life != m_worker.worker.life)
        return done(stop_outcome::Absent);
    auto request = std::make_shared<stop_request>();
    request->run = run;
    request->epoch = epoch;
    request->life = life;
    request->began = m_clock();
    request->done = std::move(done);
    sendStop(request);
}

void worker_agent::sendStop(const std::shared_ptr<stop_request>& request)
{
    if (request->life != m_worker.worker.life)
        return request->done(stop_outcome::Absent);
    const auto runtime = m_runtime;
    runtime->stop(request->run, request->epoch, [this, request, runtime, alive = m_alive](const result<bool>& answer) {
        if (!*alive)
            return;
        if (answer) {
            request->settledByLook = m_lookNumber + 1;
            m_stops.push_back(request);
            ++m_lookNumber;
            m_looking = false;
            return look(milliseconds(0));
        }
        if (m_clock() - request->began > stopPatience)
            return request->done(stop_outcome::Unanswered);
        m_timers.subscribeOnce(stopPause, [this, request, alive](time_point) {
            if (*alive)
                sendStop(request);
        });
    });
}

void worker_agent::settleStops(const look_answer& answer)
{
    std::vector<std::shared_ptr<stop_request>> settled;
    for (const auto& request : m_stops) {
        if (m_lookNumber >= request->settledByLook)
            settled.push_back(request);
    }
    std::erase_if(m_stops, [this](const auto& request) { return m_lookNumber >= request->settledByLook; });
    for (const auto& request : settled)
        request->done(lists(answer, request->run) ? stop_outcome::Ending : stop_outcome::Absent);
}

void worker_agent::acknowledge(std::uint64_t epoch, const worker_life& life, std::uint64_t upTo)
{
    if (epoch != m_epoch || life != m_worker.worker.life || upTo <= m_noted)
        return;
    m_noted = upTo;
    std::erase_if(m_view.ended, [upTo](const ended_run& entry) { return entry.number <= upTo; });
}

} // namespace fleet
