/// @file
/// @brief The control state: configuration, failure domains that are out, and the entries that live.
#pragma once

#include <oriole/control/configuration.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oriole {

struct entry_address {
    std::string name;
    std::string rpc;
    std::string region;

    auto operator<=>(const entry_address&) const = default;
};

/// @brief The configuration in force. Immutable; replaced as a whole.
struct configuration_head {
    std::uint64_t revision = 0; ///< 0: none has been accepted yet.
    std::string document; ///< JSON text as accepted.
    configuration parsed;

    auto operator<=>(const configuration_head&) const = default;
};

/// @brief The failure domains that operators have taken out. Kept apart from the document, so that applying one
/// from version control never undoes an operator's decision.
struct failure_domain_states {
    std::uint64_t revision = 0;
    std::set<std::string> out;

    auto operator<=>(const failure_domain_states&) const = default;
};

/// @brief Holds the newest control state that this process knows. Either part only ever moves forward.
class control_state {
public:
    /// @brief Takes a configuration unless one of the same or a higher revision is held.
    /// @return True when it was taken.
    bool offer(std::shared_ptr<const configuration_head> candidate);

    /// @brief Takes failure-domain states unless the same or a higher revision is held.
    bool offer(const failure_domain_states& candidate);

    /// @brief The configuration in force, or null when none is known yet.
    [[nodiscard]] std::shared_ptr<const configuration_head> configuration() const { return m_configuration; }

    [[nodiscard]] const failure_domain_states& failureDomains() const { return m_failureDomains; }

    [[nodiscard]] std::uint64_t configurationRevision() const;

    [[nodiscard]] bool isOut(const std::string& failureDomain) const;

private:
    std::shared_ptr<const configuration_head> m_configuration;
    failure_domain_states m_failureDomains;
};

} // namespace oriole
