/// @file
/// @brief Which entry owns which organisation, and the pages that this one owns.
#pragma once

#include <oriole/entry/peer_table.hpp>
#include <oriole/helpers/event_source.hpp>
#include <oriole/pages/page_keeper.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oriole {

/// @brief What ownership has to know of the other entries.
class entry_liveness {
public:
    virtual ~entry_liveness() = default;

    /// @brief Entries that work may be handed to, without this one.
    [[nodiscard]] virtual std::vector<std::string> liveEntries() const = 0;

    /// @brief True when the entry's lease is gone from the store and it cannot be reached either.
    [[nodiscard]] virtual bool gone(const std::string& entry) const = 0;

    /// @brief The live entry that says it owns the organisation.
    [[nodiscard]] virtual std::optional<std::string> reportedOwner(const std::string& organisation) const = 0;
};

/// @brief Picks one entry for an organisation, the same at every entry that sees the same candidates.
/// @param candidates Must not be empty.
std::string preferredEntry(const std::string& organisation, const std::vector<std::string>& candidates);

/// @brief Takes over the organisations without a live owner whose preferred entry is this one.
class ownership {
public:
    ownership(store_client& store, timer_service& timers, const entry_liveness& liveness, std::string environment,
        std::string self);

    /// @brief Sets the organisations of the configuration in force.
    void configure(std::set<std::string> organisations);

    /// @brief Starts take-overs that are due.
    void tick(time_point now);

    /// @brief The keeper of a page that this entry owns, else null.
    [[nodiscard]] std::shared_ptr<page_keeper> find(const std::string& organisation) const;

    /// @brief The entry to send a request for the organisation to; this one's own name counts.
    [[nodiscard]] std::string entryFor(const std::string& organisation) const;

    [[nodiscard]] std::vector<page_ownership> owned() const;

    /// @brief Gives all pages back and takes no more; @p done is called when none is held, within a few seconds.
    /// A page that the store does not take back in time is left to be taken over.
    void releaseAll(const std::function<void()>& done);

    event_source<std::string> acquired;
    event_source<std::string> lost;

private:
    struct page_slot {
        std::shared_ptr<page_keeper> keeper;
        bool acquiring = false;
        time_point retryAt;
    };

    void acquire(const std::string& organisation);
    void pageAcquired(const std::string& organisation, page_keeper& keeper);

    store_client& m_store;
    timer_service& m_timers;
    const entry_liveness& m_liveness;
    std::string m_environment;
    std::string m_self;
    std::map<std::string, page_slot> m_slots;
    bool m_leaving = false;
};

} // namespace oriole
