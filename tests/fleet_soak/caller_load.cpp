#include "caller_load.hpp"

#include <fleet/model/unix_time.hpp>

#include <cstdio>

namespace fleet::soak {

namespace {

using nlohmann::json;
using oriole::milliseconds;

constexpr milliseconds callDeadline { 3000 };
constexpr milliseconds retryDelay { 400 };
constexpr milliseconds statePeriod { 1000 };
constexpr milliseconds cancelPeriod { 2500 };
constexpr unsigned maxTries = 4;
// Each of these is one task, near the data of a rack, that is due until the run ends.
constexpr unsigned jobsPerSchedule = 40;
constexpr unsigned scheduleRepeats = 200;
constexpr milliseconds scheduleInterval { 1500 };

/// @brief Makes a job a schedule whose data lies in a rack. Its texts and sizes stay as they are.
void makeSchedule(json& body, const std::string& rack)
{
    body["repeatCount"] = scheduleRepeats;
    body["intervalMs"] = scheduleInterval.count();
    body["startAtMs"] = unixMilliseconds();
    auto& phase = body["phases"][0];
    phase.erase("count");
    phase["affinity"] = rack;
    body["phases"] = json::array({ phase });
}

bool isEnded(const std::string& state)
{
    return state == "completed" || state == "failed" || state == "cancelled" || state == "410";
}

} // namespace

caller_load::caller_load(
    oriole::event_loop& loop, fleet_deployment& deployment, soak_history& history, std::uint64_t seed, double jobsPerSecond)
    : m_loop(loop)
    , m_deployment(deployment)
    , m_history(history)
    , m_random(seed + 77)
    , m_giveUps(seed + 78)
{
    const milliseconds period(static_cast<std::int64_t>(1000 / jobsPerSecond));
    m_loop.timers().subscribeEvery(period, [this](oriole::time_point) { submitNext(); });
    m_loop.timers().subscribeEvery(cancelPeriod, [this](oriole::time_point) { cancelOne(); });
    m_loop.timers().subscribeEvery(statePeriod, [this](oriole::time_point) { askForStates(); });
}

http_client& caller_load::clientOf(unsigned entry)
{
    auto& client = m_clients[entry];
    if (client == nullptr)
        client = std::make_unique<http_client>(m_loop, m_deployment.callerAddress(m_deployment.entries()[entry]));
    return *client;
}

http_request caller_load::request(kj::HttpMethod method, const std::string& target) const
{
    return { method, target, { { "X-Key", firstKey } }, {}, callDeadline, callerHost };
}

void caller_load::submitNext()
{
    if (!m_submits)
        return;
    auto what = std::make_shared<submission>();
    char id[24];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(m_random()));
    what->id = id;
    what->prefix = below(4) == 0 ? urgentPrefix : queuePrefix;
    job_record job;
    job.id = id;
    job.spec = "work " + std::to_string(++m_submitted);
    // Any text is allowed, also one with U+0000.
    if (m_submitted % 5 == 0)
        job.spec += std::string("\0 \xc3\xa9", 4);
    job.maxAttempts = maxAttempts;
    json steps = json::array();
    for (unsigned step = 0, count = 1 + below(2); step < count; ++step) {
        job.stepSizes.push_back(1 + below(4));
        json phase { { "count", job.stepSizes.back() }, { "cpu", 4000 }, { "memMb", 16'000 }, { "gpu", 2 }, { "estimateMs", 3000 } };
        if (step > 0)
            phase["after"] = json::array({ step - 1 });
        steps.push_back(std::move(phase));
    }
    json body { { "spec", job.spec }, { "phases", steps } };
    if (m_submitted % jobsPerSchedule == 1) {
        const auto& workers = m_deployment.workers();
        makeSchedule(body, workers[m_submitted / jobsPerSchedule % workers.size()].worker->settings().rack);
        job.stepSizes = { 1 };
    }
    what->body = body.dump();
    m_history.jobs.emplace(what->id, std::move(job));
    m_prefixes[what->id] = what->prefix;
    submit(what);
}

void caller_load::submit(const std::shared_ptr<submission>& what)
{
    auto call = request(kj::HttpMethod::POST, what->prefix + what->id);
    call.body = what->body;
    ++what->tries;
    clientOf(below(static_cast<unsigned>(m_deployment.entries().size())))
        .exchange(std::move(call), [this, what](const result<http_response>& answer) { handleSubmission(what, answer); });
}

void caller_load::submitAgain(const std::shared_ptr<submission>& what)
{
    if (what->tries < maxTries)
        m_loop.timers().subscribeOnce(retryDelay, [this, what](oriole::time_point) { submit(what); });
}

void caller_load::handleSubmission(const std::shared_ptr<submission>& what, const result<http_response>& answer)
{
    auto& state = m_history.jobs.at(what->id).state;
    const unsigned status = answer ? answer.value().status : 0;
    if (status >= 200 && status < 300) {
        state = handing_in::Accepted;
        return;
    }
    const bool rejected = status == 429 || status == 503 || status == 404 || status == 401
        || (!answer && answer.error().ran == oriole::verdict::NotRun);
    // Only a job all of whose attempts were rejected counts as rejected.
    if (rejected && what->tries == 1)
        state = handing_in::Rejected;
    if (!rejected && state == handing_in::Rejected)
        state = handing_in::Unsettled;
    if (!rejected && m_giveUps() % 2 == 0)
        return cancelUnsettled(what->id);
    submitAgain(what);
}

/// @brief A client that is told nothing gives up.
void caller_load::cancelUnsettled(const std::string& id)
{
    m_history.jobs.at(id).cancelSent = true;
    clientOf(static_cast<unsigned>(m_giveUps() % m_deployment.entries().size()))
        .exchange(request(kj::HttpMethod::DELETE, m_prefixes.at(id) + id), [this, id](const result<http_response>& answer) {
            if (answer && answer.value().status == 410)
                m_history.jobs.at(id).deniedAt = m_deployment.seconds();
        });
}

void caller_load::cancelOne()
{
    if (!m_submits || m_history.jobs.empty())
        return;
    auto job = m_history.jobs.begin();
    std::advance(job, below(static_cast<unsigned>(m_history.jobs.size())));
    if (job->second.state != handing_in::Accepted || isEnded(job->second.lastState))
        return;
    job->second.cancelSent = true;
    clientOf(below(static_cast<unsigned>(m_deployment.entries().size())))
        .exchange(request(kj::HttpMethod::DELETE, m_prefixes.at(job->first) + job->first), [](const auto&) {});
}

void caller_load::askForStates()
{
    for (auto& [id, job] : m_history.jobs) {
        if (job.state == handing_in::Accepted && !isEnded(job.lastState))
            askForState(job);
    }
}

void caller_load::askForState(job_record& job)
{
    const auto id = job.id;
    clientOf(below(static_cast<unsigned>(m_deployment.entries().size())))
        .exchange(request(kj::HttpMethod::GET, m_prefixes.at(id) + id), [this, id](const result<http_response>& answer) {
            if (!answer || (answer.value().status != 200 && answer.value().status != 410))
                return;
            auto& asked = m_history.jobs.at(id);
            const auto body = json::parse(answer.value().body, nullptr, false);
            // Right after its acceptance a job may not be known yet; it is asked for again.
            const auto state = answer.value().status == 410 ? std::string("unknown")
                : body.is_object()                          ? body.value("state", "unknown")
                                                            : std::string("unknown");
            if (isEnded(asked.lastState))
                return;
            asked.lastState = state;
            asked.shown.emplace_back(m_deployment.seconds(), state);
        });
}

bool caller_load::allEnded() const
{
    return std::all_of(m_history.jobs.begin(), m_history.jobs.end(), [](const auto& entry) {
        return entry.second.state != handing_in::Accepted || isEnded(entry.second.lastState);
    });
}

} // namespace fleet::soak
