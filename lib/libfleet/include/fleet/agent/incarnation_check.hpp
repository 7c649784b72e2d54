/// @file
/// @brief Confirms with the worker itself that it is the incarnation that a heartbeat names.
#pragma once

#include <fleet/agent/backend_runtime.hpp>
#include <fleet/agent/worker_heartbeat.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fleet {

/// @brief Incarnations that heartbeats have named and that the worker has not confirmed yet.
///
/// A heartbeat may come from another writer, or arrive after its sender has crashed. An incarnation is confirmed once the
/// address in its heartbeat answers a poll that is meant for its instance id, and the answer gives its start time.
class incarnation_check {
public:
    using runtime_factory = std::function<std::unique_ptr<backend_runtime>(const worker_heartbeat&)>;
    using confirmed_handler = std::function<void(
        const worker_heartbeat& heartbeat, const std::shared_ptr<backend_runtime>& runtime, const poll_response& answer)>;

    incarnation_check(runtime_factory makeRuntime, confirmed_handler confirmed);
    ~incarnation_check();
    incarnation_check(const incarnation_check&) = delete;
    incarnation_check& operator=(const incarnation_check&) = delete;

    /// @brief Adds or updates the incarnation that the heartbeat names, and polls it.
    /// @param fence Fencing token of the poll. A worker that has seen a higher one answers no poll; see probeAll.
    /// @return False if the heartbeat is out of order or no client can be made for its address.
    bool propose(const worker_heartbeat& heartbeat, std::uint64_t fence);

    /// @brief Polls all unconfirmed incarnations again, under a new fencing token.
    void probeAll(std::uint64_t fence);

    /// @brief Drops the incarnations with this instance id that drain.
    void withdrawDraining(const std::string& instance);

private:
    struct candidate;

    void probe(const std::shared_ptr<candidate>& entry, std::uint64_t fence);
    void handleAnswer(const std::shared_ptr<candidate>& entry, const result<poll_response>& answer);

    runtime_factory m_makeRuntime;
    confirmed_handler m_confirmed;
    std::vector<std::shared_ptr<candidate>> m_candidates;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
