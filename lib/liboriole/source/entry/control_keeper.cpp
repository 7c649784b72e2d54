#include <oriole/entry/control_keeper.hpp>
#include <oriole/helpers/log.hpp>

#include <utility>

namespace oriole {

namespace {

constexpr milliseconds pollPeriod { 1000 };
constexpr milliseconds renewPeriod { 2000 };
constexpr std::chrono::seconds leaseTtl { 6 };

// Two polls: one late reply does not make the view stale.
constexpr milliseconds freshnessLimit { 2000 };

} // namespace

control_keeper::control_keeper(
    store_client& store, control_store& control, timer_service& timers, entry_address self)
    : m_store(store)
    , m_control(control)
    , m_timers(timers)
    , m_self(std::move(self))
{
}

void control_keeper::start()
{
    m_timers.subscribeEvery(pollPeriod, [this](time_point) { poll(); });
    m_timers.subscribeEvery(renewPeriod, [this](time_point) { renew(); });
    poll();
    grant();
}

void control_keeper::withdraw(const std::function<void()>& done)
{
    m_withdrawn = true;
    if (m_lease == 0) {
        done();
        return;
    }
    m_store.revokeLease(m_lease, [done](const result<bool>&) { done(); });
}

void control_keeper::offer(const std::shared_ptr<const configuration_head>& configuration)
{
    if (!m_state.offer(configuration))
        return;
    logEvent(log_level::Info, "configuration_in_force", { { "revision", m_state.configurationRevision() } });
    configurationChanged.emit();
}

void control_keeper::offer(const failure_domain_states& states)
{
    if (!m_state.offer(states))
        return;
    logEvent(log_level::Info, "failure_domains_in_force", { { "revision", states.revision }, { "out", states.out } });
    failureDomainsChanged.emit();
}

bool control_keeper::readsStore() const
{
    return m_everRead && readAge() <= freshnessLimit;
}

milliseconds control_keeper::readAge() const
{
    return std::chrono::ceil<milliseconds>(m_timers.now() - m_lastRead);
}

void control_keeper::poll()
{
    if (m_polling)
        return;

    m_polling = true;
    const auto sent = m_timers.now();
    m_control.read([this, sent](const result<control_snapshot>& snapshot) {
        m_polling = false;
        readFinished(snapshot, sent);
    });
}

void control_keeper::readFinished(const result<control_snapshot>& snapshot, time_point sent)
{
    if (!snapshot) {
        logEvent(log_level::Debug, "store_read_failed", { { "reason", snapshot.error().reason } });
        return;
    }

    // The view is as old as the request, not as the reply.
    m_lastRead = sent;
    m_everRead = true;
    offer(snapshot.value().configuration);
    offer(snapshot.value().failureDomains);
    m_listed.clear();
    for (const auto& entry : snapshot.value().entries) {
        if (entry.name != m_self.name)
            m_listed.push_back(entry);
    }
    listChanged.emit();
}

void control_keeper::renew()
{
    if (m_withdrawn || m_leasing)
        return;
    if (m_lease == 0) {
        grant();
        return;
    }

    m_leasing = true;
    m_store.renewLease(m_lease, [this](const result<std::chrono::seconds>& left) {
        m_leasing = false;
        if (left && left.value() == std::chrono::seconds::zero()) {
            m_lease = 0;
            grant();
        }
    });
}

void control_keeper::grant()
{
    if (m_withdrawn || m_leasing)
        return;

    m_leasing = true;
    m_store.grantLease(leaseTtl, [this](const result<std::int64_t>& lease) {
        if (!lease) {
            m_leasing = false;
            return;
        }
        const auto id = lease.value();
        m_control.announceEntry(m_self, id, [this, id](const result<bool>& announced) {
            m_leasing = false;
            if (announced && announced.value())
                m_lease = id;
        });
    });
}

} // namespace oriole
