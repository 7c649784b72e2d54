#include "platform_worker.hpp"

#include <fleet/model/unix_time.hpp>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <sstream>
#include <utility>

namespace fleet::standin {

namespace {

using nlohmann::json;
using oriole::milliseconds;
using oriole::time_point;

constexpr milliseconds tickPeriod { 5 };
constexpr milliseconds failureDelay { 100 };
constexpr milliseconds shortestStop { 20 };
constexpr milliseconds longestStop { 500 };
constexpr milliseconds heartbeatDeadline { 1000 };
constexpr milliseconds shortestDelay { 300 };
constexpr milliseconds longestDelay { 8000 };
// A late call whose worker is down is tried again until the worker is back.
constexpr milliseconds downDelay { 50 };
constexpr std::size_t maxListedEnds = 500;

} // namespace

platform_worker::platform_worker(oriole::event_loop& loop, worker_settings settings, soak::soak_history& history, std::uint64_t seed,
    std::function<double()> seconds, std::function<milliseconds(const std::string&)> runTime)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_history(history)
    , m_random(seed)
    , m_seconds(std::move(seconds))
    , m_runTime(std::move(runTime))
    , m_listener(std::make_unique<http_listener>(loop,
          listener_settings { m_settings.listenAddress, { "X-Expect-Instance" }, 1U << 20U },
          [this](const incoming_request& request, const http_listener::responder& respond) { handle(request, respond); }))
    , m_agent(std::make_unique<http_client>(loop, m_settings.agentAddress))
{
    restart(false);
    m_loop.timers().subscribeEvery(tickPeriod, [this](time_point now) { tick(now); });
}

void platform_worker::crash()
{
    m_up = false;
    while (!m_active.empty()) {
        auto& record = m_history.runs[m_active.begin()->second.record];
        record.endedAt = m_seconds();
        record.outcome = "crashed";
        m_active.erase(m_active.begin());
    }
    m_ends.clear();
    for (auto& waiting : m_polls)
        m_unanswered.push_back(std::move(waiting.respond));
    m_polls.clear();
}

void platform_worker::loseForGood()
{
    m_lost = true;
    crash();
}

void platform_worker::restart(bool sameInstance)
{
    if (m_lost)
        return;
    m_up = true;
    if (!sameInstance) {
        char id[16];
        std::snprintf(id, sizeof id, "i-%08x", static_cast<unsigned>(m_random()));
        m_instance = id;
    }
    m_bornUnixMs = unixMilliseconds();
    m_clockStart = m_loop.timers().now() - milliseconds(1);
    m_sequence = 0;
    m_token = 0;
    m_lastEnd = 0;
    m_leaseEndMs = 0;
    m_highestEnded.clear();
    // Until its first heartbeat its agent can learn of the restart only from its answers.
    scheduleHeartbeat(between(milliseconds(0), m_settings.heartbeat));
}

json platform_worker::heartbeat() const
{
    return { { "service", m_settings.service }, { "address", m_settings.announcedAddress }, { "zone", m_settings.failureDomain },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
        { "capacity", { { "cpu", m_settings.millicores }, { "memMb", m_settings.memoryMb }, { "gpu", m_settings.accelerators } } },
        { "labels", { "a", m_settings.rack } }, { "clockMs", clockMs() }, { "sequence", m_sequence + 1 }, { "born", m_bornUnixMs } };
}

void platform_worker::sendHeartbeat()
{
    if (!m_up)
        return;
    const auto body = heartbeat().dump();
    ++m_sequence;
    m_agent->exchange({ kj::HttpMethod::PUT, "/api/instances/" + m_instance, {}, body, heartbeatDeadline }, [](const auto&) {});
}

/// The period is approximate.
void platform_worker::scheduleHeartbeat(milliseconds delay)
{
    m_loop.timers().cancel(m_nextHeartbeat);
    m_nextHeartbeat = m_loop.timers().subscribeOnce(delay, [this](time_point) {
        sendHeartbeat();
        scheduleHeartbeat(between(m_settings.heartbeat * 9 / 10, m_settings.heartbeat * 11 / 10));
    });
}

milliseconds platform_worker::between(milliseconds from, milliseconds to)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(m_random));
}

std::int64_t platform_worker::clockMs() const
{
    const auto passed = std::chrono::duration<double, std::milli>(m_loop.timers().now() - m_clockStart);
    return static_cast<std::int64_t>(passed.count() * m_settings.clockRate);
}

