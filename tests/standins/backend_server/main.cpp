#include <oriole/http/http_server.hpp>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

using json = nlohmann::json;
using oriole::http_call;
using oriole::http_reply;

constexpr unsigned statusTooMany = 429;

enum class mode {
    Normal,
    Fail, ///< Answers 500 at once.
    Hang, ///< Answers only after a long time.
    Down, ///< Also its health check fails.
};

http_reply answer(unsigned status, const json& body)
{
    http_reply reply;
    reply.status = status;
    reply.headers["Content-Type"] = "application/json";
    reply.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return reply;
}

std::string header(const http_call& call, const std::string& name)
{
    const auto found = call.headers.find(name);
    return found == call.headers.end() ? "" : found->second;
}

/// @brief Runs requests by sleeping and counts them.
class backend_server {
public:
    explicit backend_server(unsigned slots)
        : m_slots(slots)
    {
    }

    http_reply handle(const http_call& call)
    {
        if (call.path == "/healthz")
            return answer(currentMode() == mode::Down ? 503 : 200, { { "status", "ok" } });
        if (call.path == "/standin/executions")
            return executions();
        if (call.path == "/standin/mode" && call.method == "PUT")
            return setMode(call);
        if (call.path.starts_with("/requests/") && call.method == "POST")
            return request(call);
        return answer(404, { { "reason", "no such path" } });
    }

private:
    mode currentMode()
    {
        const std::lock_guard lock(m_mutex);
        return m_mode;
    }

    http_reply setMode(const http_call& call)
    {
        static const std::map<std::string, mode> names { { "normal", mode::Normal }, { "fail", mode::Fail },
            { "hang", mode::Hang }, { "down", mode::Down } };
        const auto body = json::parse(call.body, nullptr, false);
        const auto found = names.find(body.is_object() ? body.value("mode", "") : "");
        if (found == names.end())
            return answer(400, { { "reason", "mode is none of normal, fail, hang, down" } });
        const std::lock_guard lock(m_mutex);
        m_mode = found->second;
        return answer(200, json::object());
    }

    http_reply request(const http_call& call)
    {
        const auto body = json::parse(call.body, nullptr, false);
        const auto wish = body.is_object() ? body : json::object();
        const auto id = header(call, "orioleway-request-id");
        const auto key = wish.value("key", "");
        mode now = mode::Normal;
        {
            const std::lock_guard lock(m_mutex);
            now = m_mode;
            if (now == mode::Down)
                return answer(503, { { "reason", "down" } });
            if (m_running >= m_slots) {
                ++m_overloads;
                return answer(statusTooMany, { { "reason", "all slots are taken" } });
            }
            ++m_running;
            m_mostRunning = std::max(m_mostRunning, m_running);
            ++m_total;
            ++m_byId[id];
            if (!key.empty())
                ++m_byKey[key];
        }

        constexpr std::chrono::seconds hangTime { 30 };
        const auto work = std::chrono::milliseconds(wish.value("work_ms", 0));
        std::this_thread::sleep_for(now == mode::Hang ? hangTime : now == mode::Fail ? work * 0
                                                                                     : work);
        {
            const std::lock_guard lock(m_mutex);
            --m_running;
        }
        if (now == mode::Fail)
            return answer(500, { { "reason", "told to fail" } });
        json reply { { "key", key }, { "request_id", id }, { "organisation", header(call, "orioleway-organisation") },
            { "echo", call.body } };
        if (const auto bytes = wish.value("reply_bytes", 0U); bytes > 0)
            reply["filling"] = std::string(bytes, 'x');
        return answer(wish.value("status", 200U), reply);
    }

    http_reply executions()
    {
        const std::lock_guard lock(m_mutex);
        return answer(200,
            { { "total", m_total }, { "by_key", m_byKey }, { "by_request_id", m_byId }, { "running", m_running },
                { "most_running", m_mostRunning }, { "overloads", m_overloads } });
    }

    unsigned m_slots;
    std::mutex m_mutex;
    mode m_mode = mode::Normal;
    unsigned m_running = 0;
    unsigned m_mostRunning = 0;
    unsigned m_overloads = 0;
    unsigned m_total = 0;
    std::map<std::string, unsigned> m_byKey;
    std::map<std::string, unsigned> m_byId;
};

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> listen;
    unsigned slots = 8;
    CLI::App app("Stand-in for backend servers", "standin_backend_server");
    app.add_option("--listen", listen, "IP:PORT; may be repeated, each address is a server of its own")->required();
    app.add_option("--slots", slots, "Requests that one server runs at once");
    CLI11_PARSE(app, argc, argv);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    std::vector<std::unique_ptr<backend_server>> backends;
    std::vector<std::unique_ptr<oriole::http_server>> servers;
    for (const auto& text : listen) {
        const auto address = oriole::parseEndpoint(text);
        if (!address) {
            std::cerr << "--listen: " << address.error().reason << '\n';
            return 2;
        }
        auto& backend = *backends.emplace_back(std::make_unique<backend_server>(slots));
        servers.push_back(std::make_unique<oriole::http_server>(
            address.value(), oriole::http_server_limits {}, [&backend](const http_call& call) { return backend.handle(call); }));
    }

    int received = 0;
    sigwait(&signals, &received);
    // Requests that hang are not waited for.
    std::_Exit(0);
}
