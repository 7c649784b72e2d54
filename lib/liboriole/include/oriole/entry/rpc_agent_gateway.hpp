/// @file
/// @brief Dispatch of short requests to agents over Cap'n Proto.
#pragma once

#include <oriole/entry/request_dispatcher.hpp>
#include <oriole/entry/worker_table.hpp>
#include <oriole/helpers/event_loop.hpp>

namespace oriole {

class rpc_agent_gateway : public agent_gateway {
public:
    rpc_agent_gateway(event_loop& loop, worker_table& workers);

    void dispatch(const worker_info& worker, backend_call call, handler done) override;

private:
    event_loop& m_loop;
    worker_table& m_workers;
};

} // namespace oriole
