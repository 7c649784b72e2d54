/// @file
/// @brief A local copy of all records under a prefix, kept current by a watch.
#pragma once

#include <fleet/store/record_store.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fleet {

/// @brief Loads a prefix and watches its changes; loads it again when the store has compacted the history it needs.
class store_mirror {
public:
    /// @brief Called for each changed or removed record.
    using change_handler = std::function<void(const record_change&)>;
    using loaded_handler = std::function<void()>;

    store_mirror(record_store& store, oriole::timer_service& timers, std::string prefix);
    ~store_mirror();
    store_mirror(const store_mirror&) = delete;
    store_mirror& operator=(const store_mirror&) = delete;

    /// @brief Starts loading and watching. @p loaded is called after each complete load.
    void start(change_handler changed, loaded_handler loaded);

    /// @brief Loads the records once, without a watch.
    void loadOnce(loaded_handler loaded);

    /// @brief Applies a record that another store request returned, unless the copy is as new.
    void apply(const record& item);

    [[nodiscard]] bool loaded() const { return m_loaded; }
    [[nodiscard]] const std::map<std::string, record>& records() const { return m_records; }

private:
    void load();
    void loadPage(std::string afterKey);
    void finishLoad();
    void watch();
    void applyChange(const record_change& change);
    void retry(void (store_mirror::*step)());

    record_store& m_store;
    oriole::timer_service& m_timers;
    std::string m_prefix;
    change_handler m_changeHandler;
    loaded_handler m_loadedHandler;
    std::map<std::string, record> m_records;
    std::map<std::string, record> m_loading;
    revision_number m_revision = 0;
    revision_number m_loadRevision = 0;
    bool m_loaded = false;
    bool m_watches = true;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
