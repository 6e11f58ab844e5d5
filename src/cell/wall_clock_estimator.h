#ifndef PLANTAINGAP_CELL_WALL_CLOCK_ESTIMATOR_H
#define PLANTAINGAP_CELL_WALL_CLOCK_ESTIMATOR_H

#include <map>
#include <plantaingap/time.h>
#include <string>

namespace plantaingap::cell {

// Estimates wall-clock time as the median over the cell's instances. The clocks of some instances
// may jump by seconds and back, which must not start scheduled work early.
class wall_clock_estimator
{
public:
    // Records that an instance's wall clock read `wallClock` at the local monotonic time `readAt`.
    void addReading(const std::string &instance, wall_time wallClock, time_point readAt);
    // The median over instances with a recent reading; the epoch if there is none.
    wall_time estimate(time_point now) const;

private:
    struct reading
    {
        // Wall clock minus the local monotonic clock.
        duration offset {};
        time_point takenAt {};
    };
    std::map<std::string, reading> m_readings;
};

} // namespace plantaingap::cell

#endif
