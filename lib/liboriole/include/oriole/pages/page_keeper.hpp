/// @file
/// @brief Ownership of one organisation page, and group commit of its changes.
#pragma once

#include <oriole/helpers/timer_service.hpp>
#include <oriole/pages/organisation_page.hpp>
#include <oriole/store/store_client.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oriole {

/// @brief What an attempt to take a page over led to.
enum class acquisition {
    Acquired,
    OwnedElsewhere, ///< Its owner may not be replaced now.
    Raced, ///< Another entry was faster.
};

/// @brief Owns one page on behalf of this entry.
///
/// Ownership is a compare-and-swap that writes owner, token and the next epoch, so that the next write of a stalled
/// owner fails. Changes made within a few milliseconds go out in one write. After a lost reply the page is read
/// back; token and sequence tell which changes took effect.
class page_keeper : public std::enable_shared_from_this<page_keeper> {
public:
    using change = std::function<void(organisation_page&)>;
    using handler = std::function<void(result<bool>)>;
    using acquisition_handler = std::function<void(result<acquisition>)>;
    using owner_check = std::function<bool(const std::string& owner)>;

    page_keeper(store_client& store, timer_service& timers, std::string environment, std::string organisation,
        std::string entry);

    /// @brief Takes the page over, or creates it.
    /// @param mayReplace Says whether the named owner is gone for certain.
    void acquire(owner_check mayReplace, acquisition_handler done);

    /// @brief Applies a change to the working copy at once and commits it with the next group.
    /// @param apply May be called several times, on copies of the page.
    /// @param patience How long the caller waits; without a value the change is tried until ownership is lost.
    /// @param done Called with true after the commit; with `not-run` when the change was dropped before any write
    /// held it; with `may-have-run` when a write that held it has an unknown end.
    void update(change apply, std::optional<milliseconds> patience, handler done);

    /// @brief Gives the page back after its pending changes are committed, or fails after a few seconds.
    void release(handler done);

    /// @brief Sets what is called when another entry has taken the page.
    void onLost(std::function<void()> handler) { m_onLost = std::move(handler); }

    [[nodiscard]] bool owned() const { return m_owned; }
    [[nodiscard]] std::uint64_t epoch() const { return m_committed.epoch; }

    /// @brief The page with all changes, committed or not.
    [[nodiscard]] const organisation_page& page() const { return m_working; }

    /// @brief The page as the store holds it.
    [[nodiscard]] const organisation_page& committed() const { return m_committed; }

    /// @brief True when the page is near the largest size that is written.
    [[nodiscard]] bool full() const;

private:
    struct pending_change {
        std::uint64_t sequence = 0;
        change apply;
        handler done;
        bool written = false; ///< A write that held it may have taken effect.
        bool expired = false; ///< The caller has been told; the change stays until its end is known.
    };

    [[nodiscard]] std::string key() const;
    void takeOver(std::int64_t modRevision, organisation_page page, acquisition_handler done);
    void confirmTakeOver(const organisation_page& wanted, acquisition_handler done);
    void adopt(organisation_page page, std::int64_t modRevision);
    void schedule(milliseconds delay);
    void write();
    void written(const organisation_page& page, const result<cas_outcome>& outcome);
    void readBack();
    void readBackAfterDelay();
    void settle(std::uint64_t sequence);
    void expire(std::uint64_t sequence);
    void rebuild();
    void lose();
    milliseconds nextRetryDelay();

    store_client& m_store;
    timer_service& m_timers;
    std::string m_environment;
    std::string m_entry;
    organisation_page m_committed;
    organisation_page m_working;
    std::int64_t m_modRevision = 0;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_sentSequence = 0; ///< Highest change that some write has held.
    std::size_t m_bytes = 0;
    std::deque<pending_change> m_pending;
    bool m_owned = false;
    bool m_busy = false; ///< A write or a read-back is on its way.
    bool m_scheduled = false;
    milliseconds m_retryDelay;
    std::function<void()> m_onLost;
};

} // namespace oriole
