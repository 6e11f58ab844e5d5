#include "decision/class_shares.h"

#include <algorithm>
#include <cmath>
#include <plantaingap/invariant.h>

namespace plantaingap::decision {

namespace {

// One part in so many of the slots is certain for normal, and one for long work.
constexpr std::uint32_t certainPart = 8;
// Quick work's headroom never exceeds this share of the slots.
constexpr double headroomLimit = 0.75;
// Kept for quick work that was not seen of late.
constexpr double leastHeadroom = 1.0 / 32;
// What stays of the headroom's deviations for quick work when longer work has waited its time.
constexpr double keptDeviations = 0.5;
// Long work may wait this many times as long as normal work before it takes the others' headroom.
constexpr int longTolerance = 5;

double share(duration waited, duration tolerance)
{
    const auto part = static_cast<double>(waited.count()) / static_cast<double>(tolerance.count());
    return std::min(1.0, part);
}

} // namespace

class_shares::class_shares(const request_limits &limits)
    : m_deviations(limits.headroomDeviations)
    , m_patience(limits.patience)
    , m_tolerance(limits.normalAtMost)
{ }

void class_shares::addWaiting(work_class name)
{
    ++m_waiting[index(name)];
}

void class_shares::removeWaiting(work_class name)
{
    PLANTAINGAP_INVARIANT(m_waiting[index(name)] > 0, "waiting count below zero");
    --m_waiting[index(name)];
}

void class_shares::addRunning(work_class name, time_point now)
{
    observe(now);
    ++m_running[index(name)];
}

void class_shares::removeRunning(work_class name, time_point now)
{
    observe(now);
    PLANTAINGAP_INVARIANT(m_running[index(name)] > 0, "running count below zero");
    --m_running[index(name)];
}

bool class_shares::mayStart(work_class name, std::uint32_t free, const oldest_waits &waits) const
{
    if (free == 0)
        return false;
    if (owed(name, waits) > 0)
        return true;
    const auto owedLong = name == work_class::Long ? 0 : owed(work_class::Long, waits);
    if (name == work_class::Quick)
        return free > owedLong + owed(work_class::Normal, waits);
    return free > owedLong + headroom(name, waits);
}

std::uint32_t class_shares::headroom(work_class name, const oldest_waits &waits) const
{
    const auto wanted =
        std::clamp(quickHeadroom(waits), leastHeadroom * m_slots, headroomLimit * m_slots);
    const auto forQuick = missing(work_class::Quick, wanted);
    if (name == work_class::Normal)
        return forQuick;
    return forQuick + missing(work_class::Normal, normalHeadroom(waits));
}

// Independent arrivals deviate by the square root of the mean; waves deviate by more. Room for
// waves stands idle between them, so it is given up first.
double class_shares::quickHeadroom(const oldest_waits &waits) const
{
    const auto deviation = m_quick.deviation();
    const auto steady = std::min(deviation, std::sqrt(m_quick.mean()));
    const auto oldest = std::max(waits.normal, waits.longWork);
    const auto wavesGiven = share(oldest, m_tolerance);
    const auto given = std::max(share(waits.normal, m_tolerance),
                                share(waits.longWork, longTolerance * m_tolerance));
    const auto kept = 1 - given * (1 - keptDeviations);
    return m_quick.mean()
           + m_deviations * (steady * kept + (deviation - steady) * (1 - wavesGiven));
}

double class_shares::normalHeadroom(const oldest_waits &waits) const
{
    const auto given = share(waits.longWork, longTolerance * m_tolerance);
    return (m_normal.mean() + m_normal.deviation()) * (1 - given);
}

std::uint32_t class_shares::missing(work_class name, double wanted) const
{
    const auto whole = static_cast<std::uint32_t>(wanted);
    return whole > running(name) ? whole - running(name) : 0;
}

std::uint32_t class_shares::owed(work_class name, const oldest_waits &waits) const
{
    if (name == work_class::Quick || waiting(name) == 0)
        return 0;
    auto certain = m_slots / certainPart;
    if (name == work_class::Long && waits.longWork >= m_patience)
        certain = std::max(certain, 1U);
    const auto held = running(name);
    return certain > held ? std::min(certain - held, waiting(name)) : 0;
}

void class_shares::observe(time_point now)
{
    m_quick.observe(running(work_class::Quick), now);
    m_normal.observe(running(work_class::Normal), now);
}

} // namespace plantaingap::decision
