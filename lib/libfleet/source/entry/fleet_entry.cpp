#include <fleet/entry/fleet_entry.hpp>

#include <fleet/model/socket_address.hpp>
#include <fleet/records/job_codec.hpp>
#include <fleet/scheduler/claim_delay.hpp>

#include <oriole/helpers/log.hpp>

#include <cstdlib>

#include <utility>

namespace fleet {

namespace {

const std::string agentsPrefix = record_keys::members + "agent/";
const std::string entriesPrefix = record_keys::members + "entry/";
constexpr milliseconds announceRetry { 500 };
// Entries that start together have announced their processor shares within this time.
constexpr milliseconds announceTime { 600 };

std::string agentName(const std::string& key)
{
    return key.substr(agentsPrefix.size());
}

/// @brief Whether the record names an address. One that another writer left is passed over.
bool isMember(const record& item)
{
    const bool usable = isSocketAddress(item.value);
    if (!usable) {
        oriole::logEvent(oriole::log_level::Warning, "member_unusable",
            { { "key", item.key }, { "revision", item.revision }, { "bytes", item.value.size() },
                { "reason", "the value is no IPv4 address and port" } });
    }
    return usable;
}

} // namespace

std::string agentKey(const std::string& agent)
{
    return agentsPrefix + agent;
}

fleet_entry::fleet_entry(environment dependencies, identity self, scheduler_settings settings)
    : m_dependencies(std::move(dependencies))
    , m_settings(settings)
    , m_leadership(m_dependencies.store, m_dependencies.loop.timers(), m_dependencies.clock, self.name,
          { [this](std::uint64_t epoch) { becomeLeader(epoch); }, [this](const std::string&) { loseLeadership(); },
              [this](bool lostRecently) { return timeBeforeClaim(lostRecently); } })
    , m_schedulerRecord(m_dependencies.store, m_dependencies.loop.timers(), record_keys::scheduler)
    , m_agents(m_dependencies.store, m_dependencies.loop.timers(), agentsPrefix)
    , m_entries(m_dependencies.store, m_dependencies.loop.timers(), entriesPrefix)
    , m_cores(m_dependencies.store, m_dependencies.loop.timers(), record_keys::cores)
    , m_self(std::move(self))
    , m_startedAt(m_dependencies.loop.timers().now())
{
}

fleet_entry::~fleet_entry()
{
    *m_alive = false;
}

void fleet_entry::start()
{
    m_agents.start(
        [this](const record_change& change) {
            if (m_scheduler == nullptr)
                return;
            if (change.removed)
                m_scheduler->forget(agentName(change.item.key));
            else if (isMember(change.item))
                m_scheduler->announce(agentName(change.item.key), change.item.value);
        },
        {});
    m_schedulerRecord.start([this](const record_change& change) { m_leadership.recordChanged(!change.removed); }, {});
    m_entries.start(
        [this](const record_change& change) {
            if (!change.removed && isMember(change.item))
                m_dependencies.peers.add(change.item.value);
        },
        {});
    m_cores.start({}, {});
    announceSelf();
    m_leadership.start();
}

std::optional<milliseconds> fleet_entry::timeBeforeClaim(bool lostRecently) const
{
    // Without the operators' configuration each queue would count as removed, and no failure domain as out.
    if (!m_cores.loaded() || !m_dependencies.control.view().loaded)
        return std::nullopt;
    std::vector<double> others;
    for (const auto& [key, item] : m_cores.records()) {
        if (key != record_keys::cores + m_self.name)
            others.push_back(std::strtod(item.value.c_str(), nullptr));
    }
    if (others.empty() && m_dependencies.loop.timers().now() - m_startedAt < announceTime)
        return std::nullopt;
    const auto delay = claimDelay(m_self.cores, others, lostRecently);
    oriole::logEvent(oriole::log_level::Info, "claim_considered",
        { { "cores", m_self.cores }, { "other_entries", others.size() }, { "lost_recently", lostRecently },
            { "delay_ms", delay.count() } });
    return delay;
}

void fleet_entry::announceSelf()
{
    record_transaction announcement;
    announcement.writes = { { entriesPrefix + m_self.name, m_self.address } };
    if (m_self.cores > 0)
        announcement.writes.push_back({ record_keys::cores + m_self.name, std::to_string(m_self.cores) });
    m_dependencies.store.commit(std::move(announcement), [this, alive = m_alive](const result<commit_outcome>& outcome) {
        if (!*alive || outcome)
            return;
        m_dependencies.loop.timers().subscribeOnce(announceRetry, [this, alive](time_point) {
            if (*alive)
                announceSelf();
        });
    });
}

void fleet_entry::announce(const std::string& agent, const std::string& address)
{
    if (m_scheduler != nullptr)
        m_scheduler->announce(agent, address);
    const auto known = m_agents.records().find(agentKey(agent));
    if (known != m_agents.records().end() && known->second.value == address)
        return;
    record_transaction announcement;
    announcement.writes = { { agentKey(agent), address } };
    m_dependencies.store.commit(std::move(announcement), [agent](const result<commit_outcome>& outcome) {
        oriole::logEvent(oriole::log_level::Info, "agent_announced", { { "agent", agent }, { "written", outcome.has_value() } });
    });
}

void fleet_entry::setBounds(const platform_bounds& bounds)
{
    if (bounds == m_settings.core.bounds)
        return;
    m_settings.core.bounds = bounds;
    if (m_scheduler != nullptr)
        m_scheduler->setBounds(bounds);
}

void fleet_entry::becomeLeader(std::uint64_t epoch)
{
    fleet_scheduler::environment schedulerDependencies { m_dependencies.loop, m_dependencies.store, m_dependencies.metrics, m_dependencies.clock,
        [this] { return m_leadership.confirmedAt(); }, [this](time_point sentAt) { m_leadership.confirm(sentAt); },
        [this](const std::string& reason) { m_leadership.stepDown(reason); } };
    m_scheduler = std::make_unique<fleet_scheduler>(std::move(schedulerDependencies), epoch, m_settings);
    startScheduler();
}

void fleet_entry::startScheduler()
{
    const auto& view = m_dependencies.control.view();
    m_scheduler->start(view.rules, view.domainsOut);
    for (const auto& [key, item] : m_agents.records()) {
        if (isMember(item))
            m_scheduler->announce(agentName(key), item.value);
    }
}

void fleet_entry::loseLeadership()
{
    // The scheduler may be on the call stack, so it is destroyed in the next iteration of the event loop.
    std::shared_ptr<fleet_scheduler> ending = std::move(m_scheduler);
    m_dependencies.loop.detach("destroy scheduler", kj::evalLater([ending] {}));
}

void fleet_entry::controlChanged()
{
    if (m_scheduler == nullptr)
        return;
    m_scheduler->configure(m_dependencies.control.view().rules);
    m_scheduler->setDomainsOut(m_dependencies.control.view().domainsOut);
}

std::uint64_t fleet_entry::schedulerEpoch() const
{
    const auto& records = m_schedulerRecord.records();
    const auto found = records.find(record_keys::scheduler);
    return found == records.end() ? 0 : static_cast<std::uint64_t>(found->second.revision);
}

void fleet_entry::resign(std::function<void()> done)
{
    m_leadership.resign(std::move(done));
}

} // namespace fleet
