/// @file
/// @brief The calls to agents over Cap'n Proto.
#pragma once

#include <oriole/entry/control_keeper.hpp>
#include <oriole/entry/gang_gateway.hpp>
#include <oriole/entry/worker_table.hpp>
#include <oriole/helpers/event_loop.hpp>

namespace oriole {

class rpc_gang_gateway : public gang_gateway {
public:
    rpc_gang_gateway(event_loop& loop, worker_table& workers, const control_keeper& control);

    void reserve(const std::string& worker, const attempt& wanted, std::chrono::milliseconds ttl, bool evictBorrowed,
        answer_handler done) override;
    void commit(const std::string& worker, const attempt_id& id, std::uint64_t epoch, answer_handler done) override;
    void release(const std::string& worker, const std::vector<attempt_id>& ids, std::uint64_t epoch,
        const std::string& reason, reports_handler done) override;
    void fence(const std::string& worker, const std::string& organisation, std::uint64_t epoch,
        reports_handler done) override;
    void evict(const std::string& worker, const std::vector<attempt_id>& ids, std::chrono::milliseconds grace,
        const std::string& reason) override;

private:
    template <typename Value>
    void deliver(const char* name, kj::Promise<Value> reply, std::function<void(result<Value>)> done);

    event_loop& m_loop;
    worker_table& m_workers;
    const control_keeper& m_control;
};

} // namespace oriole