void platform_worker::handle(const incoming_request& request, const http_listener::responder& respond)
{
    // Without an answer, as of a machine without power; a refused connection is the proxy's matter.
    if (!m_up) {
        m_unanswered.push_back(respond);
        return;
    }
    if (m_disruption.othersAnswer)
        return respond({ 421, "{}", {} });
    const auto expected = request.headers.find("X-Expect-Instance");
    if (expected != request.headers.end() && expected->second != m_instance)
        return respond({ 421, "{}", {} });
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return respond({ 400, "{}", {} });
    const bool isPoll = request.target == "/api/hold";
    if (happens(isPoll ? m_disruption.latePolls : m_disruption.lateOrders)) {
        carryOutLater(request.target, body, between(shortestDelay, longestDelay));
        m_unanswered.push_back(respond);
        return;
    }
    if (isPoll)
        return poll(body, respond, false);
    auto answer = serve(request.target, body, false);
    if (happens(m_disruption.lostAnswers))
        m_unanswered.push_back(respond);
    else
        respond(std::move(answer));
}

/// A call is addressed to an instance id, so a later incarnation with the same id carries it out as well.
void platform_worker::carryOutLater(const std::string& target, const json& body, milliseconds delay)
{
    m_loop.timers().subscribeOnce(delay, [this, target, body, instance = m_instance](time_point) {
        if (instance != m_instance)
            return;
        if (!m_up)
            carryOutLater(target, body, downDelay);
        else if (target == "/api/hold")
            poll(
                body, [](const outgoing_response&) {}, true);
        else
            serve(target, body, true);
    });
}

outgoing_response platform_worker::serve(const std::string& target, const json& body, bool late)
{
    try {
        if (isFenced(body))
            return refusal("fence");
        if (target == "/api/run-start")
            return start(body, late);
        if (target == "/api/run-stop")
            return stop(body);
    } catch (const json::exception&) {
        return { 400, "{}", {} };
    }
    return { 404, "{}", {} };
}

bool platform_worker::isFenced(const json& body)
{
    const auto token = body.value("fencingToken", std::uint64_t { 0 });
    if (token < m_token)
        return true;
    m_token = token;
    return false;
}

outgoing_response platform_worker::refusal(const char* reason) const
{
    return { 409, json { { "clockMs", clockMs() }, { "reason", reason } }.dump(), {} };
}

outgoing_response platform_worker::start(const json& body, bool late)
{
    const auto task = body.at("taskId").get<std::string>();
    const auto attempt = body.at("attempt").get<unsigned>();
    const auto deadline = body.at("deadlineMs").get<std::int64_t>();
    const auto running = m_active.find(task);
    if (running != m_active.end() && running->second.attempt == attempt) {
        extendLease(deadline);
        return { 200, json { { "clockMs", clockMs() } }.dump(), {} };
    }
    if (deadline <= clockMs())
        return refusal("late");
    extendLease(deadline);
    const auto ended = m_highestEnded.find(task);
    if (ended != m_highestEnded.end() && attempt <= ended->second)
        return refusal("old");
    // Tasks of the soak take a fourth of the worker each.
    constexpr std::size_t maxActive = 4;
    if (running != m_active.end() || m_active.size() >= maxActive)
        return refusal("room");
    active_task run;
    run.record = m_history.runs.size();
    run.attempt = attempt;
    run.startedAt = m_loop.timers().now();
    run.runTime = m_runTime(task);
    soak::run_record record;
    record.task = task;
    record.attempt = attempt;
    record.worker = m_settings.name;
    record.instance = m_instance;
    record.spec = body.at("spec").get<std::string>();
    record.startedAt = m_seconds();
    std::ostringstream order;
    order << (late ? "late " : "") << "start, token " << m_token << ", deadline " << deadline << " at clock " << clockMs() << " of incarnation "
          << m_bornUnixMs;
    record.order = order.str();
    m_history.runs.push_back(std::move(record));
    m_active.emplace(task, run);
    return { 200, json { { "clockMs", clockMs() } }.dump(), {} };
}

