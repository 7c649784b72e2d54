/// @file
/// @brief One process of oriolefleetd with its store, and what a test observes of it.
#pragma once

#include "harness/process.hpp"
#include "standins/platform/platform_store.hpp"

#include <fleet/http/http_client.hpp>

#include <string>

namespace hostile {

enum class process_role { Entry,
    Agent };

/// @brief The limits that the settings file of the process names.
struct machine_limits {
    unsigned memoryMb = 64;
    unsigned maxFds = 4100;
};

class served_process {
public:
    served_process(oriole::event_loop& loop, process_role role, machine_limits limits);

    /// @brief Sends ordinary requests (a job to an entry, a heartbeat to an agent) until one is answered with 200.
    /// @return False when none was within a generous bound.
    bool answersOrdinaryRequest();

    [[nodiscard]] bool alive() { return m_process->running(); }
    [[nodiscard]] std::size_t openDescriptors() const;
    [[nodiscard]] std::size_t peakResidentMb() const { return m_process->peakResidentMb(); }

    oriole::endpoint service; ///< Callers of an entry, heartbeats of an agent.
    oriole::endpoint ready;
    oriole::endpoint metrics;
    oriole::endpoint rpc;

private:
    void writeSettings(process_role role, machine_limits limits) const;
    [[nodiscard]] fleet::http_request ordinaryRequest();

    oriole::event_loop& m_loop;
    process_role m_role;
    unsigned m_requests = 0;
    oriole::endpoint m_storeAddress;
    oriole::harness::test_directory m_directory;
    fleet::standin::platform_store m_store;
    std::unique_ptr<oriole::harness::process> m_process;
    std::unique_ptr<fleet::http_client> m_client;
};

} // namespace hostile
