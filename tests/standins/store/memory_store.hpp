/// @file
/// @brief The keys, revisions and leases of the stand-in for the platform's store.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriole::standin {

using time_point = std::chrono::steady_clock::time_point;

struct stored_value {
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

struct key_comparison {
    std::string key;
    std::int64_t modRevision = 0;
};

struct key_put {
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

/// @brief Reads no clock: each call is told the time, and leases that ran out by then are gone.
class memory_store {
public:
    /// @brief Returns the keys in [@p begin, @p end); only @p begin when @p end is empty.
    std::map<std::string, stored_value> range(const std::string& begin, const std::string& end, time_point now);

    /// @brief Puts all keys if every comparison holds.
    /// @return No value when a put names a lease that does not exist; nothing is written then.
    std::optional<bool> transact(
        const std::vector<key_comparison>& comparisons, const std::vector<key_put>& puts, time_point now);

    std::int64_t grant(std::chrono::seconds ttl, time_point now);

    /// @return The time to live; zero when the lease does not exist.
    std::chrono::seconds renew(std::int64_t lease, time_point now);

    /// @return False when the lease does not exist.
    bool revoke(std::int64_t lease, time_point now);

    [[nodiscard]] std::int64_t revision() const { return m_revision; }
    [[nodiscard]] std::size_t leaseCount() const { return m_leases.size(); }

private:
    struct lease_state {
        std::chrono::seconds ttl;
        time_point expires;
    };

    void expire(time_point now);
    void removeKeysOf(std::int64_t lease);

    std::int64_t m_revision = 1;
    std::int64_t m_nextLease = 1000;
    std::map<std::string, stored_value> m_values;
    std::map<std::int64_t, lease_state> m_leases;
};

} // namespace oriole::standin
