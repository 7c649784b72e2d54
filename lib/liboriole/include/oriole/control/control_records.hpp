/// @file
/// @brief The control records as they are written in the store.
#pragma once

#include <oriole/control/control_store.hpp>

#include <string>
#include <vector>

namespace oriole {

/// @brief Value of `control/configuration`.
struct head_record {
    configuration_record accepted;
    std::string writeId; ///< Tells the writer its own write after a lost reply.
    std::string document;
};

/// @brief Value of `history/<revision>`.
struct history_record {
    configuration_record accepted;
    std::string writeId;
};

/// @brief Value of `control/failure-domains`.
struct failure_domains_record {
    failure_domain_states states;
    std::string author; ///< Of the last change.
    std::vector<std::string> recentWriteIds; ///< Of the last changes, newest last.
};

std::string encode(const head_record& record);
std::string encode(const history_record& record);
std::string encode(const failure_domains_record& record);
std::string encode(const entry_address& entry, std::int64_t lease);

// Each fails as Broken, not-run, when the value is not of its form.
result<head_record> decodeHead(const std::string& value);
result<history_record> decodeHistory(const std::string& value);
result<failure_domains_record> decodeFailureDomains(const std::string& value);
result<entry_address> decodeEntry(const std::string& value);

/// @brief Short fingerprint of a document, to tell documents apart. No protection against forgery.
std::string digestOf(const std::string& document);

/// @brief Keys of one environment.
struct control_keys {
    explicit control_keys(const std::string& environment);

    [[nodiscard]] std::string historyOf(std::uint64_t revision) const;

    std::string prefix; ///< Of all records that every entry polls.
    std::string configuration;
    std::string failureDomains;
    std::string entries;
    std::string history;
};

} // namespace oriole
