/// @file
/// @brief What an entry asks of agents for gang jobs.
#pragma once

#include <oriole/api/result.hpp>
#include <oriole/core/model.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace oriole {

/// @brief An agent's answer to a reservation or a commit.
struct gang_answer {
    bool accepted = false;
    std::string reason;
    bool mayHaveRun = false;
};

/// @brief Calls to agents; each handler is called once, with a failure when the agent did not answer in time.
class gang_gateway {
public:
    using answer_handler = std::function<void(result<gang_answer>)>;
    using reports_handler = std::function<void(result<std::vector<task_report>>)>;

    virtual ~gang_gateway() = default;

    virtual void reserve(const std::string& worker, const attempt& wanted, std::chrono::milliseconds ttl,
        bool evictBorrowed, answer_handler done)
        = 0;
    virtual void commit(const std::string& worker, const attempt_id& id, std::uint64_t epoch, answer_handler done) = 0;
    virtual void release(const std::string& worker, const std::vector<attempt_id>& ids, std::uint64_t epoch,
        const std::string& reason, reports_handler done)
        = 0;
    virtual void fence(
        const std::string& worker, const std::string& organisation, std::uint64_t epoch, reports_handler done)
        = 0;
    virtual void evict(const std::string& worker, const std::vector<attempt_id>& ids, std::chrono::milliseconds grace,
        const std::string& reason)
        = 0;
};

} // namespace oriole
