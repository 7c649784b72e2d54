/// @file
/// @brief Durations by which a scheduler knows what may still run on a worker.
#pragma once

#include <fleet/agent/agent_timing.hpp>

namespace fleet {

struct directory_timing {
    agent_timing agents;
    milliseconds epochValidity { 5000 }; ///< A scheduler answers reports for this long after the store last confirmed its epoch.
    milliseconds lossMargin { 300 }; ///< Covers messages in transit and timers that fire late.
};

} // namespace fleet
