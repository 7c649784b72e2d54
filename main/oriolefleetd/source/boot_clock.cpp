#include "boot_clock.hpp"

#include <ctime>

namespace fleetd {

oriole::time_point bootClock()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return oriole::time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace fleetd
