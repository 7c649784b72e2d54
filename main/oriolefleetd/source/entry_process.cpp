#include "entry_process.hpp"

#include "boot_clock.hpp"
#include "process_parts.hpp"

#include <caller_api.hpp>
#include <operator_channel.hpp>
#include <settings_monitor.hpp>
#include <store_adapter.hpp>

#include <fleet/entry/fleet_entry.hpp>

#include <oriole/helpers/log.hpp>

namespace fleetd {

namespace {

using oriole::milliseconds;

// Maximum age of the control view by which a call is served; the operators' bound is 2.5 s.
constexpr milliseconds maxViewAge { 1500 };
// An entry whose view was not confirmed for this long reports that it is not ready, so that new callers go to other
// entries.
constexpr milliseconds maxReadyViewAge { 3500 };
// The platform sends new callers to other entries after two failed readiness checks of a second each.
constexpr milliseconds drainDelay { 2500 };
constexpr milliseconds stopCheckPeriod { 100 };
// Part of the platform's grace period that is reserved for the exit of the process.
constexpr milliseconds exitMargin { 1200 };

fleet::scheduler_settings schedulerSettings(const platform::node_settings& settings)
{
    fleet::scheduler_settings out;
    out.core.bounds = settings.bounds;
    out.directory.agents = agentTiming(settings);
    return out;
}

/// @brief Owns and connects the components of an entry.
class entry_process final : private fleet::entry_request_handler {
public:
    entry_process(const platform::node_settings& settings, const process_options& options)
        : m_settings(settings)
        , m_clients(openClientGate(m_loop, m_metrics, settings))
        , m_store(m_loop, settings.storeAddress)
        , m_control(m_store, m_loop.timers(), bootClock, settings.failureDomains)
        , m_desk(m_store, m_loop.timers())
        , m_peers(m_loop, { settings.rpcAddress, announcedAddress(settings, options) })
        , m_entry({ m_loop, m_store, m_control, m_metrics, bootClock, m_peers },
              { settings.name, announcedAddress(settings, options), settings.cores }, schedulerSettings(settings))
        , m_backlog(m_store, m_loop.timers(), bootClock, [this] { return m_entry.schedulerEpoch(); })
        , m_api({ m_loop, m_desk, m_control, m_peers, m_metrics, bootClock, maxViewAge, settings.maxRecordBytes, &m_backlog })
        , m_server(m_loop, *this, settings.rpcAddress, m_clients)
        , m_callers(m_loop, { settings.callerAddress, { "X-Key" }, 1U << 20U, m_clients },
              [this](const fleet::incoming_request& request, const auto& respond) { m_api.handle(request, respond); })
        , m_ready(m_loop, { settings.readyAddress, {}, 1024, m_clients },
              [this](const fleet::incoming_request&, const auto& respond) { respond({ isReady() ? 200U : 503U, "{}", {} }); })
        , m_monitor(m_loop, options.settingsFile, settings, [this](const auto& changed) { applySettings(changed); })
        , m_metricsListener(openMetrics(m_loop, m_metrics, settings, options, m_clients))
    {
        m_peers.add(settings.seeds);
    }

    int run()
    {
        oriole::logEvent(oriole::log_level::Info, "started",
            { { "role", "entry" }, { "failure_domain", m_settings.failureDomain }, { "callers", m_settings.callerAddress } });
        m_control.start([this] { m_entry.controlChanged(); });
        m_desk.start();
        m_entry.start();
        m_backlog.start();
        m_loop.onStopSignal([this] { stop(); });
        m_loop.run();
        oriole::logEvent(oriole::log_level::Info, "stopped", {});
        return 0;
    }

private:
    void serve(const fleet::relayed_call& call, std::function<void(fleet::relayed_answer)> done) override
    {
        m_api.serveRelayed(call, std::move(done));
    }

    void announce(const std::string& agent, const std::string& address) override { m_entry.announce(agent, address); }

    void applySettings(const platform::node_settings& changed)
    {
        m_peers.add(changed.seeds);
        m_entry.setBounds(changed.bounds);
        platform::logUnusableBounds(changed);
    }

    bool isReady() const
    {
        return !m_stopping && m_desk.ready() && m_control.view().loaded
            && bootClock() - m_control.view().confirmedAt < maxReadyViewAge;
    }

    void stop()
    {
        oriole::logEvent(oriole::log_level::Info, "stopping_process", { { "running_requests", m_callers.activeRequests() } });
        m_stopping = true;
        m_entry.resign([] {});
        m_loop.timers().subscribeOnce(drainDelay, [this](oriole::time_point) { m_callers.closeAfterResponses(); });
        const auto exitTime = m_loop.timers().now() + m_settings.stopGrace - exitMargin;
        m_loop.timers().subscribeEvery(stopCheckPeriod, [this, exitTime](oriole::time_point now) {
            if (now >= exitTime)
                m_loop.stop();
        });
    }

    const platform::node_settings& m_settings;
    oriole::event_loop m_loop;
    oriole::metrics_registry m_metrics;
    std::shared_ptr<fleet::client_gate> m_clients;
    platform::store_adapter m_store;
    platform::operator_channel m_control;
    fleet::job_service m_desk;
    fleet::entry_peers m_peers;
    fleet::fleet_entry m_entry;
    fleet::backlog_watch m_backlog;
    platform::caller_api m_api;
    fleet::entry_server m_server;
    fleet::http_listener m_callers;
    fleet::http_listener m_ready;
    platform::settings_monitor m_monitor;
    std::unique_ptr<fleet::http_listener> m_metricsListener;
    bool m_stopping = false;
};

} // namespace

int runEntry(const platform::node_settings& settings, const process_options& options)
{
    return entry_process(settings, options).run();
}

} // namespace fleetd
