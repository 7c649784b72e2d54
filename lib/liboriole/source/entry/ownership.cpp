#include <oriole/entry/ownership.hpp>
#include <oriole/helpers/log.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

constexpr milliseconds retryPeriod { 1000 };

std::uint64_t weight(const std::string& organisation, const std::string& entry)
{
    const auto text = organisation + '\n' + entry;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::string preferredEntry(const std::string& organisation, const std::vector<std::string>& candidates)
{
    return *std::max_element(candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) {
        return std::pair(weight(organisation, left), left) < std::pair(weight(organisation, right), right);
    });
}

ownership::ownership(store_client& store, timer_service& timers, const entry_liveness& liveness,
    std::string environment, std::string self)
    : m_store(store)
    , m_timers(timers)
    , m_liveness(liveness)
    , m_environment(std::move(environment))
    , m_self(std::move(self))
{
}

void ownership::configure(std::set<std::string> organisations)
{
    // A page that is owned stays owned although its organisation left the document: its jobs still have to end.
    std::erase_if(m_slots, [&](const auto& item) {
        const auto& [name, slot] = item;
        return !organisations.contains(name) && !slot.acquiring && slot.keeper == nullptr;
    });
    for (const auto& name : organisations)
        m_slots.try_emplace(name);
}

void ownership::tick(time_point now)
{
    if (m_leaving)
        return;

    auto candidates = m_liveness.liveEntries();
    candidates.push_back(m_self);
    for (auto& [name, slot] : m_slots) {
        if (slot.keeper != nullptr || slot.acquiring || now < slot.retryAt)
            continue;
        if (m_liveness.reportedOwner(name))
            continue;
        if (preferredEntry(name, candidates) == m_self)
            acquire(name);
    }
}

std::shared_ptr<page_keeper> ownership::find(const std::string& organisation) const
{
    const auto found = m_slots.find(organisation);
    return found == m_slots.end() ? nullptr : found->second.keeper;
}

std::string ownership::entryFor(const std::string& organisation) const
{
    if (find(organisation) != nullptr)
        return m_self;
    if (const auto reported = m_liveness.reportedOwner(organisation))
        return *reported;

    auto candidates = m_liveness.liveEntries();
    if (!m_leaving || candidates.empty())
        candidates.push_back(m_self);
    return preferredEntry(organisation, candidates);
}

std::vector<page_ownership> ownership::owned() const
{
    std::vector<page_ownership> pages;
    for (const auto& [name, slot] : m_slots) {
        if (slot.keeper != nullptr)
            pages.push_back({ name, slot.keeper->epoch() });
    }
    return pages;
}

void ownership::releaseAll(const std::function<void()>& done)
{
    m_leaving = true;
    const auto pages = owned();
    if (pages.empty()) {
        done();
        return;
    }

    auto left = std::make_shared<std::size_t>(pages.size());
    for (const auto& page : pages) {
        find(page.organisation)->release([this, name = page.organisation, left, done](const result<bool>&) {
            m_slots[name].keeper = nullptr;
            lost.emit(name);
            if (--*left == 0)
                done();
        });
    }
}

void ownership::acquire(const std::string& organisation)
{
    auto keeper = std::make_shared<page_keeper>(m_store, m_timers, m_environment, organisation, m_self);
    m_slots[organisation].acquiring = true;
    const auto mayReplace = [this](const std::string& owner) { return m_liveness.gone(owner); };
    keeper->acquire(mayReplace, [this, organisation, keeper](const result<acquisition>& outcome) {
        auto& slot = m_slots[organisation];
        slot.acquiring = false;
        if (!outcome || outcome.value() != acquisition::Acquired) {
            slot.retryAt = m_timers.now() + retryPeriod;
            return;
        }
        slot.keeper = keeper;
        pageAcquired(organisation, *keeper);
    });
}

void ownership::pageAcquired(const std::string& organisation, page_keeper& keeper)
{
    logEvent(log_level::Info, "page_acquired", { { "organisation", organisation }, { "epoch", keeper.epoch() } });
    keeper.onLost([this, organisation] {
        m_slots[organisation].keeper = nullptr;
        m_slots[organisation].retryAt = m_timers.now() + retryPeriod;
        lost.emit(organisation);
    });
    acquired.emit(organisation);
}

} // namespace oriole
