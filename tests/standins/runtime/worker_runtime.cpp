#include "worker_runtime.hpp"

#include <algorithm>

namespace standin {

namespace {

constexpr milliseconds tickPeriod { 5 };

std::vector<std::string> split(const std::string& path)
{
    std::vector<std::string> parts;
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const auto end = std::min(path.find('/', begin), path.size());
        parts.push_back(oriole::decodeUrl(path.substr(begin, end - begin)));
        begin = end + 1;
    }
    return parts;
}

/// @brief Takes a task id and an action apart. The HTTP library has decoded the %2F of the id already.
std::pair<std::string, std::string> splitTaskPath(std::vector<std::string> parts)
{
    static const std::set<std::string> actions { "checkpoint", "stop", "throttle" };
    std::string action;
    if (parts.size() > 1 && actions.contains(parts.back())) {
        action = parts.back();
        parts.pop_back();
    }
    auto id = parts.front();
    for (std::size_t i = 1; i < parts.size(); ++i)
        id += "/" + parts[i];
    return { id, action };
}

oriole::http_reply answer(unsigned status, const json& body)
{
    oriole::http_reply reply;
    reply.status = status;
    reply.headers["Content-Type"] = "application/json";
    reply.body = body.dump();
    return reply;
}

json describe(const task& subject)
{
    const bool known = clock::now() >= subject.usageKnown;
    return { { "id", subject.id }, { "state", subject.state }, { "reason", subject.reason },
        { "used_memory_gb", known ? subject.memoryGb : 0 } };
}

bool overlaps(const std::set<unsigned>& left, const std::set<unsigned>& right)
{
    return std::any_of(left.begin(), left.end(), [&](unsigned item) { return right.contains(item); });
}

/// @brief Reads what the payload, if it is a JSON object, asks of the stand-in.
void applyPayload(task& subject, const json& body)
{
    auto runTime = milliseconds(body.value("run_ms", 0));
    const auto payload = json::parse(body.value("payload", ""), nullptr, false);
    subject.memoryGb = body.value("memory_gb", 0U) / 2;
    if (payload.is_object()) {
        runTime = milliseconds(payload.value("standin_run_ms", runTime.count()));
        subject.fails = payload.value("standin_fail", false);
        subject.neverEnds = payload.value("standin_never_ends", false);
        subject.memoryGb = payload.value("standin_memory_gb", subject.memoryGb);
    }
    subject.ends = subject.started + runTime;
}

} // namespace

worker_runtime::worker_runtime()
    : m_ticker([this] { tick(); })
{
}

worker_runtime::~worker_runtime()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_ticker.join();
}

oriole::http_reply worker_runtime::handle(const oriole::http_call& call)
{
    const auto body = call.body.empty() ? json::object() : json::parse(call.body, nullptr, false);
    if (!body.is_object())
        return answer(400, { { "reason", "body is not a JSON object" } });

    const auto path = split(call.path);
    try {
        if (path.at(0) == "standin")
            return handleAdmin(path, call, body);
        if (path.at(0) == "workers" && path.size() >= 3)
            return handleWorker(path[1], { path.begin() + 2, path.end() }, call, body);
    } catch (const std::exception& error) {
        return answer(400, { { "reason", error.what() } });
    }
    return answer(404, { { "reason", "no such path" } });
}

oriole::http_reply worker_runtime::handleWorker(const std::string& name, const std::vector<std::string>& path,
    const oriole::http_call& call, const json& body)
{
    if (path[0] == "leases" && call.method == "POST")
        return answer(200, renew(name, body));
    if (path[0] != "tasks")
        return answer(404, { { "reason", "no such path" } });
    if (path.size() >= 2) {
        auto [id, action] = splitTaskPath({ path.begin() + 1, path.end() });
        return handleTask(name, id, action, call, body);
    }

    const std::lock_guard lock(m_mutex);
    advance();
    auto all = json::array();
    for (const auto& [id, subject] : m_workers[name].tasks) {
        auto item = describe(subject);
        item["labels"] = subject.labels;
        all.push_back(std::move(item));
    }
    return answer(200, { { "tasks", std::move(all) } });
}

oriole::http_reply worker_runtime::handleTask(const std::string& name, const std::string& id,
    const std::string& action, const oriole::http_call& call, const json& body)
{
    if (call.method == "PUT" && action.empty())
        return start(name, id, body);
    if (action == "checkpoint")
        return checkpoint(name, id);
    if (action == "stop")
        return stop(name, id);

    const std::lock_guard lock(m_mutex);
    advance();
    auto& tasks = m_workers[name].tasks;
    const auto found = tasks.find(id);
    if (found == tasks.end())
        return answer(404, { { "id", id }, { "state", "unknown" } });
    if (action == "throttle") {
        record("throttle", name, found->second);
        return answer(200, describe(found->second));
    }
    if (call.method == "DELETE") {
        if (found->second.state == "running") {
            found->second.state = "stopped";
            record("stop", name, found->second);
        }
        const auto last = describe(found->second);
        tasks.erase(found);
        return answer(200, last);
    }
    return answer(200, describe(found->second));
}

