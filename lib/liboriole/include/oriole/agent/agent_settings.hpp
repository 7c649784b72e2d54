/// @file
/// @brief The settings of an agent, as given by flags and environment variables.
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
    endpoint rpc; ///< Where entries and peers reach this agent.
    endpoint advertisedRpc; ///< Where others are told to reach it; differs behind a proxy. Empty: the same as rpc.
    endpoint store;
    std::string environment;
    std::string failureDomain;
    std::string region;
    std::string rack;
    std::string service; ///< Short requests that the backend server answers.
    endpoint backend;
    unsigned slots = 8; ///< Requests that the backend server runs at once.
    unsigned connections = 64; ///< Requests accepted at once, running and queued.
    runtime_address runtime;
    unsigned accelerators = 8;
    unsigned processors = 128;
    unsigned memoryGb = 512;
    std::vector<endpoint> seeds; ///< RPC addresses of entries.
    log_level logLevel = log_level::Info;
};

/// @brief Checks what the command line cannot.
/// @return The settings, or InvalidInput that names the flag and the value.
result<agent_settings> checkAgentSettings(agent_settings settings);

/// @brief What the agent announces of its worker.
worker_info workerInfo(const agent_settings& settings, std::uint64_t incarnation);

} // namespace oriole
