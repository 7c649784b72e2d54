/// @file
/// @brief What an entry knows of the operators' orders, and since when it is proved to be current.
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
    record_condition condition; ///< Holds as long as the configuration is the newest.
    oriole::time_point provenAt; ///< When the last read began that showed it to be the newest.
    bool failing = false; ///< The last try to read it failed.
    bool known = false; ///< False until a configuration was read.
};

/// @brief Where the operators' orders come from.
class control_source {
public:
    virtual ~control_source() = default;
    [[nodiscard]] virtual const control_view& view() const = 0;
    /// @brief Reads whether the view is the newest; @p done is told whether that is proved now.
    virtual void refresh(std::function<void(bool proven)> done) = 0;
};

/// @brief Why a call is not admitted.
enum class denial {
    NoConfiguration, ///< None was read yet.
    NotCurrent, ///< The view may be older than the operators allow.
    NoQueue,
    UnknownKey,
};

struct admission {
    queue_rule queue;
    std::string organisation; ///< Empty where no key is asked for.
};

using admission_verdict = std::variant<admission, denial>;

/// @brief Judges a call by the view alone.
admission_verdict admit(const control_view& view, const std::string& host, const std::string& path, const std::string& key);

/// @brief Judges a call; reads the view again before a refusal, or when it is older than @p freshness.
void admitCurrent(control_source& source, oriole::time_point now, milliseconds freshness, const std::string& host,
    const std::string& path, const std::string& key, std::function<void(admission_verdict)> done);

} // namespace fleet