oriole::http_reply worker_runtime::handleAdmin(
    const std::vector<std::string>& path, const oriole::http_call& call, const json& body)
{
    const std::lock_guard lock(m_mutex);
    advance();
    if (path.size() == 2 && path[1] == "events")
        return answer(200, m_events);
    if (path.size() == 3 && path[1] == "workers" && call.method == "PUT") {
        auto& target = m_workers[path[2]];
        target.failsEverything = body.value("fail_everything", target.failsEverything);
        target.refusesStarts = body.value("refuse_starts", target.refusesStarts);
        target.usageLag = milliseconds(body.value("usage_lag_ms", target.usageLag.count()));
        target.checkpointTime = milliseconds(body.value("checkpoint_ms", target.checkpointTime.count()));
        return answer(200, json::object());
    }
    return answer(404, { { "reason", "no such path" } });
}

oriole::http_reply worker_runtime::start(const std::string& name, const std::string& id, const json& body)
{
    const std::lock_guard lock(m_mutex);
    advance();
    auto& target = m_workers[name];
    if (const auto known = target.tasks.find(id); known != target.tasks.end())
        return answer(200, describe(known->second));
    if (target.refusesStarts)
        return answer(409, { { "reason", "worker refuses to start anything" } });

    task subject;
    subject.id = id;
    subject.labels = body.value("labels", json::object());
    subject.accelerators = body.at("accelerators").get<std::set<unsigned>>();
    for (const auto& [other, running] : target.tasks) {
        if (running.state == "running" && overlaps(running.accelerators, subject.accelerators))
            return answer(409, { { "reason", "accelerators are in use by " + other } });
    }

    subject.started = clock::now();
    subject.leaseEnds = subject.started + milliseconds(body.at("lease_ms").get<int>());
    subject.usageKnown = subject.started + target.usageLag;
    applyPayload(subject, body);
    if (target.failsEverything) {
        subject.fails = true;
        subject.neverEnds = false;
        subject.ends = subject.started;
    }
    record("start", name, subject);
    const auto state = describe(subject);
    target.tasks[id] = std::move(subject);
    return answer(201, state);
}

oriole::http_reply worker_runtime::checkpoint(const std::string& name, const std::string& id)
{
    milliseconds duration { 0 };
    {
        const std::lock_guard lock(m_mutex);
        duration = m_workers[name].checkpointTime;
    }
    std::this_thread::sleep_for(duration);

    const std::lock_guard lock(m_mutex);
    advance();
    const auto& tasks = m_workers[name].tasks;
    const auto found = tasks.find(id);
    if (found == tasks.end())
        return answer(404, { { "id", id }, { "state", "unknown" } });
    if (found->second.state == "running")
        record("checkpoint", name, found->second);
    return answer(200, describe(found->second));
}

oriole::http_reply worker_runtime::stop(const std::string& name, const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    advance();
    auto& tasks = m_workers[name].tasks;
    const auto found = tasks.find(id);
    if (found == tasks.end()) {
        // Its start may still be on its way.
        task never;
        never.id = id;
        never.state = "stopped";
        never.labels = json::object();
        tasks[id] = never;
        return answer(200, describe(never));
    }
    if (found->second.state == "running") {
        found->second.state = "stopped";
        record("stop", name, found->second);
    }
    return answer(200, describe(found->second));
}

json worker_runtime::renew(const std::string& name, const json& body)
{
    const auto lease = milliseconds(body.at("lease_ms").get<int>());
    const std::lock_guard lock(m_mutex);
    advance();
    auto& tasks = m_workers[name].tasks;
    auto states = json::array();
    for (const auto& item : body.at("tasks")) {
        const auto id = item.get<std::string>();
        const auto found = tasks.find(id);
        if (found == tasks.end()) {
            states.push_back({ { "id", id }, { "state", "unknown" } });
            continue;
        }
        if (found->second.state == "running")
            found->second.leaseEnds = clock::now() + lease;
        states.push_back(describe(found->second));
    }
    return { { "tasks", std::move(states) } };
}

void worker_runtime::advance()
{
    const auto now = clock::now();
    for (auto& [name, target] : m_workers) {
        for (auto& [id, subject] : target.tasks) {
            if (subject.state != "running")
                continue;
            const bool over = !subject.neverEnds && subject.ends <= now && subject.ends <= subject.leaseEnds;
            if (over) {
                subject.state = subject.fails ? "failed" : "finished";
                subject.reason = subject.fails ? "the task failed" : "";
                record(subject.fails ? "fail" : "finish", name, subject);
            } else if (subject.leaseEnds <= now) {
                subject.state = "expired";
                subject.reason = "lease not renewed";
                record("expire", name, subject);
            }
        }
    }
}

void worker_runtime::record(const std::string& kind, const std::string& worker, const task& subject)
{
    const auto sinceBegin = std::chrono::duration_cast<milliseconds>(clock::now() - m_begin);
    const auto sinceBoot = std::chrono::duration_cast<milliseconds>(clock::now().time_since_epoch());
    const auto attempt = subject.labels.value("attempt", json::object());
    m_events.push_back({ { "event", kind }, { "worker", worker }, { "task", subject.id },
        { "at_ms", sinceBegin.count() }, { "monotonic_ms", sinceBoot.count() }, { "labels", subject.labels },
        { "gang_size", attempt.value("allocations", json::array()).size() },
        { "accelerators", subject.accelerators } });
}

void worker_runtime::tick()
{
    while (true) {
        std::this_thread::sleep_for(tickPeriod);
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        advance();
    }
}

} // namespace standin