outgoing_response platform_worker::stop(const json& body)
{
    const auto task = body.at("taskId").get<std::string>();
    const auto attempt = body.at("attempt").get<unsigned>();
    m_highestEnded[task] = std::max(m_highestEnded[task], attempt);
    if (const auto running = m_active.find(task); running != m_active.end() && running->second.attempt <= attempt && !running->second.stopsAt)
        running->second.stopsAt = m_loop.timers().now() + between(shortestStop, longestStop);
    return { 200, json { { "clockMs", clockMs() } }.dump(), {} };
}

void platform_worker::poll(const json& body, const http_listener::responder& respond, bool late)
{
    if (isFenced(body))
        return respond(refusal("fence"));
    if (const auto deadline = body.find("deadlineMs"); deadline != body.end())
        extendLease(deadline->get<std::int64_t>());
    const auto now = m_loop.timers().now();
    const milliseconds wait(body.value("waitMs", 0));
    std::ostringstream origin;
    origin << (late ? "late " : "") << "poll, token " << m_token << ", lastSeen " << body.value("lastSeen", 0) << ", wait " << wait.count()
           << " ms, carried out at " << m_seconds() << " by incarnation " << m_bornUnixMs;
    m_polls.push_back({ respond, now + wait, body.value("lastSeen", std::uint64_t { 0 }), origin.str() });
    answerPolls(now);
}

outgoing_response platform_worker::lists() const
{
    json active = json::array();
    for (const auto& [task, run] : m_active) {
        const double passed = std::chrono::duration<double, std::milli>(m_loop.timers().now() - run.startedAt).count();
        const auto percent = std::min(100.0, 100.0 * passed / static_cast<double>(std::max<std::int64_t>(1, run.runTime.count())));
        active.push_back({ task, run.attempt, "", percent, 0 });
    }
    json finished = json::array();
    for (const auto& end : m_ends) {
        if (finished.size() == maxListedEnds)
            break;
        const auto& record = m_history.runs[end.record];
        finished.push_back({ end.number, record.task, record.attempt, record.outcome, "" });
    }
    return { 200, json { { "clockMs", clockMs() }, { "born", m_bornUnixMs }, { "active", active }, { "finished", finished } }.dump(), {} };
}

void platform_worker::acknowledge(const waiting_poll& waiting)
{
    std::erase_if(m_ends, [&](const listed_end& end) {
        if (end.number > waiting.acknowledgedUpTo)
            return false;
        auto& record = m_history.runs[end.record];
        record.noted = !end.lapsed;
        record.acknowledgement = "end " + std::to_string(end.number) + " acknowledged at " + std::to_string(m_seconds()) + " by " + waiting.origin;
        return true;
    });
}

void platform_worker::extendLease(std::int64_t deadlineMs)
{
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(deadlineMs, clockMs() + m_settings.maxLease.count()));
}

void platform_worker::endRun(std::map<std::string, active_task>::iterator run, const char* outcome)
{
    auto& record = m_history.runs[run->second.record];
    record.endedAt = m_seconds();
    record.outcome = outcome;
    m_highestEnded[run->first] = std::max(m_highestEnded[run->first], run->second.attempt);
    m_ends.push_back({ ++m_lastEnd, run->second.record, false });
    m_active.erase(run);
}

void platform_worker::tick(time_point now)
{
    if (!m_up)
        return;
    const bool lapsed = clockMs() > m_leaseEndMs;
    for (auto& end : m_ends)
        end.lapsed = end.lapsed || lapsed;
    for (auto entry = m_active.begin(); entry != m_active.end();) {
        const auto run = entry++;
        const auto passed = now - run->second.startedAt;
        if (lapsed)
            endRun(run, "lapsed");
        else if (run->second.stopsAt && *run->second.stopsAt <= now)
            endRun(run, "stopped");
        else if (m_disruption.failsAll && passed >= failureDelay)
            endRun(run, "failed");
        else if (passed >= run->second.runTime)
            endRun(run, "done");
    }
    answerPolls(now);
}

void platform_worker::answerPolls(time_point now)
{
    // The last seen number of a poll that waits covers the ends that occur meanwhile.
    for (const auto& waiting : m_polls)
        acknowledge(waiting);
    std::vector<http_listener::responder> due;
    std::erase_if(m_polls, [&](const waiting_poll& waiting) {
        if (m_ends.empty() && now < waiting.until)
            return false;
        due.push_back(waiting.respond);
        return true;
    });
    for (const auto& respond : due)
        respond(lists());
}

} // namespace fleet::standin
