/// @file
/// @brief The JSON gateway of the stand-in store, its rate limit and its faults.
#pragma once

#include "fault_mode.hpp"
#include "memory_store.hpp"

#include <oriole/helpers/token_bucket.hpp>
#include <oriole/http/http_server.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>

namespace oriole::standin {

struct rate_limits {
    double writesPerSecond = 500;
    double readsPerSecond = 2000;
};

struct gateway_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t leaseCalls = 0;
    std::uint64_t rejected = 0; ///< By the rate limit.
    std::uint64_t refused = 0; ///< By a fault, with nothing done.
    std::uint64_t lostReplies = 0; ///< By a fault, after the call was done.
};

/// @brief Answers calls from any number of threads.
class gateway {
public:
    explicit gateway(const rate_limits& limits);

    http_reply handle(const http_call& call);

private:
    http_reply handleAdmin(const http_call& call);
    http_reply handleStore(const http_call& call);
    http_reply perform(const http_call& call);
    bool withinRate(bool write);

    http_reply range(const nlohmann::json& request);
    http_reply transact(const nlohmann::json& request);
    http_reply grant(const nlohmann::json& request);
    http_reply keepAlive(const nlohmann::json& request);
    http_reply revoke(const nlohmann::json& request);
    nlohmann::json header() const;

    std::mutex m_mutex;
    memory_store m_store;
    fault_source m_faults;
    token_bucket m_writes;
    token_bucket m_reads;
    gateway_counters m_counters;
};

} // namespace oriole::standin
