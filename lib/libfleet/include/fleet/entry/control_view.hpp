/// @file
/// @brief An entry's view of the operators' configuration, with the time at which it was last confirmed to be current.
#pragma once

#include <fleet/model/configuration.hpp>
#include <fleet/store/record_store.hpp>

#include <functional>
#include <set>
#include <string>
#include <variant>

namespace fleet {

struct control_view {
    configuration rules;
    std::set<std::string> domainsOut;
    record_condition condition; ///< Store condition that holds while no newer configuration is stored.
    oriole::time_point confirmedAt; ///< Start time of the last read that confirmed the view to be current.
    bool lastReadFailed = false; ///< The last read from the store failed.
    bool loaded = false; ///< A configuration has been read.
};

/// @brief Provides the control view and reads it from the store.
class control_source {
public:
    virtual ~control_source() = default;
    [[nodiscard]] virtual const control_view& view() const = 0;
    /// @brief Compares the view with the store and updates it; @p done receives whether it is now confirmed to be current.
    virtual void refresh(std::function<void(bool confirmed)> done) = 0;
};

/// @brief Reason for which a call is not admitted.
enum class denial {
    NoConfiguration, ///< No configuration has been read yet.
    StaleView, ///< The view could not be confirmed and may be older than the operators allow.
    NoQueue,
    UnknownKey,
};

struct admission {
    queue_rule queue;
    std::string organisation; ///< Empty for queues that accept calls without a key.
};

using admission_result = std::variant<admission, denial>;

/// @brief Decides from @p view alone whether a call is admitted.
admission_result admit(const control_view& view, const std::string& host, const std::string& path, const std::string& key);

/// @brief Decides whether a call is admitted, after a refresh of the view if it is older than @p maxViewAge. A refusal
/// always requires a view that was read recently.
void admitWithFreshView(control_source& source, oriole::time_point now, milliseconds maxViewAge, const std::string& host,
    const std::string& path, const std::string& key, std::function<void(admission_result)> done);

} // namespace fleet
