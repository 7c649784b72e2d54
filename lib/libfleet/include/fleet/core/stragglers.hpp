/// @file
/// @brief Detects runs that make no progress, and runs that are slow because of their worker.
#pragma once

#include <fleet/core/tables.hpp>

namespace fleet {

/// @brief Whether reports show that a run makes no progress.
/// @param gangTimeout How long the members of a gang wait for each other before they start to work.
bool isStalled(const tables& state, const live_run& run, milliseconds gangTimeout, time_point now);

/// @brief Whether a run would end sooner if it were restarted on a healthy worker.
/// A long task on a healthy worker does not count as slow; the other runs on the worker are compared to tell the two apart.
bool isSlow(const tables& state, const live_run& run);

} // namespace fleet
