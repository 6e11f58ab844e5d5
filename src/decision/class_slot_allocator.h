#ifndef PLANTAINGAP_DECISION_CLASS_SLOT_ALLOCATOR_H
#define PLANTAINGAP_DECISION_CLASS_SLOT_ALLOCATOR_H

#include "decision/load_estimate.h"

#include <array>
#include <cstdint>
#include <plantaingap/request_scheduler.h>

namespace plantaingap::decision {

// Wait of the oldest queued request of each class that has a guarantee.
struct oldest_waits
{
    duration normal {};
    duration longWork {};
};

// Allocates the slots of a service to the work classes. Running requests are not preempted, so
// headroom for shorter classes is reserved before their requests arrive: the mean of the slots that
// they hold plus a multiple of the standard deviation. The headroom shrinks the longer requests of
// a longer class wait, but part of the headroom for quick requests always remains. While requests
// of the normal or long class wait, each of these classes is guaranteed an eighth of the slots.
class class_slot_allocator
{
public:
    explicit class_slot_allocator(const request_limits &limits);

    void addWaiting(work_class workClass);
    void removeWaiting(work_class workClass);
    void addRunning(work_class workClass, time_point now);
    void removeRunning(work_class workClass, time_point now);

    // Sets the number of slots of the available workers.
    void setSlots(std::uint32_t slots) { m_slots = slots; }

    // Whether a waiting request of the class may take one of the free slots.
    bool canStart(work_class workClass, std::uint32_t free, const oldest_waits &waits) const;

    // Free slots that the class must leave for future requests of shorter classes.
    std::uint32_t headroom(work_class workClass, const oldest_waits &waits) const;

    std::uint32_t waiting(work_class workClass) const { return m_waiting[index(workClass)]; }
    std::uint32_t running(work_class workClass) const { return m_running[index(workClass)]; }
    std::uint32_t waiting() const { return m_waiting[0] + m_waiting[1] + m_waiting[2]; }
    std::uint32_t running() const { return m_running[0] + m_running[1] + m_running[2]; }

private:
    static constexpr std::size_t index(work_class workClass)
    {
        return static_cast<std::size_t>(workClass);
    }

    // Slots that the class is guaranteed, has requests for, and does not hold.
    std::uint32_t unmetGuarantee(work_class workClass, const oldest_waits &waits) const;
    double quickHeadroom(const oldest_waits &waits) const;
    double normalHeadroom(const oldest_waits &waits) const;
    std::uint32_t shortfall(work_class workClass, double target) const;
    void observe(time_point now);

    double m_headroomDeviations;
    duration m_maxLongWait;
    // Wait after which normal requests may use all headroom that may be released.
    duration m_normalWaitLimit;
    std::array<std::uint32_t, 3> m_waiting {};
    std::array<std::uint32_t, 3> m_running {};
    std::uint32_t m_slots = 0;
    load_estimate m_quickLoad;
    load_estimate m_normalLoad;
};

} // namespace plantaingap::decision

#endif
