#include <oriole/agent/agent_process.hpp>
#include <oriole/agent/agent_server.hpp>
#include <oriole/agent/entry_finder.hpp>
#include <oriole/agent/entry_links.hpp>
#include <oriole/agent/rpc_peer_gateway.hpp>
#include <oriole/helpers/log.hpp>
#include <oriole/runtime/http_runtime_client.hpp>
#include <oriole/store/etcd_store_client.hpp>

#include <random>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds stopCheckPeriod { 20 };
constexpr milliseconds evictionGrace { 2000 };
// Once no request and no task runs any more, the process waits at most this long for the acknowledgement of task ends
// before it exits.
constexpr milliseconds acknowledgementTimeout { 3000 };
constexpr milliseconds taskStopTimeout { 8000 };
// After this time the agent reports even if recovery has not succeeded: the leases of tasks of an earlier process have
// lapsed by then, so that no running task is missing from a report.
constexpr milliseconds recoveryTimeout { 4000 };

// Time allowed for connecting to a configured seed; after it, the list of entries is read from the store.
constexpr milliseconds seedConnectTimeout { 1500 };

etcd_store_options storeOptions()
{
    etcd_store_options options;
    options.callsPerSecond = 2;
    options.burst = 4;
    options.threads = 1;
    options.queueLimit = 4;
    return options;
}

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// @brief All parts of a running agent.
class agent_process {
public:
    explicit agent_process(const agent_settings& settings);

    int run();

private:
    [[nodiscard]] agent_report report() const;
    void beginStop();
    void checkStop();

    agent_settings m_settings;
    event_loop m_loop;
    agent_view m_view;
    http_runtime_client m_runtime;
    rpc_peer_gateway m_peers;
    http_backend_client m_backend;
    task_manager m_tasks;
    forwarder m_requests;
    rpc::Agent::Client m_agent;
    entry_links m_links;
    etcd_store_client m_store;
    entry_finder m_finder;
    time_point m_stopStartedAt;
    std::optional<time_point> m_idleSince;
};

agent_process::agent_process(const agent_settings& settings)
    : m_settings(settings)
    , m_view(settings.failureDomain)
    , m_runtime(m_loop, settings.runtime)
    , m_peers(m_loop)
    , m_backend(m_loop, settings.backend, settings.slots)
    , m_tasks(settings.worker, { firstAccelerators(settings.accelerators), settings.processors, settings.memoryGb }, m_loop.timers(), m_runtime, m_peers, m_view)
    , m_requests(settings.service, settings.slots, settings.connections, m_loop.timers(), m_backend, m_view)
    , m_agent(kj::heap<agent_server>(m_requests, m_tasks, m_view, m_loop, [this] { m_links.requestHeartbeat(); }))
    , m_links(
          m_loop, workerInfo(settings, randomIncarnation()), settings.seeds, m_view, m_agent,
          [this] { return report(); }, [this](const auto& ids) { m_tasks.acknowledge(ids); })
    , m_store(m_loop, settings.store, storeOptions())
    , m_finder(
          m_loop.timers(), m_store, settings.environment, settings.seeds.empty() ? milliseconds(0) : seedConnectTimeout,
          std::random_device {}(), [this] { return m_links.connected(); },
          [this](const auto& entries) { m_links.setStoreEntries(entries); })
{
    m_view.onChange([this] { m_tasks.viewChanged(); });
    m_tasks.onChange([this] { m_links.requestHeartbeat(); });
    m_tasks.onRecovered([this] { m_links.start(); });
    m_requests.onHealthChange([this] { m_links.requestHeartbeat(); });
}

int agent_process::run()
{
    bool listening = true;
    m_loop.detach("listen", rpc::serve(m_loop, m_settings.rpc, m_agent).catch_([&](kj::Exception&& error) {
        logEvent(log_level::Error, "listen_failed",
            { { "address", toString(m_settings.rpc) }, { "error", error.getDescription().cStr() } });
        listening = false;
        m_loop.stop();
    }));
    m_tasks.recover();
    m_loop.timers().subscribeOnce(recoveryTimeout, [this](time_point) { m_links.start(); });
    m_loop.onStopSignal([this] { beginStop(); });
    logEvent(log_level::Info, "agent_started",
        { { "worker", m_settings.worker }, { "rpc", toString(m_settings.rpc) },
            { "failure_domain", m_settings.failureDomain } });
    m_loop.run();
    logEvent(log_level::Info, "agent_stopped");
    return listening ? 0 : 1;
}

agent_report agent_process::report() const
{
    agent_report target;
    target.tasks = m_tasks.reports();
    target.tasksVersion = m_tasks.version();
    target.requestsRunning = m_requests.running();
    target.requestsQueued = m_requests.queued();
    target.leaving = m_view.leaving();
    target.backendHealthy = m_requests.backendHealthy();
    target.failuresInRow = m_tasks.failuresInRow();
    return target;
}

void agent_process::beginStop()
{
    logEvent(log_level::Info, "agent_stopping",
        { { "requests_running", m_requests.running() }, { "requests_queued", m_requests.queued() } });
    m_stopStartedAt = m_loop.timers().now();
    m_view.setLeaving();
    m_links.requestHeartbeat();
    m_tasks.evictAll(evictionGrace, "worker is leaving");
    m_loop.timers().subscribeEvery(stopCheckPeriod, [this](time_point) { checkStop(); });
}

void agent_process::checkStop()
{
    const auto now = m_loop.timers().now();
    const bool tasksEnded = m_tasks.idle() || now - m_stopStartedAt > taskStopTimeout;
    if (!m_requests.idle() || !tasksEnded) {
        m_idleSince.reset();
        return;
    }

    if (!m_idleSince.has_value())
        m_idleSince = now;
    const bool acknowledged = m_tasks.reports().empty() && m_links.allAcknowledged(m_tasks.version());
    if (acknowledged || now - *m_idleSince > acknowledgementTimeout)
        m_loop.stop();
}

} // namespace

int runAgent(const agent_settings& settings)
{
    startLogging("oriolewayd agent", settings.worker, settings.logLevel);
    agent_process process(settings);
    return process.run();
}

} // namespace oriole
