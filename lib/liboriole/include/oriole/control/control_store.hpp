/// @file
/// @brief The control records in the platform's store: reading them and changing them by compare-and-swap.
#pragma once

#include <oriole/control/control_state.hpp>
#include <oriole/helpers/timer_service.hpp>
#include <oriole/store/store_client.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriole {

/// @brief What one read of the control prefix gives.
struct control_snapshot {
    std::shared_ptr<const configuration_head> configuration; ///< Null when there is none.
    failure_domain_states failureDomains;
    std::vector<entry_address> entries; ///< Entries whose lease is alive.
};

/// @brief One accepted configuration, for `config history`.
struct configuration_record {
    std::uint64_t revision = 0;
    std::string digest;
    std::string author;
    std::int64_t acceptedUnixMs = 0;

    auto operator<=>(const configuration_record&) const = default;
};

/// @brief Reads and writes the control records of one environment.
///
/// Keys under `/oriole/<environment>/`: `control/configuration` (head and document in one value),
/// `control/failure-domains`, `control/entries/<name>` (bound to the entry's lease), and `history/<revision>`.
class control_store {
public:
    template <typename Value>
    using handler = store_client::handler<Value>;

    /// @param timers With it, steps that failed are repeated after a delay; without it, at once. Handlers of calls
    /// under way when this object is destroyed are dropped.
    control_store(store_client& store, const std::string& environment, timer_service* timers = nullptr);
    ~control_store();
    control_store(const control_store&) = delete;
    control_store& operator=(const control_store&) = delete;

    /// @brief Reads the whole control prefix in one call.
    void read(handler<control_snapshot> done);

    /// @brief Accepts a configuration if @p expectedRevision is the one in force; the new one is that plus one.
    ///
    /// A document that is not valid, is of another environment or promises more than the declared capacity is refused
    /// at once, inside the call.
    /// After a lost reply it reads back and recognises its own write by a write id, so that `done` never reports a
    /// failure for a write that took effect, unless the store stays unreachable (then `may-have-run`).
    /// @return Through @p done the new head; Conflict names the revision and author that came first.
    void apply(std::uint64_t expectedRevision, std::string document, std::string author,
        handler<std::shared_ptr<const configuration_head>> done);

    /// @brief Takes a failure domain out or back in; retries when another operator changed a different one.
    void setFailureDomain(std::string failureDomain, bool out, std::string author, handler<failure_domain_states> done);

    /// @brief Lists accepted configurations, newest first.
    void history(handler<std::vector<configuration_record>> done);

    /// @brief Announces an entry under @p lease.
    void announceEntry(const entry_address& entry, std::int64_t lease, handler<bool> done);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace oriole
