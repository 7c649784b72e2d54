#include <fleet/entry/early_cancels.hpp>

#include <fleet/records/job_codec.hpp>

#include <oriole/helpers/log.hpp>

#include <utility>

namespace fleet {

namespace {

// A caller waits 3 s in total, which has to leave time to relay the call to another entry.
constexpr milliseconds storeTimeout { 700 };
// The platform's store carries out writes up to 6 s late, and a submission that is under way is answered within 2 s.
constexpr milliseconds leastRecordTime { 30'000 };
// New records use a lease for this long; so a record lasts for at most both times together.
constexpr milliseconds leaseUse { 30'000 };
// Any caller with a key can have records made, and each scheduler holds them all. Ten entries: 20,000 records, 4 MB.
constexpr unsigned maxRecordsOfLease = 1000;

} // namespace

early_cancels::early_cancels(record_store& store, oriole::timer_service& timers)
    : m_store(store)
    , m_timers(timers)
{
}

void early_cancels::record(const std::string& id, handler done)
{
    withLease([this, id, done = std::move(done)](const result<std::int64_t>& lease) {
        if (!lease)
            return done(lease.error());
        commit(id, lease.value(), done);
    });
}

void early_cancels::withLease(std::function<void(result<std::int64_t>)> use)
{
    if (m_lease && m_timers.now() < m_lease->usableUntil) {
        if (m_lease->records == maxRecordsOfLease)
            return use(oriole::notRun(oriole::failure_kind::Overloaded, "too many cancellations of jobs that are not stored"));
        ++m_lease->records;
        return use(m_lease->id);
    }
    m_waiting.push_back(std::move(use));
    if (m_waiting.size() > 1)
        return;
    m_store.grantLease(leastRecordTime + leaseUse, [this, askedAt = m_timers.now()](const result<std::int64_t>& granted) {
        if (granted)
            m_lease = record_lease { granted.value(), askedAt + leaseUse, 0 };
        takeLease(granted);
    });
}

void early_cancels::takeLease(const result<std::int64_t>& granted)
{
    for (const auto& use : std::exchange(m_waiting, {})) {
        if (granted)
            withLease(use);
        else
            // A lease without records changes nothing, whether it was granted or not.
            use(oriole::notRun(oriole::failure_kind::Unavailable, granted.error().reason));
    }
}

void early_cancels::commit(const std::string& id, std::int64_t lease, handler done)
{
    record_transaction transaction;
    transaction.conditions = { { record_keys::jobs + id, 0 } };
    transaction.writes = { { record_keys::cancels + id, "{}", lease } };
    transaction.answerTimeout = storeTimeout;
    m_store.commit(std::move(transaction), [this, id, lease, done = std::move(done)](const result<commit_outcome>& outcome) {
        if (!outcome) {
            // The lease may have ended while the store was down.
            if (outcome.error().kind == oriole::failure_kind::InvalidInput && m_lease && m_lease->id == lease)
                m_lease.reset();
            return done(outcome.error());
        }
        if (!outcome.value().applied)
            return done(early_cancel_outcome::JobStored);
        oriole::logEvent(oriole::log_level::Info, "early_cancel_recorded", { { "job", id }, { "lease", lease } });
        done(early_cancel_outcome::Recorded);
    });
}

} // namespace fleet
