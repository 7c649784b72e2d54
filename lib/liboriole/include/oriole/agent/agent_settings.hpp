/// @file
/// @brief Settings of an agent, given by flags and environment variables.
#pragma once

#include <oriole/api/result.hpp>
#include <oriole/core/model.hpp>
#include <oriole/helpers/log.hpp>
#include <oriole/http/http_client.hpp>
#include <oriole/runtime/runtime_client.hpp>

#include <string>
#include <vector>

namespace oriole {

struct agent_settings {
    std::string worker;
    endpoint rpc; ///< Listening address for RPC calls of entries and other agents.
    endpoint advertisedRpc; ///< Address announced to others, for agents behind a proxy; the same as rpc if empty.
    endpoint store;
    std::string environment;
    std::string failureDomain;
    std::string region;
    std::string rack;
    std::string service; ///< Name of the service whose short requests the backend server answers.
    endpoint backend;
    unsigned slots = 8; ///< Requests that the backend server runs concurrently.
    unsigned connections = 64; ///< Maximum number of running and queued requests together.
    runtime_address runtime;
    unsigned accelerators = 8;
    unsigned processors = 128;
    unsigned memoryGb = 512;
    std::vector<endpoint> seeds; ///< RPC addresses of entries.
    log_level logLevel = log_level::Info;
};

/// @brief Validates what the command-line parser can't.
/// @return The settings, or an InvalidInput failure that names the flag and the value.
result<agent_settings> checkAgentSettings(agent_settings settings);

/// @brief The description of the worker that the agent announces to entries.
worker_info workerInfo(const agent_settings& settings, std::uint64_t incarnation);

} // namespace oriole
