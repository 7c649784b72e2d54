#include "floor.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds tickPeriod { 10 };
constexpr milliseconds heartbeatPeriod { 1500 };
constexpr milliseconds heartbeatRetry { 300 };
constexpr int heartbeatTimeoutMs = 1000;
constexpr milliseconds longestLease { 6000 };
constexpr milliseconds gangTimeout { 3000 };
constexpr milliseconds stopTime { 50 };
constexpr std::size_t maxListedEnds = 500;
constexpr std::int64_t minionCpu = 128'000;
constexpr std::int64_t minionMemMb = 524'288;
constexpr std::int64_t minionGpu = 8;

double millisecondsBetween(steady_time from, steady_time to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

std::string jobOf(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

/// @brief ID.K.STEP of a task.
std::string phaseOf(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

trial_record::trial_record(const std::string& path)
    : m_path(path)
    , m_began(steady_clock::now())
{
    std::ofstream(m_path, std::ios::trunc);
}

double trial_record::seconds() const
{
    return std::chrono::duration<double>(steady_clock::now() - m_began).count();
}

void trial_record::add(const std::string& line)
{
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", seconds());
    const std::lock_guard lock(m_mutex);
    std::ofstream(m_path, std::ios::app) << stamp << line << '\n';
}

struct minion_floor::active_run {
    std::size_t record = 0;
    std::string task;
    unsigned attempt = 0;
    run_course course;
    steady_time arrivedAt;
    steady_time worksSince;
    bool works = false;
    bool stopping = false;
    steady_time stopsAt;
    unsigned gangSize = 0; ///< 0 for a task that works alone.
};

struct minion_floor::minion {
    minion_settings settings;
    std::string instance;
    std::int64_t bornMs = 0;
    steady_time bornAt;
    std::uint64_t token = 0;
    std::int64_t leaseEndMs = 0;
    std::map<std::string, active_run> active;
    std::map<std::string, unsigned> highestEnded;
    struct listed_end {
        std::uint64_t number = 0;
        std::size_t record = 0;
        bool lapsed = false;
    };
    std::vector<listed_end> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t sequence = 0;
    std::thread beats;
    std::unique_ptr<http_server> server;

    [[nodiscard]] std::int64_t clockMs() const { return static_cast<std::int64_t>(millisecondsBetween(bornAt, steady_clock::now())) + 1; }
    void extendLease(std::int64_t deadlineMs)
    {
        leaseEndMs = std::max(leaseEndMs, std::min<std::int64_t>(deadlineMs, clockMs() + longestLease.count()));
    }
};

minion_floor::minion_floor(trial_record& record, course_rule courses)
    : m_record(record)
    , m_courses(std::move(courses))
    , m_ticker([this] { tick(); })
{
}

minion_floor::~minion_floor()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ending = true;
    }
    m_ticker.join();
    for (auto& each : m_minions) {
        each->beats.join();
        each->server.reset();
    }
}

void minion_floor::addMinion(const minion_settings& settings)
{
    auto added = std::make_unique<minion>();
    added->settings = settings;
    char id[16];
    std::snprintf(id, sizeof id, "i-%08x", static_cast<unsigned>(std::hash<std::string> {}(settings.name)));
    added->instance = id;
    added->bornMs = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    added->bornAt = steady_clock::now();
    auto* self = added.get();
    added->server = std::make_unique<http_server>(
        settings.ip, settings.appPort, [this, self](const http_request& request) { return handle(*self, request); });
    added->beats = std::thread([this, self] { beat(*self); });
    const std::lock_guard lock(m_mutex);
    m_minions.push_back(std::move(added));
}

void minion_floor::describeJob(const std::string& id, const json& body)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[id] = body;
}

std::vector<run_record> minion_floor::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

