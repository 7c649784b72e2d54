/// @file
/// @brief Interface to the platform's key-value store.
#pragma once

#include <oriole/api/result.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriole {

/// @brief One key as read from the store.
struct store_entry {
    std::string key;
    std::string value;
    std::int64_t modRevision = 0; ///< Store revision of the last change of this key; 0 means it does not exist.

    auto operator<=>(const store_entry&) const = default;
};

/// @brief A read of all keys under a prefix, at one store revision.
struct store_snapshot {
    std::int64_t revision = 0;
    std::vector<store_entry> entries;
};

/// @brief One key of a compare-and-swap transaction.
struct store_write {
    std::string key;
    std::int64_t expectedModRevision = 0; ///< 0 means that the key must not exist.
    std::string value;
    std::int64_t lease = 0; ///< Lease that the key is bound to; 0 for none.
};

/// @brief The end of a compare-and-swap that the store answered.
struct cas_outcome {
    bool applied = false; ///< False: some key had another revision; nothing was written.
    std::int64_t revision = 0;
};

/// @brief State of the path to the store as seen by the circuit breaker.
enum class store_health {
    Up,
    Slow, ///< It answers, but later than the slow limit.
    Down, ///< It refuses or does not answer; calls fail at once until a probe succeeds.
};

/// @brief Returns `up`, `slow` or `down`.
std::string_view toString(store_health health);

/// @brief Asynchronous client. Handlers run on the thread of the event loop, never inside the call itself.
///
/// Each call counts against a token bucket and has a deadline. A `not-run` failure means that the store has not
/// taken the write; `may-have-run` means that it may have, and the writer has to read back.
class store_client {
public:
    template <typename Value>
    using handler = std::function<void(result<Value>)>;

    virtual ~store_client() = default;

    /// @brief Reads one key; a key that does not exist has modRevision 0.
    virtual void get(std::string key, handler<store_entry> done) = 0;

    /// @brief Reads all keys under @p prefix.
    virtual void list(std::string prefix, handler<store_snapshot> done) = 0;

    /// @brief Writes all keys or none, if all expected revisions hold.
    virtual void compareAndSwap(std::vector<store_write> writes, handler<cas_outcome> done) = 0;

    /// @brief Grants a lease.
    /// @return Its id through @p done.
    virtual void grantLease(std::chrono::seconds ttl, handler<std::int64_t> done) = 0;

    /// @brief Renews a lease.
    /// @return Through @p done the time left; zero when the lease has expired.
    virtual void renewLease(std::int64_t lease, handler<std::chrono::seconds> done) = 0;

    /// @brief Ends a lease and removes its keys.
    virtual void revokeLease(std::int64_t lease, handler<bool> done) = 0;

    [[nodiscard]] virtual store_health health() const = 0;

    /// @brief Calls made since the start, for the bill.
    [[nodiscard]] virtual std::uint64_t calls() const = 0;
};

} // namespace oriole
