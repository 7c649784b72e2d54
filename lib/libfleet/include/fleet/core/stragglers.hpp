/// @file
/// @brief Which runs stand still or are slow because of their worker.
#pragma once

#include <fleet/core/tables.hpp>

namespace fleet {

/// @brief Whether reports show that a run makes no progress.
/// @param gangTimeout How long members of a gang wait for each other before the first progress.
bool isStalled(const tables& state, const live_run& run, milliseconds gangTimeout, time_point now);

/// @brief Whether a run would be done sooner if it began anew on a sound worker.
/// A task that is long by itself is not slow: its worker's other runs tell the two apart.
bool isSlow(const tables& state, const live_run& run);

} // namespace fleet
