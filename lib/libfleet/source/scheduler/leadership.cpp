#include <fleet/scheduler/leadership.hpp>

#include <fleet/records/job_codec.hpp>

#include <oriole/helpers/log.hpp>
#include <oriole/helpers/random.hpp>

#include <utility>

namespace fleet {

namespace {

// A take-over waits at most this long for a scheduler that died; four renewals fit into it.
constexpr milliseconds leaseTime { 2000 };
constexpr milliseconds renewPeriod { 500 };
constexpr milliseconds renewRetry { 150 };
// Without a scheduler the others try at this pace; a removed record is heard of by the watch before.
constexpr milliseconds attemptPeriod { 700 };

} // namespace

leadership::leadership(record_store& store, oriole::timer_service& timers, std::function<time_point()> clock,
    std::string name, handlers notify)
    : m_store(store)
    , m_timers(timers)
    , m_clock(std::move(clock))
    , m_name(std::move(name))
    , m_token(m_name + "/" + oriole::randomId())
    , m_notify(std::move(notify))
{
}

leadership::~leadership()
{
    *m_alive = false;
}

void leadership::later(milliseconds delay, void (leadership::*step)())
{
    m_timers.subscribeOnce(delay, [this, step, alive = m_alive](time_point) {
        if (*alive)
            (this->*step)();
    });
}

void leadership::start()
{
    attempt();
}

void leadership::recordChanged(bool exists)
{
    if (!exists && !m_epoch && !m_trying)
        attempt();
}

void leadership::attempt()
{
    if (m_trying || m_epoch || m_resigned)
        return;
    m_trying = true;
    m_store.get(record_keys::scheduler, [this, alive = m_alive](const result<record>& found) {
        if (!*alive)
            return;
        m_trying = false;
        if (found && isOfEarlierLife(found.value()))
            return removeEarlier(found.value());
        if (!found || found.value().revision != 0)
            return later(attemptPeriod, &leadership::attempt);
        m_trying = true;
        m_store.grantLease(leaseTime, [this, alive](const result<std::int64_t>& lease) {
            if (!*alive)
                return;
            if (!lease) {
                m_trying = false;
                return later(attemptPeriod, &leadership::attempt);
            }
            m_lease = lease.value();
            claim();
        });
    });
}

/// The process that wrote it has ended, since this one runs in its place: its lease need not be waited for.
bool leadership::isOfEarlierLife(const record& found) const
{
    return found.revision != 0 && found.value != m_token && found.value.starts_with(m_name + "/");
}

void leadership::removeEarlier(const record& found)
{
    oriole::logEvent(oriole::log_level::Info, "earlier_life_removed",
        { { "record", found.value }, { "revision", found.revision } });
    m_trying = true;
    record_transaction removal { { { record_keys::scheduler, found.revision } }, {}, { record_keys::scheduler } };
    m_store.commit(std::move(removal), [this, alive = m_alive](const result<commit_outcome>& outcome) {
        if (!*alive)
            return;
        m_trying = false;
        if (outcome && outcome.value().applied)
            return attempt();
        later(attemptPeriod, &leadership::attempt);
    });
}

void leadership::claim()
{
    const auto sentAt = m_clock();
    record_transaction claim { { { record_keys::scheduler, 0 } }, { { record_keys::scheduler, m_token, m_lease } }, {} };
    m_store.commit(std::move(claim), [this, sentAt, alive = m_alive](const result<commit_outcome>& outcome) {
        if (!*alive)
            return;
        if (outcome && outcome.value().applied)
            return win(static_cast<std::uint64_t>(outcome.value().revision), sentAt);
        readBack();
    });
}

void leadership::readBack()
{
    const auto sentAt = m_clock();
    m_store.get(record_keys::scheduler, [this, sentAt, alive = m_alive](const result<record>& found) {
        if (!*alive)
            return;
        if (found && found.value().revision != 0 && found.value().value == m_token)
            return win(static_cast<std::uint64_t>(found.value().revision), sentAt);
        m_trying = false;
        later(attemptPeriod, &leadership::attempt);
    });
}

void leadership::win(std::uint64_t epoch, time_point sentAt)
{
    m_trying = false;
    m_epoch = epoch;
    m_provenAt = sentAt;
    oriole::logEvent(oriole::log_level::Info, "scheduler_won", { { "epoch", epoch } });
    later(renewPeriod, &leadership::renew);
    m_notify.won(epoch);
}

void leadership::prove(time_point sentAt)
{
    m_provenAt = std::max(m_provenAt, sentAt);
}

void leadership::renew()
{
    if (!m_epoch)
        return;
    const auto sentAt = m_clock();
    m_store.renewLease(m_lease, [this, sentAt, alive = m_alive](const result<bool>& stands) {
        if (!*alive || !m_epoch)
            return;
        if (!stands)
            return later(renewRetry, &leadership::renew);
        if (!stands.value())
            return depose("the lease has ended");
        prove(sentAt);
        later(renewPeriod, &leadership::renew);
    });
}

void leadership::depose(const std::string& reason)
{
    if (!m_epoch)
        return;
    oriole::logEvent(oriole::log_level::Warning, "scheduler_lost", { { "epoch", *m_epoch }, { "reason", reason } });
    m_epoch.reset();
    m_notify.lost(reason);
    attempt();
}

void leadership::resign(std::function<void()> done)
{
    m_resigned = true;
    if (!m_epoch)
        return done();
    oriole::logEvent(oriole::log_level::Info, "scheduler_resigns", { { "epoch", *m_epoch } });
    m_epoch.reset();
    m_notify.lost("planned stop");
    m_store.endLease(m_lease, [done = std::move(done)](const result<bool>&) { done(); });
}

} // namespace fleet
