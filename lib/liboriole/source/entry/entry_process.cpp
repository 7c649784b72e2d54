#include <oriole/entry/entry_node.hpp>
#include <oriole/entry/entry_process.hpp>
#include <oriole/entry/entry_rpc.hpp>
#include <oriole/entry/http_api.hpp>
#include <oriole/helpers/log.hpp>
#include <oriole/http/listening_socket.hpp>
#include <oriole/store/etcd_store_client.hpp>

#include <cstdlib>
#include <memory>
#include <optional>

namespace oriole {

namespace {

// Requests that wait hold a thread each; what is beyond waits in the balancer.
constexpr unsigned httpThreads = 512;
constexpr unsigned longRequests = 480;
constexpr milliseconds idleCheckPeriod { 20 };

// How long new requests are told 503 before the listener ends: callers that keep connections learn of the stop.
constexpr milliseconds refusalPeriod { 1000 };

// How long connections that are open when no new ones are let in may still send a request.
constexpr milliseconds quietPeriod { 1500 };

// From the end of the listener to the end of the process.
constexpr milliseconds lastReplyDelay { 250 };

http_reply handleOnLoop(const kj::Executor& executor, http_api& api, const http_call& call)
{
    std::optional<http_reply> reply;
    const auto broken = kj::runCatchingExceptions([&] {
        reply = executor.executeSync([&] { return api.handle(call); });
    });
    KJ_IF_MAYBE (exception, broken) {
        logEvent(log_level::Error, "request_broke", { { "error", exception->getDescription().cStr() } });
        return refusal(mayHaveRun(failure_kind::Broken, "internal error"));
    }
    return *reply;
}

/// @brief Ends the HTTP side of an entry once nothing that a caller has sent waits for its reply.
class http_stop {
public:
    http_stop(event_loop& loop, http_server& server, endpoint address)
        : m_loop(loop)
        , m_server(server)
        , m_address(std::move(address))
    {
    }

    void begin()
    {
        m_server.refuseNew();
        m_loop.timers().subscribeOnce(refusalPeriod, [this](time_point) { hold(); });
    }

private:
    void hold()
    {
        if (!holdNewConnections(m_address))
            logEvent(log_level::Warning, "connections_not_held", { { "http", toString(m_address) } });
        m_quietEnd = m_loop.timers().now() + quietPeriod;
        stopWhenIdle();
    }

    void stopWhenIdle()
    {
        if (m_server.running() == 0 && quiet()) {
            stopListening(m_address);
            m_loop.timers().subscribeOnce(lastReplyDelay, [this](time_point) { m_loop.stop(); });
            return;
        }
        m_loop.timers().subscribeOnce(idleCheckPeriod, [this](time_point) { stopWhenIdle(); });
    }

    [[nodiscard]] bool quiet() const
    {
        return m_loop.timers().now() >= m_quietEnd || openConnections(m_address) == 0;
    }

    event_loop& m_loop;
    http_server& m_server;
    endpoint m_address;
    time_point m_quietEnd;
};

} // namespace

int runEntry(const entry_settings& settings)
{
    startLogging("oriolewayd", settings.name, settings.logLevel);
    event_loop loop;
    metrics_registry metrics;
    etcd_store_client store(loop, settings.store, {});
    entry_node node(settings, loop, store, metrics);
    http_api api(node);

    auto interface = makeEntryRpc(node, [&api](const http_call& call) { return api.handleForwarded(call); });
    rpc::serve(loop, settings.rpc, kj::mv(interface)).wait(loop.io().waitScope);
    const auto& executor = loop.executor();
    http_server server(settings.http, { .threads = httpThreads, .longRequests = longRequests },
        [&executor, &api](const http_call& call) { return handleOnLoop(executor, api, call); });

    http_stop stop(loop, server, settings.http);
    loop.onStopSignal([&] { node.leave([&stop] { stop.begin(); }); });
    node.start();
    logEvent(log_level::Info, "entry_started",
        { { "http", toString(settings.http) }, { "rpc", toString(settings.rpc) } });
    loop.run();
    logEvent(log_level::Info, "entry_stopped");

    // Threads of the server and the pools may still hold references into this frame.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace oriole
