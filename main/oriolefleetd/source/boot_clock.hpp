/// @file
/// @brief Monotonic clock that also advances while the machine is suspended.
#pragma once

#include <oriole/helpers/timer_service.hpp>

namespace fleetd {

oriole::time_point bootClock();

} // namespace fleetd
