#include <fleet/entry/job_service.hpp>

#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace fleet {

namespace {

// A caller waits 3 s in total, which has to leave time to relay the call to another entry. A slow store takes 300 ms.
constexpr milliseconds storeTimeout { 700 };

submit_outcome compareWithStored(const record& stored, const accepted_job& job)
{
    const auto known = decodeJob(stored.value);
    return known && known->bodyDigest == job.bodyDigest ? submit_outcome::Accepted : submit_outcome::IdConflict;
}

submit_outcome explainRefusal(const std::vector<record>& current, const accepted_job& job)
{
    const auto stored = [&current](const std::string& key) {
        return std::find_if(current.begin(), current.end(), [&key](const record& item) { return item.key == key && item.revision != 0; });
    };
    if (const auto known = stored(record_keys::jobs + job.id); known != current.end())
        return compareWithStored(*known, job);
    return stored(record_keys::cancels + job.id) != current.end() ? submit_outcome::Cancelled : submit_outcome::ConfigurationChanged;
}

} // namespace

job_service::job_service(record_store& store, oriole::timer_service& timers)
    : m_store(store)
    , m_status(store, timers, record_keys::status)
    , m_earlyCancels(store, timers)
{
}

void job_service::start()
{
    m_status.start([this](const record_change& change) { handleStatusChange(change); }, {});
}

void job_service::handleStatusChange(const record_change& change)
{
    const auto id = change.item.key.substr(record_keys::status.size());
    if (const auto known = m_statuses.find(id); known != m_statuses.end()) {
        if (known->second.state == job_state::Queued)
            --m_pending[known->second.queue];
        m_statuses.erase(known);
    }
    if (change.removed)
        return;
    const auto status = decodeStatus(change.item.value);
    if (!status) {
        oriole::logEvent(oriole::log_level::Error, "status_record_unreadable", { { "key", change.item.key } });
        return;
    }
    if (status->state == job_state::Queued)
        ++m_pending[status->queue];
    m_statuses[id] = *status;
}

void job_service::submit(accepted_job job, const record_condition& control, std::function<void(submit_outcome)> done)
{
    record_transaction transaction;
    // A write may be carried out seconds late, when its caller has cancelled the job.
    transaction.conditions = { { record_keys::jobs + job.id, 0 }, { record_keys::cancels + job.id, 0 }, control };
    transaction.answerTimeout = storeTimeout;
    const auto status = encodeStatus({ job.queue, job_state::Queued });
    transaction.writes = { { record_keys::jobs + job.id, encodeJob(job) }, { record_keys::status + job.id, status } };
    m_store.commit(std::move(transaction),
        [this, job = std::move(job), status, done = std::move(done)](const result<commit_outcome>& outcome) {
            if (!outcome && outcome.error().ran == oriole::verdict::NotRun)
                return done(submit_outcome::NotStored);
            if (!outcome)
                return done(submit_outcome::MayBeStored);
            if (outcome.value().applied) {
                m_status.apply({ record_keys::status + job.id, status, outcome.value().revision });
                return done(submit_outcome::Accepted);
            }
            done(explainRefusal(outcome.value().current, job));
        });
}

void job_service::holds(const std::string& id, std::function<void(result<bool>)> done)
{
    if (m_statuses.contains(id))
        return done(true);
    // The watch may be behind, so only the store can tell that there is no such job.
    m_store.get(record_keys::jobs + id, [done = std::move(done)](const result<record>& found) {
        if (!found)
            return done(found.error());
        done(found.value().revision != 0);
    });
}

void job_service::find(const std::string& id, std::function<void(result<std::optional<job_status>>)> done)
{
    if (const auto known = m_statuses.find(id); known != m_statuses.end()) {
        auto status = known->second;
        if (!isFinal(status.state) && m_cancelled.contains(id))
            status.state = job_state::Cancelled;
        return done(std::optional(status));
    }
    m_store.get(record_keys::status + id, [done = std::move(done)](const result<record>& found) {
        if (!found)
            return done(found.error());
        if (found.value().revision == 0)
            return done(std::optional<job_status> {});
        done(decodeStatus(found.value().value));
    });
}

void job_service::cancel(const std::string& id, cancel_handler done)
{
    if (m_statuses.contains(id))
        return cancelStored(id, std::move(done));
    // The watch may be behind, and a submission under way; the store decides which was first.
    m_earlyCancels.record(id, [this, id, done = std::move(done)](const result<early_cancel_outcome>& outcome) {
        if (!outcome)
            return done(outcome.error());
        if (outcome.value() == early_cancel_outcome::Recorded)
            return done(std::optional<job_state> {});
        cancelStored(id, done);
    });
}

void job_service::cancelStored(const std::string& id, cancel_handler done)
{
    find(id, [this, id, done = std::move(done)](const result<std::optional<job_status>>& found) {
        if (!found)
            return done(found.error());
        if (!found.value())
            return done(std::optional<job_state> {});
        const auto status = *found.value();
        if (isFinal(status.state))
            return done(std::optional(status.state));
        // The write needs no condition because a repeated cancellation has no effect.
        record_transaction transaction;
        transaction.writes = { { record_keys::cancels + id, "{}" } };
        transaction.answerTimeout = storeTimeout;
        m_store.commit(std::move(transaction), [this, id, status, done](const result<commit_outcome>& outcome) {
            if (!outcome)
                return done(outcome.error());
            m_cancelled.insert(id);
            done(std::optional(job_state::Cancelled));
        });
    });
}

std::size_t job_service::pending(const std::string& queue) const
{
    const auto entry = m_pending.find(queue);
    return entry == m_pending.end() ? 0 : entry->second;
}

} // namespace fleet
