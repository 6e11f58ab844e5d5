#ifndef PLANTAINGAP_DECISION_CLASS_SHARES_H
#define PLANTAINGAP_DECISION_CLASS_SHARES_H

#include "decision/load_level.h"

#include <array>
#include <cstdint>
#include <plantaingap/request_scheduler.h>

namespace plantaingap::decision {

// How long the oldest waiting request of a class has waited.
struct oldest_waits
{
    duration normal {};
    duration longWork {};
};

// Shares a service's slots out among the classes. Requests cannot be taken off a slot, so room for
// shorter work is kept free before it comes: the mean of such work in progress and some standard
// deviations. The room melts as longer work waits for it; of that for quick work, a part stays.
// Normal and long work are each certain of an eighth of the slots while they wait.
class class_shares
{
public:
    explicit class_shares(const request_limits &limits);

    void addWaiting(work_class name);
    void removeWaiting(work_class name);
    void addRunning(work_class name, time_point now);
    void removeRunning(work_class name, time_point now);

    // The slots of the available workers.
    void setSlots(std::uint32_t slots) { m_slots = slots; }

    // True when a waiting request of the class may take one of the free slots.
    bool mayStart(work_class name, std::uint32_t free, const oldest_waits &waits) const;

    // Free slots that a class leaves for shorter work that has not come yet.
    std::uint32_t headroom(work_class name, const oldest_waits &waits) const;

    std::uint32_t waiting(work_class name) const { return m_waiting[index(name)]; }
    std::uint32_t running(work_class name) const { return m_running[index(name)]; }
    std::uint32_t waiting() const { return m_waiting[0] + m_waiting[1] + m_waiting[2]; }
    std::uint32_t running() const { return m_running[0] + m_running[1] + m_running[2]; }

private:
    static constexpr std::size_t index(work_class name) { return static_cast<std::size_t>(name); }

    // Slots that the class is certain of and does not hold.
    std::uint32_t owed(work_class name, const oldest_waits &waits) const;
    double quickHeadroom(const oldest_waits &waits) const;
    double normalHeadroom(const oldest_waits &waits) const;
    std::uint32_t missing(work_class name, double wanted) const;
    void observe(time_point now);

    double m_deviations;
    duration m_patience;
    duration m_tolerance;
    std::array<std::uint32_t, 3> m_waiting {};
    std::array<std::uint32_t, 3> m_running {};
    std::uint32_t m_slots = 0;
    load_level m_quick;
    load_level m_normal;
};

} // namespace plantaingap::decision

#endif
