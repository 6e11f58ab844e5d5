#include "decision/class_slot_allocator.h"

#include <algorithm>
#include <cmath>
#include <plantaingap/invariant.h>

namespace plantaingap::decision {

namespace {

// One slot in this many is guaranteed to normal requests, and one to long requests.
constexpr std::uint32_t slotsPerGuaranteed = 8;
// Maximum headroom for quick requests, as a fraction of the slots.
constexpr double maxHeadroomFraction = 0.75;
// Minimum headroom for quick requests, as a fraction of the slots, when few arrived recently.
constexpr double minHeadroomFraction = 1.0 / 32;
// Headroom for quick requests consists of their mean load and a multiple of its deviation. Once
// longer requests have waited for their wait limit, this fraction of the multiple remains, without
// the part of the deviation that is due to bursts.
constexpr double minDeviationFraction = 0.5;
// Ratio of the wait limit of long requests to that of normal requests. The headroom for shorter
// classes shrinks until the limit is reached.
constexpr int longWaitLimitFactor = 5;

double elapsedFraction(duration waited, duration limit)
{
    const auto fraction = static_cast<double>(waited.count()) / static_cast<double>(limit.count());
    return std::min(1.0, fraction);
}

} // namespace

class_slot_allocator::class_slot_allocator(const request_limits &limits)
    : m_headroomDeviations(limits.headroomDeviations)
    , m_maxLongWait(limits.maxLongWait)
    , m_normalWaitLimit(limits.normalMaxDuration)
{ }

void class_slot_allocator::addWaiting(work_class workClass)
{
    ++m_waiting[index(workClass)];
}

void class_slot_allocator::removeWaiting(work_class workClass)
{
    PLANTAINGAP_INVARIANT(m_waiting[index(workClass)] > 0, "negative count of waiting requests");
    --m_waiting[index(workClass)];
}

void class_slot_allocator::addRunning(work_class workClass, time_point now)
{
    observe(now);
    ++m_running[index(workClass)];
}

void class_slot_allocator::removeRunning(work_class workClass, time_point now)
{
    observe(now);
    PLANTAINGAP_INVARIANT(m_running[index(workClass)] > 0, "negative count of running requests");
    --m_running[index(workClass)];
}

bool class_slot_allocator::canStart(work_class workClass, std::uint32_t free,
                                    const oldest_waits &waits) const
{
    if (free == 0)
        return false;
    if (unmetGuarantee(workClass, waits) > 0)
        return true;
    const auto unmetLong =
        workClass == work_class::Long ? 0 : unmetGuarantee(work_class::Long, waits);
    if (workClass == work_class::Quick)
        return free > unmetLong + unmetGuarantee(work_class::Normal, waits);
    return free > unmetLong + headroom(workClass, waits);
}

std::uint32_t class_slot_allocator::headroom(work_class workClass, const oldest_waits &waits) const
{
    const auto target = std::clamp(quickHeadroom(waits), minHeadroomFraction * m_slots,
                                   maxHeadroomFraction * m_slots);
    const auto quickShortfall = shortfall(work_class::Quick, target);
    if (workClass == work_class::Normal)
        return quickShortfall;
    return quickShortfall + shortfall(work_class::Normal, normalHeadroom(waits));
}

// The load of independent arrivals deviates by the square root of the mean; bursts deviate by more.
// Headroom for bursts is idle between them, so it is released first.
double class_slot_allocator::quickHeadroom(const oldest_waits &waits) const
{
    const auto deviation = m_quickLoad.deviation();
    const auto independent = std::min(deviation, std::sqrt(m_quickLoad.mean()));
    const auto oldest = std::max(waits.normal, waits.longWork);
    const auto burstReduction = elapsedFraction(oldest, m_normalWaitLimit);
    const auto reduction =
        std::max(elapsedFraction(waits.normal, m_normalWaitLimit),
                 elapsedFraction(waits.longWork, longWaitLimitFactor * m_normalWaitLimit));
    const auto remaining = 1 - reduction * (1 - minDeviationFraction);
    return m_quickLoad.mean()
           + m_headroomDeviations
                 * (independent * remaining + (deviation - independent) * (1 - burstReduction));
}

double class_slot_allocator::normalHeadroom(const oldest_waits &waits) const
{
    const auto reduction = elapsedFraction(waits.longWork, longWaitLimitFactor * m_normalWaitLimit);
    return (m_normalLoad.mean() + m_normalLoad.deviation()) * (1 - reduction);
}

std::uint32_t class_slot_allocator::shortfall(work_class workClass, double target) const
{
    const auto whole = static_cast<std::uint32_t>(target);
    return whole > running(workClass) ? whole - running(workClass) : 0;
}

std::uint32_t class_slot_allocator::unmetGuarantee(work_class workClass,
                                                   const oldest_waits &waits) const
{
    if (workClass == work_class::Quick || waiting(workClass) == 0)
        return 0;
    auto guaranteed = m_slots / slotsPerGuaranteed;
    if (workClass == work_class::Long && waits.longWork >= m_maxLongWait)
        guaranteed = std::max(guaranteed, 1U);
    const auto held = running(workClass);
    return guaranteed > held ? std::min(guaranteed - held, waiting(workClass)) : 0;
}

void class_slot_allocator::observe(time_point now)
{
    m_quickLoad.observe(running(work_class::Quick), now);
    m_normalLoad.observe(running(work_class::Normal), now);
}

} // namespace plantaingap::decision
