/// @file
/// @brief Requests and replies of the JSON gateway of etcd v3.
///
/// Keys and values travel as base64, 64-bit numbers as strings. Members that are zero, false or empty are left out.
#pragma once

#include <oriole/http/http_client.hpp>
#include <oriole/store/store_client.hpp>

#include <string>
#include <vector>

namespace oriole::etcd {

http_request rangeOfKey(const std::string& key);
http_request rangeOfPrefix(const std::string& prefix);
http_request transaction(const std::vector<store_write>& writes);
http_request leaseGrant(std::chrono::seconds ttl);
http_request leaseKeepAlive(std::int64_t lease);
http_request leaseRevoke(std::int64_t lease);

/// @brief Returns the end of the range that holds all keys with @p prefix.
std::string endOfPrefix(std::string prefix);

// Each parser takes the body of a reply with status 200; a body of any other form is Broken, `may-have-run`.
result<store_snapshot> parseRange(const std::string& body);
result<cas_outcome> parseTransaction(const std::string& body);
result<std::int64_t> parseGrant(const std::string& body);
result<std::chrono::seconds> parseKeepAlive(const std::string& body);
result<bool> parseRevoke(const std::string& body);

} // namespace oriole::etcd
