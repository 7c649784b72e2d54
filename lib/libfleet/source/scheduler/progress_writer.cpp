#include <fleet/scheduler/progress_writer.hpp>

#include <fleet/records/job_codec.hpp>

#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

// A transaction has at most 32 entries: one condition on the scheduler's record, and a condition and two writes per job.
constexpr std::size_t jobsPerTransaction = 10;
constexpr milliseconds retryDelay { 150 };
constexpr milliseconds conflictDelay { 10 };
// A record that the store refuses for good is tried again this rarely; it may fit once tasks have ended.
constexpr milliseconds refusedRetryDelay { 2000 };

} // namespace

progress_writer::progress_writer(record_store& store, oriole::timer_service& timers,
    std::function<oriole::time_point()> clock, revision_number epoch, handlers eventHandlers)
    : m_store(store)
    , m_timers(timers)
    , m_clock(std::move(clock))
    , m_epoch(epoch)
    , m_handlers(std::move(eventHandlers))
{
}

progress_writer::~progress_writer()
{
    *m_alive = false;
}

void progress_writer::restore(const std::string& job, revision_number revision, std::optional<job_state> state)
{
    m_jobs[job].revision = revision;
    m_jobs[job].recordedState = state;
}

void progress_writer::markDirty(const std::string& job)
{
    m_jobs[job].dirty = true;
    m_dirty.insert(job);
    flushAfter(milliseconds(0));
}

bool progress_writer::isClean(const std::string& job) const
{
    const auto entry = m_jobs.find(job);
    return entry == m_jobs.end() || (!entry->second.dirty && !entry->second.writing);
}

void progress_writer::flushAfter(milliseconds delay)
{
    if (delay.count() == 0) {
        if (m_flushScheduled)
            return;
        m_flushScheduled = true;
    }
    m_timers.subscribeOnce(delay, [this, delay, alive = m_alive](oriole::time_point) {
        if (!*alive)
            return;
        if (delay.count() == 0)
            m_flushScheduled = false;
        flush();
    });
}

void progress_writer::flush()
{
    const auto jobs = nextJobs();
    if (jobs.empty())
        return;
    write(jobs);
    flush();
}

std::vector<std::string> progress_writer::nextJobs()
{
    std::vector<std::string> jobs;
    const auto now = m_timers.now();
    for (const auto& job : m_dirty) {
        const auto& entry = m_jobs[job];
        if (entry.writing || (entry.notBefore && now < *entry.notBefore))
            continue;
        if (entry.alone && !jobs.empty())
            continue;
        jobs.push_back(job);
        if (entry.alone || jobs.size() == jobsPerTransaction)
            break;
    }
    return jobs;
}

/// One record that the store refuses for good, as one that is too large, must not hold up the jobs that are written with it.
void progress_writer::separateRefused(const std::vector<std::string>& jobs, const failure& error)
{
    if (jobs.size() > 1) {
        for (const auto& job : jobs)
            m_jobs[job].alone = true;
        return flushAfter(milliseconds(0));
    }
    oriole::logEvent(oriole::log_level::Error, "progress_refused",
        { { "job", jobs.front() }, { "reason", error.reason }, { "retry_ms", refusedRetryDelay.count() } });
    m_jobs[jobs.front()].notBefore = m_timers.now() + refusedRetryDelay;
    flushAfter(refusedRetryDelay);
    flush();
}

void progress_writer::write(const std::vector<std::string>& jobs)
{
    record_transaction transaction;
    transaction.conditions.push_back({ record_keys::scheduler, m_epoch });
    std::vector<job_state> states;
    for (const auto& job : jobs) {
        auto& entry = m_jobs[job];
        const auto source = m_handlers.read(job);
        entry.dirty = false;
        entry.writing = true;
        m_dirty.erase(job);
        states.push_back(source.progress == nullptr ? job_state::Queued : source.progress->state);
        if (source.progress == nullptr)
            continue;
        transaction.conditions.push_back({ record_keys::progress + job, entry.revision });
        transaction.writes.push_back({ record_keys::progress + job, encodeProgress(*source.progress) });
        if (entry.recordedState != states.back())
            transaction.writes.push_back({ record_keys::status + job, encodeStatus({ source.queue, states.back() }) });
    }
    const auto sentAt = m_clock();
    m_store.commit(std::move(transaction),
        [this, jobs, states, sentAt, alive = m_alive](const result<commit_outcome>& outcome) {
            if (*alive)
                handleOutcome(jobs, states, sentAt, outcome);
        });
}

void progress_writer::handleOutcome(const std::vector<std::string>& jobs, const std::vector<job_state>& states,
    oriole::time_point sentAt, const result<commit_outcome>& outcome)
{
    const bool applied = outcome && outcome.value().applied;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        auto& entry = m_jobs[jobs[i]];
        entry.writing = false;
        if (applied) {
            entry.revision = outcome.value().revision;
            entry.recordedState = states[i];
            entry.alone = false;
            entry.notBefore.reset();
        } else {
            entry.dirty = true;
            m_dirty.insert(jobs[i]);
            // A write without an answer may have changed the status record, so it is written again.
            entry.recordedState.reset();
        }
    }
    if (applied) {
        m_handlers.leadershipConfirmed(sentAt);
        for (const auto& job : jobs)
            m_handlers.recorded(job);
        return flush();
    }
    if (!outcome) {
        oriole::logEvent(oriole::log_level::Warning, "progress_not_written",
            { { "jobs", jobs.size() }, { "first", jobs.front() }, { "reason", outcome.error().reason } });
        if (outcome.error().kind == oriole::failure_kind::InvalidInput)
            return separateRefused(jobs, outcome.error());
        return flushAfter(retryDelay);
    }
    if (!adoptRevisions(outcome.value().current))
        return m_handlers.leadershipLost("the scheduler's record has changed");
    flushAfter(conflictDelay);
}

/// An earlier write without an answer may have been committed. The next write uses the revisions now in the store.
/// @return False when another scheduler has replaced this one.
bool progress_writer::adoptRevisions(const std::vector<record>& current)
{
    for (const auto& item : current) {
        if (item.key == record_keys::scheduler) {
            if (item.revision != m_epoch)
                return false;
            continue;
        }
        if (item.key.starts_with(record_keys::progress))
            m_jobs[item.key.substr(record_keys::progress.size())].revision = item.revision;
    }
    return true;
}

} // namespace fleet
