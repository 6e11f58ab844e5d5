#ifndef PLANTAINGAP_JOBS_LOAD_SPARE_ROOM_H
#define PLANTAINGAP_JOBS_LOAD_SPARE_ROOM_H

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <plantaingap/time.h>

// Estimates the cores that work within the shares of its workspaces needs. It targets a workspace
// that sends many times its usual while the others send theirs: the excess may use only what those
// are not expected to need, because a task that has started holds its cores for seconds.
namespace plantaingap::jobs {

class spare_room
{
public:
    // Work within the shares was submitted, in core-seconds.
    void submitted(double coreSeconds, time_point now);
    // Mean cores that such work has needed lately.
    double neededCores(time_point now) const;

private:
    static constexpr std::size_t slots = 20;
    static constexpr std::chrono::milliseconds slotTime {250};

    static std::int64_t slotOf(time_point time);

    struct slot
    {
        std::int64_t number = -1;
        double coreSeconds = 0;
    };
    std::array<slot, slots> m_slots;
    std::int64_t m_firstSlot = -1;
};

} // namespace plantaingap::jobs

#endif