json minion_floor::heartbeatOf(const minion& self)
{
    return { { "service", self.settings.service }, { "address", self.settings.ip + ":" + std::to_string(self.settings.appPort) },
        { "zone", self.settings.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
        { "capacity", { { "cpu", minionCpu }, { "memMb", minionMemMb }, { "gpu", minionGpu } } }, { "labels", { "a", self.settings.rack } },
        { "clockMs", self.clockMs() }, { "sequence", self.sequence }, { "born", self.bornMs } };
}

std::pair<std::string, json> minion_floor::describeMinion(std::size_t number)
{
    const std::lock_guard lock(m_mutex);
    const auto& self = *m_minions.at(number);
    return { self.instance, heartbeatOf(self) };
}

void minion_floor::beat(minion& self)
{
    auto next = steady_clock::now();
    while (true) {
        http_request request { "PUT", "/api/instances/" + self.instance, {}, {} };
        {
            const std::lock_guard lock(m_mutex);
            if (m_ending)
                return;
            ++self.sequence;
            request.body = heartbeatOf(self).dump();
        }
        const auto answer = exchange(self.settings.ip, self.settings.agentPort, request, heartbeatTimeoutMs);
        next = steady_clock::now() + (answer.status == 200 ? heartbeatPeriod : heartbeatRetry);
        while (steady_clock::now() < next) {
            std::this_thread::sleep_for(milliseconds(20));
            const std::lock_guard lock(m_mutex);
            if (m_ending)
                return;
        }
    }
}

http_answer minion_floor::refuse(const minion& self, const char* reason)
{
    return { 409, json { { "clockMs", self.clockMs() }, { "reason", reason } }.dump() };
}

http_answer minion_floor::handle(minion& self, const http_request& request)
{
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != self.instance)
        return { 421, "{}" };
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return { 400, "{}" };
    {
        const std::lock_guard lock(m_mutex);
        const auto token = body.value("fencingToken", std::uint64_t { 0 });
        if (token < self.token)
            return refuse(self, "fence");
        self.token = token;
    }
    try {
        if (request.target == "/api/run-start")
            return start(self, body);
        if (request.target == "/api/run-stop")
            return stop(self, body);
        if (request.target == "/api/hold")
            return hold(self, body);
    } catch (const json::exception&) {
        return { 400, "{}" };
    }
    return { 404, "{}" };
}

const json* minion_floor::stepOf(const std::string& task) const
{
    const auto job = m_jobs.find(jobOf(task));
    if (job == m_jobs.end())
        return nullptr;
    const auto phase = phaseOf(task);
    const auto step = std::stoul(phase.substr(phase.rfind('.') + 1));
    const auto& phases = job->second.at("phases");
    return step < phases.size() ? &phases.at(step) : nullptr;
}

bool minion_floor::hasRoom(const minion& self, const json& step) const
{
    auto cpu = step.value("cpu", std::int64_t { 0 });
    auto memMb = step.value("memMb", std::int64_t { 0 });
    auto gpu = step.value("gpu", std::int64_t { 0 });
    for (const auto& [task, run] : self.active) {
        const auto* other = stepOf(task);
        if (other == nullptr)
            continue;
        cpu += other->value("cpu", std::int64_t { 0 });
        memMb += other->value("memMb", std::int64_t { 0 });
        gpu += other->value("gpu", std::int64_t { 0 });
    }
    return cpu <= minionCpu && memMb <= minionMemMb && gpu <= minionGpu;
}

http_answer minion_floor::start(minion& self, const json& body)
{
    const auto task = body.at("taskId").get<std::string>();
    const auto attempt = body.at("attempt").get<unsigned>();
    const auto deadline = body.at("deadlineMs").get<std::int64_t>();
    const std::lock_guard lock(m_mutex);
    const auto running = self.active.find(task);
    if (running != self.active.end() && running->second.attempt == attempt) {
        self.extendLease(deadline);
        return { 200, json { { "clockMs", self.clockMs() } }.dump() };
    }
    if (deadline <= self.clockMs())
        return refuse(self, "late");
    self.extendLease(deadline);
    const auto ended = self.highestEnded.find(task);
    if (ended != self.highestEnded.end() && attempt <= ended->second)
        return refuse(self, "old");
    const auto* step = stepOf(task);
    if (running != self.active.end() || (step != nullptr && !hasRoom(self, *step)))
        return refuse(self, "room");
    active_run run;
    run.record = m_runs.size();
    run.task = task;
    run.attempt = attempt;
    run.course = m_courses(task, attempt);
    run.arrivedAt = run.worksSince = steady_clock::now();
    run.gangSize = step != nullptr && step->value("gang", false) ? step->value("count", 1U) : 0;
    run.works = run.gangSize == 0;
    m_runs.push_back({ task, attempt, self.settings.name, body.at("spec").get<std::string>(), m_record.seconds(), -1, {}, false });
    self.active.emplace(task, run);
    m_record.add("start " + task + " attempt " + std::to_string(attempt) + " on " + self.settings.name);
    return { 200, json { { "clockMs", self.clockMs() } }.dump() };
}

http_answer minion_floor::stop(minion& self, const json& body)
{
    const auto task = body.at("taskId").get<std::string>();
    const auto attempt = body.at("attempt").get<unsigned>();
    const std::lock_guard lock(m_mutex);
    self.highestEnded[task] = std::max(self.highestEnded[task], attempt);
    if (const auto running = self.active.find(task);
        running != self.active.end() && running->second.attempt <= attempt && !running->second.stopping) {
        running->second.stopping = true;
        running->second.stopsAt = steady_clock::now() + stopTime;
    }
    return { 200, json { { "clockMs", self.clockMs() } }.dump() };
}

