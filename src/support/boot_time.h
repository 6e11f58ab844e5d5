#ifndef PLANTAINGAP_SUPPORT_BOOT_TIME_H
#define PLANTAINGAP_SUPPORT_BOOT_TIME_H

#include <plantaingap/time.h>

namespace plantaingap::support {

// Monotonic time that goes on while the machine is suspended, as other machines see it pass. What
// is promised to others (leases, leadership) is measured by this; timers run on plantaingap::clock.
time_point bootNow();

// The wall clock, whole milliseconds.
wall_time wallNow();

} // namespace plantaingap::support

#endif
