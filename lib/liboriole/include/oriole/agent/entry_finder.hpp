/// @file
/// @brief Looks up entries in the platform's store while the agent has no session with any.
#pragma once

#include <oriole/control/control_store.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace oriole {

/// @brief Reads the store only while no entry is connected, with a jittered exponential back-off: every call to the
/// store is counted, and many agents may lose their entries at the same time.
class entry_finder {
public:
    using connected_source = std::function<unsigned()>;
    using found_handler = std::function<void(const std::vector<entry_address>&)>;

    /// @param firstDelay Delay of the first read, so that configured seeds can be connected without it.
    /// @param randomSeed Seed of the jitter.
    entry_finder(timer_service& timers, store_client& store, const std::string& environment, milliseconds firstDelay,
        unsigned randomSeed, connected_source connected, found_handler found);
    ~entry_finder();
    entry_finder(const entry_finder&) = delete;
    entry_finder& operator=(const entry_finder&) = delete;

private:
    void tick();
    void read();
    milliseconds withJitter(milliseconds delay);

    timer_service& m_timers;
    control_store m_store;
    connected_source m_connected;
    found_handler m_onFound;
    milliseconds m_backOff;
    time_point m_nextRead;
    bool m_reading = false;
    std::minstd_rand m_random;
    std::shared_ptr<bool> m_alive;
    timer_service::subscription_id m_tick = 0;
};

} // namespace oriole
