#include <fleet/store/store_mirror.hpp>

#include <oriole/helpers/log.hpp>

#include <utility>

namespace fleet {

namespace {

// A watch on a silent connection is given up after this wait and a little more, so it bounds how late a change is heard.
constexpr milliseconds watchWait { 2000 };
// The store is asked again at this pace while it fails: entries are back within 2 s of its return.
constexpr milliseconds retryDelay { 250 };

} // namespace

store_mirror::store_mirror(record_store& store, oriole::timer_service& timers, std::string prefix)
    : m_store(store)
    , m_timers(timers)
    , m_prefix(std::move(prefix))
{
}

store_mirror::~store_mirror()
{
    *m_alive = false;
}

void store_mirror::start(change_handler changed, loaded_handler loaded)
{
    m_changed = std::move(changed);
    m_onLoaded = std::move(loaded);
    load();
}

void store_mirror::loadOnce(loaded_handler loaded)
{
    m_follows = false;
    m_onLoaded = std::move(loaded);
    load();
}

void store_mirror::load()
{
    m_loading.clear();
    m_loadRevision = 0;
    loadPage({});
}

void store_mirror::loadPage(std::string afterKey)
{
    m_store.range(m_prefix, std::move(afterKey), [this, alive = m_alive](result<record_page> page) {
        if (!*alive)
            return;
        if (!page)
            return retry(&store_mirror::load);
        // Pages are no snapshot: changes since the first page are heard again by the watch.
        if (m_loadRevision == 0)
            m_loadRevision = page.value().revision;
        for (auto& item : page.value().records)
            m_loading[item.key] = std::move(item);
        if (page.value().more && !m_loading.empty())
            return loadPage(m_loading.rbegin()->first);
        finishLoad();
    });
}

void store_mirror::finishLoad()
{
    const auto before = m_records;
    for (const auto& [key, item] : before) {
        if (!m_loading.contains(key) && item.revision <= m_loadRevision)
            take({ { key, {}, m_loadRevision }, true });
    }
    for (const auto& [key, item] : m_loading)
        take({ item, false });
    m_loading.clear();
    m_revision = m_loadRevision;
    m_loaded = true;
    if (m_onLoaded)
        m_onLoaded();
    if (m_follows)
        watch();
}

void store_mirror::watch()
{
    m_store.watch(m_prefix, m_revision, watchWait, [this, alive = m_alive](result<change_page> page) {
        if (!*alive)
            return;
        if (!page)
            return retry(&store_mirror::watch);
        if (page.value().compacted) {
            oriole::logEvent(oriole::log_level::Info, "history_lost", { { "prefix", m_prefix }, { "after", m_revision } });
            return load();
        }
        for (const auto& change : page.value().changes)
            take(change);
        m_revision = std::max(m_revision, page.value().revision);
        watch();
    });
}

void store_mirror::apply(const record& item)
{
    if (item.key.compare(0, m_prefix.size(), m_prefix) == 0)
        take({ item, item.revision == 0 });
}

void store_mirror::take(const record_change& change)
{
    const auto known = m_records.find(change.item.key);
    if (change.removed) {
        if (known == m_records.end() || (change.item.revision != 0 && known->second.revision > change.item.revision))
            return;
        m_records.erase(known);
    } else {
        if (known != m_records.end() && known->second.revision >= change.item.revision)
            return;
        m_records[change.item.key] = change.item;
    }
    if (m_changed)
        m_changed(change);
}

void store_mirror::retry(void (store_mirror::*step)())
{
    m_timers.subscribeOnce(retryDelay, [this, step, alive = m_alive](oriole::time_point) {
        if (*alive)
            (this->*step)();
    });
}

} // namespace fleet
