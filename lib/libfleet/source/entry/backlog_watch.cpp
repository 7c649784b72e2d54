#include <fleet/entry/backlog_watch.hpp>

#include <fleet/records/backlog_codec.hpp>
#include <fleet/records/job_codec.hpp>

#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace fleet {

backlog_watch::backlog_watch(record_store& store, oriole::timer_service& timers, std::function<oriole::time_point()> clock,
    std::function<std::uint64_t()> schedulerEpoch)
    : m_mirror(store, timers, record_keys::backlog)
    , m_clock(std::move(clock))
    , m_schedulerEpoch(std::move(schedulerEpoch))
{
}

void backlog_watch::start()
{
    m_mirror.start([this](const record_change& change) { apply(change); }, {});
}

void backlog_watch::apply(const record_change& change)
{
    // The record that the first load finds may have been written at any time, so its age is not known.
    if (change.item.key != record_keys::backlog || !m_mirror.loaded())
        return;
    if (change.removed) {
        m_known.condition = known_backlog::state::Missing;
        return;
    }
    auto decoded = decodeBacklog(change.item.value);
    // An epoch is an earlier revision of the store. A higher one, left by another writer, would outdate all later records.
    if (!decoded || decoded->epoch > static_cast<std::uint64_t>(change.item.revision)) {
        m_known.condition = known_backlog::state::Unreadable;
        oriole::logEvent(oriole::log_level::Error, "backlog_record_unreadable",
            { { "revision", change.item.revision }, { "bytes", change.item.value.size() } });
        return;
    }
    // A write without an answer may be applied after a later one.
    if (decoded->epoch == m_known.record.epoch && decoded->version < m_known.record.version)
        return;
    m_arrivedAt = m_clock();
    m_highestEpoch = std::max(m_highestEpoch, decoded->epoch);
    m_known.record = std::move(*decoded);
    m_known.condition = known_backlog::state::Usable;
}

known_backlog backlog_watch::present() const
{
    auto known = m_known;
    known.age = std::chrono::duration_cast<milliseconds>(m_clock() - m_arrivedAt);
    const auto newest = std::max(m_highestEpoch, m_schedulerEpoch());
    if (known.condition == known_backlog::state::Usable && known.record.epoch < newest)
        known.condition = known_backlog::state::EarlierEpoch;
    return known;
}

} // namespace fleet
