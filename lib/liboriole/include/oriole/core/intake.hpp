/// @file
/// @brief Applies events to the tables.
#pragma once

#include <oriole/core/events.hpp>
#include <oriole/core/tables.hpp>

namespace oriole {

/// @brief Applies one event; resulting commands are returned by the next tick.
void applyEvent(scheduler_tables& tables, const event& what, time_point now);

} // namespace oriole
