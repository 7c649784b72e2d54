/// @file
/// @brief Settings of an entry, from flags and environment variables.
#pragma once

#include <oriole/api/result.hpp>
#include <oriole/core/policy.hpp>
#include <oriole/helpers/log.hpp>
#include <oriole/http/http_client.hpp>

#include <string>
#include <vector>

namespace oriole {

struct entry_settings {
    std::string name;
    endpoint http; ///< Callers and operators.
    endpoint rpc; ///< Agents and other entries.
    endpoint advertisedRpc; ///< Address that others are told; the one of @c rpc unless there is a proxy between.
    endpoint store;
    std::string environment;
    std::string failureDomain;
    std::string region;
    std::vector<endpoint> seeds; ///< RPC addresses of other entries, for the time that the store is down.
    policy decisions; ///< How jobs are placed.
    log_level logLevel = log_level::Info;
};

/// @brief Checks what the command line cannot, and fills in the advertised address.
/// @return The settings, or InvalidInput that names the flag and the value.
result<entry_settings> checkEntrySettings(entry_settings settings);

} // namespace oriole
