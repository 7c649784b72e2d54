#include <fleet/store/store_mirror.hpp>

#include <oriole/helpers/log.hpp>

#include <kj/exception.h>

#include <utility>

namespace fleet {

namespace {

// The client gives up a watch on a dead connection shortly after this wait, so it bounds the delay of a change.
constexpr milliseconds watchWait { 2000 };
// Retry period while the store fails: entries work again within 2 s of its recovery.
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
    m_changeHandler = std::move(changed);
    m_loadedHandler = std::move(loaded);
    load();
}

void store_mirror::loadOnce(loaded_handler loaded)
{
    m_watches = false;
    m_loadedHandler = std::move(loaded);
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
        // The pages are not one snapshot: the watch starts at the first page's revision and repeats later changes.
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
            applyChange({ { key, {}, m_loadRevision }, true });
    }
    for (const auto& [key, item] : m_loading)
        applyChange({ item, false });
    m_loading.clear();
    m_revision = m_loadRevision;
    m_loaded = true;
    if (m_loadedHandler)
        m_loadedHandler();
    if (m_watches)
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
            oriole::logEvent(
                oriole::log_level::Info, "watch_history_compacted", { { "prefix", m_prefix }, { "after", m_revision } });
            return load();
        }
        for (const auto& change : page.value().changes)
            applyChange(change);
        m_revision = std::max(m_revision, page.value().revision);
        watch();
    });
}

void store_mirror::apply(const record& item)
{
    if (item.key.compare(0, m_prefix.size(), m_prefix) == 0)
        applyChange({ item, item.revision == 0 });
}

void store_mirror::applyChange(const record_change& change)
{
    const auto current = m_records.find(change.item.key);
    if (change.removed) {
        if (current == m_records.end() || (change.item.revision != 0 && current->second.revision > change.item.revision))
            return;
        m_records.erase(current);
    } else {
        if (current != m_records.end() && current->second.revision >= change.item.revision)
            return;
        m_records[change.item.key] = change.item;
    }
    if (!m_changeHandler)
        return;
    // A record that one handler can't take must not end the watch, nor hold up the other changes of its page.
    KJ_IF_MAYBE (error, kj::runCatchingExceptions([&] { m_changeHandler(change); })) {
        oriole::logEvent(oriole::log_level::Error, "record_not_applied",
            { { "key", change.item.key }, { "revision", change.item.revision }, { "error", error->getDescription().cStr() } });
    }
}

void store_mirror::retry(void (store_mirror::*step)())
{
    m_timers.subscribeOnce(retryDelay, [this, step, alive = m_alive](oriole::time_point) {
        if (*alive)
            (this->*step)();
    });
}

} // namespace fleet
