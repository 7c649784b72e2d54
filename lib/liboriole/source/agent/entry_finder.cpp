#include <oriole/agent/entry_finder.hpp>
#include <oriole/helpers/log.hpp>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds tickPeriod { 100 };
constexpr milliseconds minBackOff { 500 };
constexpr milliseconds maxBackOff { 10000 };

} // namespace

entry_finder::entry_finder(timer_service& timers, store_client& store, const std::string& environment,
    milliseconds firstDelay, unsigned randomSeed, connected_source connected, found_handler found)
    : m_timers(timers)
    , m_store(store, environment)
    , m_connected(std::move(connected))
    , m_onFound(std::move(found))
    , m_backOff(minBackOff)
    , m_nextRead(timers.now() + firstDelay)
    , m_random(randomSeed)
    , m_alive(std::make_shared<bool>(true))
{
    m_tick = m_timers.subscribeEvery(tickPeriod, [this](time_point) { tick(); });
}

entry_finder::~entry_finder()
{
    m_timers.cancel(m_tick);
}

void entry_finder::tick()
{
    const auto now = m_timers.now();
    if (m_connected() > 0) {
        m_backOff = minBackOff;
        m_nextRead = std::max(m_nextRead, now + withJitter(minBackOff));
        return;
    }
    if (m_reading || m_nextRead > now)
        return;

    m_nextRead = now + withJitter(m_backOff);
    m_backOff = std::min(2 * m_backOff, maxBackOff);
    read();
}

void entry_finder::read()
{
    m_reading = true;
    m_store.read([this, alive = std::weak_ptr(m_alive)](const result<control_snapshot>& answer) {
        if (alive.expired())
            return;
        m_reading = false;
        if (!answer) {
            logEvent(log_level::Warning, "entry_look_up_failed", { { "error", answer.error().reason } });
            return;
        }
        logEvent(log_level::Info, "entry_look_up", { { "entries", answer.value().entries.size() } });
        m_onFound(answer.value().entries);
    });
}

milliseconds entry_finder::withJitter(milliseconds delay)
{
    std::uniform_int_distribution<std::int64_t> spread(delay.count() / 2, delay.count() + delay.count() / 2);
    return milliseconds(spread(m_random));
}

} // namespace oriole
