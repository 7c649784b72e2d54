#include "agent_process.hpp"

#include "boot_clock.hpp"
#include "process_parts.hpp"

#include <heartbeat_api.hpp>
#include <runtime_adapter.hpp>
#include <settings_monitor.hpp>
#include <store_adapter.hpp>

#include <fleet/agent/agent_server.hpp>
#include <fleet/entry/fleet_entry.hpp>

#include <oriole/helpers/log.hpp>

namespace fleetd {

namespace {

using oriole::milliseconds;

// Interval at which an agent repeats its announcement while no scheduler is attached.
constexpr milliseconds announcePeriod { 2500 };
constexpr milliseconds announceRetry { 300 };

/// @brief Owns and connects the components of an agent.
class agent_process {
public:
    agent_process(const platform::node_settings& settings, const process_options& options)
        : m_settings(settings)
        , m_address(announcedAddress(settings, options))
        , m_clients(openClientGate(m_loop, m_metrics, settings))
        , m_store(m_loop, settings.storeAddress)
        , m_agent(m_loop.timers(), bootClock, agentTiming(settings),
              [this](const fleet::worker_heartbeat& worker) { return std::make_unique<platform::runtime_adapter>(m_loop, worker); })
        , m_heartbeats(m_loop, settings.heartbeatAddress, m_agent, m_clients)
        , m_server(m_loop, m_agent, m_metrics, settings.name, settings.rpcAddress, m_clients)
        , m_entries(m_loop, { settings.rpcAddress, m_address })
        , m_monitor(m_loop, options.settingsFile, settings, [this](const auto& changed) { m_entries.add(changed.seeds); })
        , m_metricsListener(openMetrics(m_loop, m_metrics, settings, options, m_clients))
    {
        m_entries.add(settings.seeds);
    }

    int run()
    {
        oriole::logEvent(oriole::log_level::Info, "started",
            { { "role", "agent" }, { "failure_domain", m_settings.failureDomain }, { "rpc", m_settings.rpcAddress } });
        announce();
        m_loop.onStopSignal([this] { m_loop.stop(); });
        m_loop.run();
        oriole::logEvent(oriole::log_level::Info, "stopped", {});
        return 0;
    }

private:
    /// While no scheduler is attached, writes the agent's address into the store, where schedulers watch for it.
    void announce()
    {
        if (m_agent.attached())
            return scheduleAnnouncement(announcePeriod);
        fleet::record_transaction announcement;
        announcement.writes = { { fleet::agentKey(m_settings.name), m_address } };
        m_store.commit(std::move(announcement), [this](const oriole::result<fleet::commit_outcome>& outcome) {
            if (!outcome) {
                // An entry that can reach the store writes the address on the agent's behalf.
                m_entries.announce(m_settings.name, m_address);
                oriole::logEvent(oriole::log_level::Warning, "announcement_failed", { { "reason", outcome.error().reason } });
            }
            scheduleAnnouncement(outcome ? announcePeriod : announceRetry);
        });
    }

    void scheduleAnnouncement(milliseconds delay)
    {
        m_loop.timers().subscribeOnce(delay, [this](oriole::time_point) { announce(); });
    }

    const platform::node_settings& m_settings;
    std::string m_address; ///< At which entries reach this agent.
    oriole::event_loop m_loop;
    oriole::metrics_registry m_metrics;
    std::shared_ptr<fleet::client_gate> m_clients;
    platform::store_adapter m_store;
    fleet::worker_agent m_agent;
    platform::heartbeat_api m_heartbeats;
    fleet::agent_server m_server;
    fleet::entry_peers m_entries;
    platform::settings_monitor m_monitor;
    std::unique_ptr<fleet::http_listener> m_metricsListener;
};

} // namespace

int runAgent(const platform::node_settings& settings, const process_options& options)
{
    return agent_process(settings, options).run();
}

} // namespace fleetd
