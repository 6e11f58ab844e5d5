#include "support/boot_time.h"

#include <ctime>

namespace plantaingap::support {

time_point bootNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

wall_time wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace plantaingap::support
