/// @file
/// @brief The settings of an entry, as given by flags and environment variables.
#pragma once

#include <oriole/helpers/log.hpp>
#include <oriole/http/http_client.hpp>

#include <string>
#include <vector>

namespace oriole {

struct entry_settings {
    std::string name;
    endpoint http;
    endpoint rpc;
    endpoint advertisedRpc; ///< Where others are told to reach it; differs behind a proxy. Empty: the same as rpc.
    endpoint store;
    std::string environment;
    std::string failureDomain;
    std::string region;
    std::vector<endpoint> seeds;
    log_level logLevel = log_level::Info;
};

} // namespace oriole
