#include <fleet/scheduler/leadership.hpp>

#include <fleet/records/job_codec.hpp>

#include <oriole/helpers/log.hpp>
#include <oriole/helpers/random.hpp>

#include <utility>

namespace fleet {

namespace {

// The lease allows four renewals.
constexpr milliseconds renewPeriod { 500 };
constexpr milliseconds renewRetry { 150 };
// Entries retry at this period. Usually the watch reports a removed record earlier.
constexpr milliseconds acquirePeriod { 700 };
// Retry period while it is not known how this entry compares to others.
constexpr milliseconds claimRetry { 100 };
// An entry that lost the record within this time lets others claim it first.
constexpr milliseconds recentLossTime { 10'000 };

} // namespace

leadership::leadership(record_store& store, oriole::timer_service& timers, std::function<time_point()> clock,
    std::string name, handlers eventHandlers)
    : m_store(store)
    , m_timers(timers)
    , m_clock(std::move(clock))
    , m_name(std::move(name))
    , m_token(m_name + "/" + oriole::randomId())
    , m_handlers(std::move(eventHandlers))
{
}

leadership::~leadership()
{
    *m_alive = false;
}

void leadership::start()
{
    tryAcquire();
}

void leadership::recordChanged(bool exists)
{
    if (exists)
        m_missingSince.reset();
    if (!exists && !m_epoch && !m_acquiring)
        tryAcquire();
}

/// One attempt is scheduled at a time; a new one replaces it.
void leadership::acquireAfter(milliseconds delay)
{
    m_timers.cancel(m_acquireSubscription);
    m_acquireSubscription = m_timers.subscribeOnce(delay, [this, alive = m_alive](time_point) {
        if (*alive)
            tryAcquire();
    });
}

void leadership::tryAcquire()
{
    if (m_acquiring || m_epoch || m_resigned)
        return;
    m_acquiring = true;
    m_store.get(record_keys::scheduler, [this, alive = m_alive](const result<record>& found) {
        if (!*alive || m_resigned)
            return;
        m_acquiring = false;
        if (found && isFromEarlierProcess(found.value()))
            return endLeaseOf(found.value());
        if (!found || found.value().revision != 0) {
            m_missingSince.reset();
            return acquireAfter(acquirePeriod);
        }
        if (const auto delay = timeToClaim(); delay.count() > 0)
            return acquireAfter(delay);
        m_acquiring = true;
        m_store.grantLease(leaseTtl, [this, alive](const result<std::int64_t>& lease) {
            if (!*alive || m_resigned)
                return;
            if (!lease) {
                m_acquiring = false;
                return acquireAfter(acquirePeriod);
            }
            m_lease = lease.value();
            claim();
        });
    });
}

milliseconds leadership::timeToClaim()
{
    const auto now = m_clock();
    if (!m_missingSince)
        m_missingSince = now;
    if (!m_handlers.claimDelay)
        return milliseconds(0);
    const bool lostRecently = m_lostAt && now - *m_lostAt < recentLossTime;
    const auto delay = m_handlers.claimDelay(lostRecently);
    if (!delay)
        return claimRetry;
    return *delay - std::chrono::duration_cast<milliseconds>(now - *m_missingSince);
}

/// An earlier process of the same name wrote the record if it was there when this process first looked. A later one of that name may
/// belong to a process that runs beside this one.
bool leadership::isFromEarlierProcess(const record& found)
{
    const bool hasOwnName = found.revision != 0 && found.value.starts_with(m_name + "/");
    if (!m_earlierRecord)
        m_earlierRecord = hasOwnName ? found.revision : 0;
    return hasOwnName && found.lease != 0 && found.revision == *m_earlierRecord;
}

/// Without its lease an earlier process that still runs can't be confirmed as the scheduler any more. Without the record alone it
/// would go on renewing the lease, and answer the reports of agents until it next wrote.
void leadership::endLeaseOf(const record& found)
{
    oriole::logEvent(oriole::log_level::Info, "stale_scheduler_lease_ended",
        { { "record", found.value }, { "revision", found.revision }, { "lease", found.lease } });
    m_acquiring = true;
    m_store.revokeLease(found.lease, [this, alive = m_alive](const result<bool>& ended) {
        if (!*alive)
            return;
        m_acquiring = false;
        if (ended && ended.value())
            return tryAcquire();
        acquireAfter(acquirePeriod);
    });
}

void leadership::claim()
{
    const auto sentAt = m_clock();
    record_transaction claim { { { record_keys::scheduler, 0 } }, { { record_keys::scheduler, m_token, m_lease } }, {} };
    m_store.commit(std::move(claim), [this, sentAt, alive = m_alive](const result<commit_outcome>& outcome) {
        if (!*alive || m_resigned)
            return;
        if (outcome && outcome.value().applied)
            return becomeLeader(static_cast<std::uint64_t>(outcome.value().revision), sentAt);
        readBack();
    });
}

void leadership::readBack()
{
    const auto sentAt = m_clock();
    m_store.get(record_keys::scheduler, [this, sentAt, alive = m_alive](const result<record>& found) {
        if (!*alive || m_resigned)
            return;
        // An earlier claim of this process may have been carried out late; its record ends with a lease that is not renewed.
        if (found && found.value().revision != 0 && found.value().value == m_token && found.value().lease == m_lease)
            return becomeLeader(static_cast<std::uint64_t>(found.value().revision), sentAt);
        m_acquiring = false;
        acquireAfter(acquirePeriod);
    });
}

void leadership::becomeLeader(std::uint64_t epoch, time_point sentAt)
{
    m_acquiring = false;
    m_missingSince.reset();
    m_epoch = epoch;
    m_confirmedAt = sentAt;
    oriole::logEvent(oriole::log_level::Info, "leadership_acquired", { { "epoch", epoch } });
    renewAfter(renewPeriod);
    m_handlers.acquired(epoch);
}

void leadership::confirm(time_point sentAt)
{
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
}

/// One renewal is scheduled at a time, so that none of an earlier leadership is left.
void leadership::renewAfter(milliseconds delay)
{
    m_timers.cancel(m_renewSubscription);
    m_renewSubscription = m_timers.subscribeOnce(delay, [this, alive = m_alive](time_point) {
        if (*alive)
            renew();
    });
}

void leadership::renew()
{
    if (!m_epoch)
        return;
    const auto sentAt = m_clock();
    m_store.renewLease(m_lease, [this, sentAt, lease = m_lease, alive = m_alive](const result<bool>& leaseValid) {
        if (!*alive || !m_epoch || lease != m_lease)
            return;
        if (!leaseValid)
            return renewAfter(renewRetry);
        if (!leaseValid.value())
            return stepDown("the lease has expired");
        confirm(sentAt);
        renewAfter(renewPeriod);
    });
}

void leadership::stepDown(const std::string& reason)
{
    if (!m_epoch)
        return;
    oriole::logEvent(oriole::log_level::Warning, "leadership_lost", { { "epoch", *m_epoch }, { "reason", reason } });
    m_epoch.reset();
    m_lostAt = m_clock();
    m_handlers.lost(reason);
    tryAcquire();
}

void leadership::resign(std::function<void()> done)
{
    m_resigned = true;
    if (m_lease == 0 || (!m_epoch && !m_acquiring))
        return done();
    if (m_epoch) {
        oriole::logEvent(oriole::log_level::Info, "leadership_resigned", { { "epoch", *m_epoch } });
        m_epoch.reset();
        m_handlers.lost("planned stop");
    }
    // A claim that is under way leaves no record either: it is carried out under this lease, or not at all.
    m_store.revokeLease(m_lease, [done = std::move(done)](const result<bool>&) { done(); });
}

} // namespace fleet
