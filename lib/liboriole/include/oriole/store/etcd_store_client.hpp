/// @file
/// @brief Store client over the JSON gateway of etcd v3.
#pragma once

#include <oriole/helpers/event_loop.hpp>
#include <oriole/http/http_client.hpp>
#include <oriole/store/circuit_breaker.hpp>
#include <oriole/store/store_client.hpp>

#include <cstddef>
#include <memory>

namespace oriole {

struct etcd_store_options {
    milliseconds deadline { 1000 }; ///< Per call, from the call to its handler, waiting for a thread included.
    double callsPerSecond = 150; ///< Refill rate of the token bucket.
    double burst = 150; ///< Calls that may be made at once.
    std::size_t threads = 8; ///< Calls under way at once.
    std::size_t queueLimit = 256; ///< Calls that wait for a thread.
    circuit_breaker_options breaker;
};

/// @brief Belongs to the thread of the event loop. Destroying it drops the handlers of unfinished calls.
class etcd_store_client final : public store_client {
public:
    etcd_store_client(event_loop& loop, endpoint store, const etcd_store_options& options = {});
    ~etcd_store_client() override;
    etcd_store_client(const etcd_store_client&) = delete;
    etcd_store_client& operator=(const etcd_store_client&) = delete;

    void get(std::string key, handler<store_entry> done) override;
    void list(std::string prefix, handler<store_snapshot> done) override;
    void compareAndSwap(std::vector<store_write> writes, handler<cas_outcome> done) override;
    void grantLease(std::chrono::seconds ttl, handler<std::int64_t> done) override;
    void renewLease(std::int64_t lease, handler<std::chrono::seconds> done) override;
    void revokeLease(std::int64_t lease, handler<bool> done) override;

    [[nodiscard]] store_health health() const override;
    [[nodiscard]] std::uint64_t calls() const override;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace oriole
