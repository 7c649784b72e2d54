/// @file
/// @brief Keeps an entry's control state current, and the entry listed in the store.
#pragma once

#include <oriole/control/control_store.hpp>
#include <oriole/helpers/event_source.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oriole {

/// @brief Polls the control prefix once a second and renews the entry's lease.
class control_keeper {
public:
    control_keeper(store_client& store, control_store& control, timer_service& timers, entry_address self);

    /// @brief Starts to poll and to announce the entry.
    void start();

    /// @brief Ends the lease, so that others need not wait for it to lapse.
    void withdraw(const std::function<void()>& done);

    [[nodiscard]] const control_state& state() const { return m_state; }

    /// @brief Takes control state heard from the store, an operator or a peer. Only newer parts are taken.
    void offer(const std::shared_ptr<const configuration_head>& configuration);
    void offer(const failure_domain_states& states);

    /// @brief True when a read of the store succeeded within the freshness limit.
    [[nodiscard]] bool readsStore() const;

    /// @brief How long ago the last read of the store began; meaningful while @c readsStore.
    [[nodiscard]] milliseconds readAge() const;

    /// @brief Entries listed in the last read, without this one.
    [[nodiscard]] const std::vector<entry_address>& listed() const { return m_listed; }

    /// @brief Emitted after a newer configuration was taken.
    event_source<> configurationChanged;

    /// @brief Emitted after newer failure-domain states were taken.
    event_source<> failureDomainsChanged;

    /// @brief Emitted after each good read of the store.
    event_source<> listChanged;

private:
    void poll();
    void readFinished(const result<control_snapshot>& snapshot, time_point sent);
    void renew();
    void grant();

    store_client& m_store;
    control_store& m_control;
    timer_service& m_timers;
    entry_address m_self;
    control_state m_state;
    std::vector<entry_address> m_listed;
    time_point m_lastRead;
    bool m_everRead = false;
    bool m_polling = false;
    bool m_leasing = false;
    bool m_withdrawn = false;
    std::int64_t m_lease = 0;
};

} // namespace oriole
