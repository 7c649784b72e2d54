/// @file
/// @brief Takes events into the tables.
#pragma once

#include <oriole/core/events.hpp>
#include <oriole/core/tables.hpp>

namespace oriole {

/// @brief Applies one event; what it asks for goes out with the next tick.
void takeIn(scheduler_tables& tables, const event& what, time_point now);

} // namespace oriole
