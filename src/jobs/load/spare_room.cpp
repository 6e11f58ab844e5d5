#include "jobs/load/spare_room.h"

#include <algorithm>

namespace plantaingap::jobs {

namespace {

// A leader that has just taken over has seen less than the whole window. The mean of less than a
// second varies too much.
constexpr std::int64_t minSlots = 4;

} // namespace

std::int64_t spare_room::slotOf(time_point time)
{
    return time.time_since_epoch() / slotTime;
}

void spare_room::submitted(double coreSeconds, time_point now)
{
    const auto number = slotOf(now);
    if (m_firstSlot < 0)
        m_firstSlot = number;
    auto &current = m_slots[static_cast<std::size_t>(number) % slots];
    if (current.number != number)
        current = {number, 0};
    current.coreSeconds += coreSeconds;
}

double spare_room::neededCores(time_point now) const
{
    if (m_firstSlot < 0)
        return 0;
    const auto current = slotOf(now);
    const auto oldest = current - static_cast<std::int64_t>(slots) + 1;
    double sum = 0;
    for (const auto &each : m_slots) {
        if (each.number >= oldest && each.number <= current)
            sum += each.coreSeconds;
    }
    const auto seen = std::clamp<std::int64_t>(current - m_firstSlot + 1, minSlots, slots);
    const std::chrono::duration<double> span = slotTime * seen;
    return sum / span.count();
}

} // namespace plantaingap::jobs
