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

// From the end of the listener, or of the last reply, to the end of the process.
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

void stopWhenIdle(event_loop& loop, const http_server& server)
{
    if (server.running() == 0) {
        loop.timers().subscribeOnce(lastReplyDelay, [&loop](time_point) { loop.stop(); });
        return;
    }
    loop.timers().subscribeOnce(idleCheckPeriod, [&loop, &server](time_point) { stopWhenIdle(loop, server); });
}

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

    loop.onStopSignal([&] {
        node.leave([&] {
            server.refuseNew();
            loop.timers().subscribeOnce(refusalPeriod, [&](time_point) {
                stopListening(settings.http);
                stopWhenIdle(loop, server);
            });
        });
    });
    node.start();
    logEvent(log_level::Info, "entry_started",
        { { "http", toString(settings.http) }, { "rpc", toString(settings.rpc) } });
    loop.run();
    logEvent(log_level::Info, "entry_stopped");

    // Threads of the server and the pools may still hold references into this frame.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace oriole
