/// @file
/// @brief Interface to the platform's key-value store: records with revisions, conditional transactions, leases, watches.
#pragma once

#include <oriole/api/result.hpp>
#include <oriole/helpers/timer_service.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fleet {

using oriole::failure;
using oriole::milliseconds;
using oriole::result;
using revision_number = std::int64_t;

struct record {
    std::string key;
    std::string value;
    revision_number revision = 0; ///< Store revision of the last change; 0 for a record that does not exist.
    std::int64_t lease = 0; ///< The record is removed when this lease ends; 0 for none.

    auto operator<=>(const record&) const = default;
};

/// @brief One page of the records under a prefix.
struct record_page {
    std::vector<record> records;
    bool more = false; ///< The next page begins after the last key.
    revision_number revision = 0; ///< Revision of the store when the page was read.
};

/// @brief One change under a prefix; a removed record has an empty value.
struct record_change {
    record item;
    bool removed = false;
};

struct change_page {
    std::vector<record_change> changes;
    revision_number revision = 0; ///< The next watch continues after this revision.
    bool compacted = false; ///< The store no longer has the requested history; the prefix must be loaded again.
};

struct record_condition {
    std::string key;
    revision_number revision = 0; ///< 0 means that the key must not exist.
};

struct record_write {
    std::string key;
    std::string value;
    std::int64_t lease = 0; ///< 0 for none.
};

struct record_transaction {
    std::vector<record_condition> conditions;
    std::vector<record_write> writes;
    std::vector<std::string> removals;
    milliseconds answerTimeout { 0 }; ///< How long the client waits for the answer; 0 for its default timeout.
};

struct commit_outcome {
    bool applied = false;
    revision_number revision = 0;
    std::vector<record> current; ///< When not applied: the current records of the conditions' keys.
};

/// @brief Asynchronous client. A failure tells whether the write may have been applied or may still be, seconds later.
class record_store {
public:
    template <typename Value>
    using handler = std::function<void(result<Value>)>;

    virtual ~record_store() = default;

    /// @brief Reads one record; one that does not exist has revision 0.
    virtual void get(std::string key, handler<record> done) = 0;
    /// @brief Reads one page of the records under @p prefix, starting after @p afterKey.
    virtual void range(std::string prefix, std::string afterKey, handler<record_page> done) = 0;
    /// @brief Waits up to @p wait for changes under @p prefix that are newer than revision @p after.
    virtual void watch(std::string prefix, revision_number after, milliseconds wait, handler<change_page> done) = 0;
    virtual void commit(record_transaction transaction, handler<commit_outcome> done) = 0;
    virtual void grantLease(milliseconds ttl, handler<std::int64_t> done) = 0;
    /// @brief Renews a lease and passes to @p done whether it is still valid.
    virtual void renewLease(std::int64_t lease, handler<bool> done) = 0;
    virtual void revokeLease(std::int64_t lease, handler<bool> done) = 0;
};

} // namespace fleet