http_answer minion_floor::hold(minion& self, const json& body)
{
    const auto until = steady_clock::now() + milliseconds(body.value("waitMs", 0));
    const auto seen = body.value("lastSeen", std::uint64_t { 0 });
    std::unique_lock lock(m_mutex);
    if (const auto deadline = body.find("deadlineMs"); deadline != body.end())
        self.extendLease(deadline->get<std::int64_t>());
    while (true) {
        std::erase_if(self.ends, [&](const minion::listed_end& end) {
            if (end.number > seen)
                return false;
            m_runs[end.record].noted = !end.lapsed;
            return true;
        });
        if (!self.ends.empty() || steady_clock::now() >= until || m_ending)
            break;
        lock.unlock();
        std::this_thread::sleep_for(tickPeriod);
        lock.lock();
    }
    json active = json::array();
    const auto now = steady_clock::now();
    for (const auto& [task, run] : self.active) {
        const double passed = run.works ? millisecondsBetween(run.worksSince, now) : 0;
        const auto& full = run.course.fullAfter.count() > 0 ? run.course.fullAfter : run.course.work;
        active.push_back({ task, run.attempt, "", std::min(100.0, 100 * passed / static_cast<double>(full.count())), 0 });
    }
    json finished = json::array();
    for (const auto& end : self.ends) {
        if (finished.size() == maxListedEnds)
            break;
        const auto& record = m_runs[end.record];
        finished.push_back({ end.number, record.task, record.attempt, record.how, "" });
    }
    return { 200, json { { "clockMs", self.clockMs() }, { "born", self.bornMs }, { "active", active }, { "finished", finished } }.dump() };
}

void minion_floor::endRun(minion& self, const std::string& task, const std::string& how)
{
    const auto found = self.active.find(task);
    if (found == self.active.end())
        return;
    auto& record = m_runs[found->second.record];
    record.endedAt = m_record.seconds();
    record.how = how;
    self.highestEnded[task] = std::max(self.highestEnded[task], found->second.attempt);
    self.ends.push_back({ ++self.lastEnd, found->second.record, false });
    m_record.add("end " + task + " attempt " + std::to_string(found->second.attempt) + " " + how + " on " + self.settings.name);
    self.active.erase(found);
}

std::vector<std::pair<minion_floor::minion*, minion_floor::active_run*>> minion_floor::membersOf(const active_run& run)
{
    std::vector<std::pair<minion*, active_run*>> members;
    for (auto& each : m_minions) {
        for (auto& [task, other] : each->active) {
            if (phaseOf(task) == phaseOf(run.task) && other.attempt == run.attempt)
                members.emplace_back(each.get(), &other);
        }
    }
    return members;
}

/// The members work from the moment on when all are present, and end `done` together; if one ends otherwise, the others are broken.
void minion_floor::advanceGang(const active_run& run, steady_time now)
{
    const auto phase = phaseOf(run.task);
    const bool hadEnd = std::any_of(m_runs.begin(), m_runs.end(), [&](const run_record& record) {
        return record.attempt == run.attempt && record.endedAt >= 0 && phaseOf(record.task) == phase;
    });
    const auto members = membersOf(run);
    std::vector<std::pair<minion*, std::string>> ending;
    std::string how;
    if (hadEnd)
        how = "broken";
    else if (members.size() == run.gangSize) {
        for (const auto& [host, member] : members) {
            if (!member->works) {
                member->works = true;
                member->worksSince = now;
            }
        }
        if (now - run.worksSince >= run.course.work)
            how = run.course.end;
    } else if (now - run.arrivedAt >= gangTimeout)
        how = "alone";
    if (how.empty())
        return;
    // One of the members ends by its own fault, the others follow.
    const bool togetherOrBroken = how == "done" || how == "broken";
    for (const auto& [host, member] : members) {
        if (togetherOrBroken || ending.empty())
            ending.emplace_back(host, member->task);
    }
    for (const auto& [host, task] : ending)
        endRun(*host, task, how);
}

void minion_floor::advance(minion& self)
{
    const auto now = steady_clock::now();
    const bool lapsed = self.clockMs() > self.leaseEndMs;
    for (auto& end : self.ends)
        end.lapsed = end.lapsed || lapsed;
    std::vector<std::string> tasks;
    for (const auto& [task, run] : self.active)
        tasks.push_back(task);
    for (const auto& task : tasks) {
        const auto found = self.active.find(task);
        if (found == self.active.end())
            continue;
        const auto run = found->second;
        if (lapsed)
            endRun(self, task, "lapsed");
        else if (run.stopping) {
            if (run.stopsAt <= now)
                endRun(self, task, "stopped");
        } else if (run.gangSize > 0)
            advanceGang(run, now);
        else if (now - run.worksSince >= run.course.work)
            endRun(self, task, run.course.end);
    }
}

void minion_floor::tick()
{
    while (true) {
        std::this_thread::sleep_for(tickPeriod);
        const std::lock_guard lock(m_mutex);
        if (m_ending)
            return;
        for (auto& each : m_minions)
            advance(*each);
    }
}

} // namespace review
