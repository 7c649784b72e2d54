#include <oriole/runtime/attempt_json.hpp>
#include <oriole/runtime/http_runtime_client.hpp>

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace oriole {

namespace {

using json = nlohmann::json;

constexpr std::size_t poolThreads = 6;
constexpr std::size_t poolQueue = 1024;
constexpr std::chrono::milliseconds callTimeout { 1000 };

std::string encodeUrl(const std::string& text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view plain = "-_.~";
    std::string encoded;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || plain.find(static_cast<char>(c)) != std::string_view::npos) {
            encoded += static_cast<char>(c);
            continue;
        }
        encoded += '%';
        encoded += digits[c >> 4U];
        encoded += digits[c & 15U];
    }
    return encoded;
}

json acceleratorList(accelerator_set set)
{
    auto list = json::array();
    for (unsigned i = 0; set != 0; ++i, set >>= 1U) {
        if ((set & 1U) != 0)
            list.push_back(i);
    }
    return list;
}

http_request jsonRequest(std::string method, std::string path, const json& body)
{
    http_request request { std::move(method), std::move(path), {}, {} };
    if (body.is_null())
        return request;
    request.headers["Content-Type"] = "application/json";
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return request;
}

/// @brief Turns a reply into JSON. A status of 4xx means that the runtime refused without an effect; 404 also tells
/// the state of a task that is not there, which is no answer to a start.
result<json> readReply(const result<http_reply>& reply, bool isStart)
{
    constexpr unsigned notFound = 404;
    if (!reply)
        return reply.error();

    auto body = json::parse(reply.value().body, nullptr, false);
    if (reply.value().status >= 500)
        return mayHaveRun(failure_kind::Broken, "runtime answered " + std::to_string(reply.value().status));
    if (reply.value().status >= 400 && (isStart || reply.value().status != notFound)) {
        const bool hasReason = body.is_object() && body.contains("reason") && body["reason"].is_string();
        return notRun(failure_kind::Conflict, hasReason ? body["reason"].get<std::string>() : "refused by the runtime");
    }
    if (!body.is_object())
        return mayHaveRun(failure_kind::Broken, "runtime answered something that is not JSON");
    return body;
}

runtime_task readTask(const json& source)
{
    runtime_task task;
    task.id = source.value("id", "");
    task.state = parseRuntimeState(source.value("state", "unknown"));
    task.reason = source.value("reason", "");
    task.usedMemoryGb = source.value("used_memory_gb", 0U);
    return task;
}

template <typename Value, typename Read>
result<Value> readAs(const result<http_reply>& reply, bool isStart, Read read)
{
    const auto body = readReply(reply, isStart);
    if (!body)
        return body.error();
    try {
        return read(body.value());
    } catch (const json::exception& error) {
        return mayHaveRun(failure_kind::Broken, std::string("runtime answered wrong JSON: ") + error.what());
    }
}

std::vector<runtime_task> readTasks(const json& body)
{
    std::vector<runtime_task> tasks;
    for (const auto& task : body.at("tasks"))
        tasks.push_back(readTask(task));
    return tasks;
}

std::vector<labelled_task> readLabelledTasks(const json& body)
{
    std::vector<labelled_task> tasks;
    for (const auto& task : body.at("tasks")) {
        if (auto attempt = attemptFromJson(task.at("labels").value("attempt", json::object())))
            tasks.push_back({ readTask(task), std::move(*attempt) });
    }
    return tasks;
}

/// @brief Sends @p request on a thread of @p pool and hands what @p read makes of the reply to @p done.
template <typename Value, typename Read>
void call(event_loop& loop, worker_pool& pool, const endpoint& peer, http_request request, std::chrono::milliseconds timeout, Read read,
    runtime_client::handler<Value> done)
{
    auto answer = std::make_shared<result<Value>>(notRun(failure_kind::Unavailable, "not called"));
    auto work = [answer, peer, request = std::move(request), timeout, read] {
        *answer = readAs<Value>(exchange(peer, request, timeout), request.method == "PUT", read);
    };
    auto completion = [&loop, answer, done] {
        loop.syncTime();
        done(std::move(*answer));
    };
    if (!pool.submit(std::move(work), std::move(completion)))
        done(notRun(failure_kind::Overloaded, "too many calls to the runtime wait"));
}

} // namespace

http_runtime_client::http_runtime_client(event_loop& loop, runtime_address address)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_pool(loop, poolThreads, poolQueue)
{
}

void http_runtime_client::start(const attempt& attempt, const allocation& share, std::chrono::milliseconds lease,
    handler<runtime_task> done)
{
    const json body { { "labels", { { "attempt", attemptToJson(attempt) } } },
        { "accelerators", acceleratorList(share.accelerators) }, { "processors", share.processors },
        { "memory_gb", share.memoryGb }, { "lease_ms", lease.count() }, { "run_ms", attempt.declaredRun.count() },
        { "payload", attempt.payload } };
    callTask(jsonRequest("PUT", taskPath(toString(attempt.id)), body), callTimeout, std::move(done));
}

void http_runtime_client::renew(
    const std::vector<std::string>& ids, std::chrono::milliseconds lease, handler<std::vector<runtime_task>> done)
{
    const json body { { "lease_ms", lease.count() }, { "tasks", ids } };
    call<std::vector<runtime_task>>(m_loop, m_pool, m_address.peer, jsonRequest("POST", m_address.path + "/leases", body),
        callTimeout, readTasks, std::move(done));
}

void http_runtime_client::checkpoint(
    const std::string& id, std::chrono::milliseconds timeout, handler<runtime_task> done)
{
    callTask(jsonRequest("POST", taskPath(id) + "/checkpoint", json::object()), timeout, std::move(done));
}

void http_runtime_client::throttle(const std::string& id, unsigned percent, handler<runtime_task> done)
{
    callTask(jsonRequest("POST", taskPath(id) + "/throttle", { { "percent", percent } }), callTimeout, std::move(done));
}

void http_runtime_client::stop(const std::string& id, handler<runtime_task> done)
{
    callTask(jsonRequest("POST", taskPath(id) + "/stop", json::object()), callTimeout, std::move(done));
}

void http_runtime_client::forget(const std::string& id, handler<runtime_task> done)
{
    callTask(jsonRequest("DELETE", taskPath(id), nullptr), callTimeout, std::move(done));
}

void http_runtime_client::list(handler<std::vector<labelled_task>> done)
{
    call<std::vector<labelled_task>>(m_loop, m_pool, m_address.peer, jsonRequest("GET", m_address.path + "/tasks", nullptr),
        callTimeout, readLabelledTasks, std::move(done));
}

void http_runtime_client::callTask(
    http_request request, std::chrono::milliseconds timeout, handler<runtime_task> done)
{
    call<runtime_task>(m_loop, m_pool, m_address.peer, std::move(request), timeout, readTask, std::move(done));
}

std::string http_runtime_client::taskPath(const std::string& id) const
{
    return m_address.path + "/tasks/" + encodeUrl(id);
}

} // namespace oriole
