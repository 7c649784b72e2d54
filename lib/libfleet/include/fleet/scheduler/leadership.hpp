/// @file
/// @brief Finds the one entry that schedules: a record under a lease in the store.
#pragma once

#include <fleet/store/record_store.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fleet {

using oriole::time_point;

/// @brief Tries to get, and keeps, the scheduler's record. The revision of its creation is the epoch.
class leadership {
public:
    struct handlers {
        std::function<void(std::uint64_t epoch)> won;
        std::function<void(const std::string& reason)> lost;
    };

    /// @param clock Also counts while the machine is suspended.
    leadership(record_store& store, oriole::timer_service& timers, std::function<time_point()> clock, std::string name,
        handlers notify);
    ~leadership();
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;

    void start();

    /// @brief Tells that the record is gone or was written by another.
    void recordChanged(bool exists);

    /// @brief Gives the record up, for a planned stop.
    void resign(std::function<void()> done);

    /// @brief Another exchange has shown that the record is not ours any more.
    void depose(const std::string& reason);

    [[nodiscard]] std::optional<std::uint64_t> epoch() const { return m_epoch; }

    /// @brief When the last exchange began that proved the record to be ours.
    [[nodiscard]] time_point provenAt() const { return m_provenAt; }
    void prove(time_point sentAt);

private:
    void attempt();
    [[nodiscard]] bool isOfEarlierLife(const record& found) const;
    void removeEarlier(const record& found);
    void claim();
    void readBack();
    void win(std::uint64_t epoch, time_point sentAt);
    void renew();
    void later(milliseconds delay, void (leadership::*step)());

    record_store& m_store;
    oriole::timer_service& m_timers;
    std::function<time_point()> m_clock;
    std::string m_name;
    std::string m_token; ///< Tells our claim from those of earlier lives under the same name.
    handlers m_notify;
    std::int64_t m_lease = 0;
    std::optional<std::uint64_t> m_epoch;
    time_point m_provenAt;
    bool m_trying = false;
    bool m_resigned = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
