#ifndef PLANTAINGAP_CELL_WALL_ESTIMATE_H
#define PLANTAINGAP_CELL_WALL_ESTIMATE_H

#include <map>
#include <plantaingap/time.h>
#include <string>

namespace plantaingap::cell {

// The time of day as most instances have it. Load pattern that it answers: the clocks of some
// instances jump by seconds and back, and scheduled work must not start early for it.
class wall_estimate
{
public:
    // An instance's clock showed a time at a moment of ours.
    void told(const std::string &instance, wall_time shown, time_point at);
    // The median over the instances that were heard lately.
    wall_time at(time_point now) const;

private:
    struct reading
    {
        // What to add to our monotonic clock for the wall clock.
        duration offset {};
        time_point heard {};
    };
    std::map<std::string, reading> m_readings;
};

} // namespace plantaingap::cell

#endif
