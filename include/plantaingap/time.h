#ifndef PLANTAINGAP_TIME_H
#define PLANTAINGAP_TIME_H

#include <chrono>

namespace plantaingap {

// Monotonic time of one process. Deadlines are stored as time points rather than remaining
// durations, so that a pause between two steps does not extend them.
using clock = std::chrono::steady_clock;
using time_point = std::chrono::time_point<clock, std::chrono::nanoseconds>;
using duration = std::chrono::nanoseconds;

// Wall-clock time for display and for stored rows that outlive a process. Never used to order
// events.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace plantaingap

#endif
