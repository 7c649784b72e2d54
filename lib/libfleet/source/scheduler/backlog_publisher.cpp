#include <fleet/scheduler/backlog_publisher.hpp>

#include <fleet/core/backlog_summary.hpp>
#include <fleet/model/unix_time.hpp>
#include <fleet/records/backlog_codec.hpp>
#include <fleet/records/job_codec.hpp>

#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

constexpr milliseconds updatePeriod { 500 };
// A sum over 2,000 workers, 11,000 runs and 4,500 jobs takes 5 ms of a core. This limits it to a two-hundredth of the time.
constexpr int pauseFactor = 200;
constexpr milliseconds maxUpdatePeriod { 2000 };
// After a takeover agents attach one after another. Until they have, the capacity looks smaller than it is.
constexpr milliseconds settleTime { 5000 };
// Entries take a record of 8 s for old, so that two of these writes may fail.
constexpr milliseconds refreshPeriod { 3000 };
constexpr milliseconds failureDelay { 2000 };

/// @brief Whether the other scheduler's record shows that this one was replaced.
bool showsOtherEpoch(const std::vector<record>& current, revision_number epoch)
{
    return std::any_of(current.begin(), current.end(),
        [epoch](const record& item) { return item.key == record_keys::scheduler && item.revision != epoch; });
}

} // namespace

backlog_publisher::backlog_publisher(record_store& store, oriole::metrics_registry& metrics, revision_number epoch)
    : m_store(store)
    , m_metrics(metrics)
    , m_epoch(epoch)
{
}

backlog_publisher::~backlog_publisher()
{
    *m_alive = false;
}

bool backlog_publisher::mayWrite(oriole::time_point now) const
{
    return !m_writing && !m_replaced && now >= m_nextUpdate;
}

void backlog_publisher::update(oriole::time_point now, const std::function<backlog()>& summarize)
{
    if (!m_firstUpdate) {
        m_firstUpdate = now;
        m_nextUpdate = now + settleTime;
    }
    if (!mayWrite(now))
        return;
    const auto began = std::chrono::steady_clock::now();
    auto present = summarize();
    const auto took = std::chrono::ceil<milliseconds>(std::chrono::steady_clock::now() - began);
    m_nextUpdate = now + std::clamp(took * pauseFactor, updatePeriod, maxUpdatePeriod);
    if (const auto* reason = reasonToWrite(present, now))
        write(std::move(present), now, reason);
}

/// @return Null if nothing has to be written.
const char* backlog_publisher::reasonToWrite(const backlog& present, oriole::time_point now) const
{
    if (m_unconfirmed)
        return "repeated";
    const bool busy = !isIdle(present);
    const bool wasBusy = m_published && !isIdle(*m_published);
    if (!busy)
        return wasBusy ? "idle" : nullptr;
    if (!wasBusy || differsNoticeably(*m_published, present))
        return "changed";
    return now - m_writtenAt >= refreshPeriod ? "refreshed" : nullptr;
}

void backlog_publisher::write(backlog present, oriole::time_point now, const char* reason)
{
    m_writing = true;
    m_writtenAt = now;
    const backlog_record item { static_cast<std::uint64_t>(m_epoch), ++m_version, unixMilliseconds(), present };
    m_published = std::move(present);
    oriole::logEvent(oriole::log_level::Info, "backlog_published",
        { { "epoch", m_epoch }, { "version", m_version }, { "reason", reason }, { "services", item.content.services.size() } });
    m_metrics.counter("oriole_backlog_writes_total", { { "reason", reason } }).add();
    record_transaction transaction;
    transaction.conditions = { { record_keys::scheduler, m_epoch } };
    transaction.writes = { { record_keys::backlog, encodeBacklog(item) } };
    m_store.commit(std::move(transaction), [this, now, alive = m_alive](const result<commit_outcome>& outcome) {
        if (*alive)
            handleOutcome(outcome, now);
    });
}

void backlog_publisher::handleOutcome(const result<commit_outcome>& outcome, oriole::time_point now)
{
    m_writing = false;
    m_unconfirmed = !outcome || !outcome.value().applied;
    if (!m_unconfirmed)
        return;
    m_replaced = outcome && showsOtherEpoch(outcome.value().current, m_epoch);
    m_nextUpdate = std::max(m_nextUpdate, now + failureDelay);
    oriole::logEvent(oriole::log_level::Warning, "backlog_not_written",
        { { "epoch", m_epoch }, { "version", m_version }, { "replaced", m_replaced },
            { "reason", outcome ? "a condition does not hold" : outcome.error().reason } });
}

} // namespace fleet
