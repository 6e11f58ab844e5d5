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
constexpr duration observationTime = std::chrono::seconds(30);

} // namespace

class_shares::class_shares(const request_limits &limits)
    : m_deviations(limits.headroomDeviations)
    , m_patience(limits.patience)
    , m_tolerance(limits.normalAtMost)
{ }

void class_shares::addWaiting(work_class name, time_point now)
{
    observeQuick(now);
    ++m_waiting[index(name)];
}

void class_shares::removeWaiting(work_class name, time_point now)
{
    observeQuick(now);
    PLANTAINGAP_INVARIANT(m_waiting[index(name)] > 0, "waiting count below zero");
    --m_waiting[index(name)];
}

void class_shares::addRunning(work_class name, time_point now)
{
    observeQuick(now);
    ++m_running[index(name)];
}

void class_shares::removeRunning(work_class name, time_point now)
{
    observeQuick(now);
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
    return free > owedLong + headroom(waits);
}

std::uint32_t class_shares::headroom(const oldest_waits &waits) const
{
    const auto target =
        std::clamp(wantedHeadroom(waits), leastHeadroom * m_slots, headroomLimit * m_slots);
    const auto held = running(work_class::Quick);
    const auto rounded = static_cast<std::uint32_t>(target);
    return rounded > held ? rounded - held : 0;
}

// Independent arrivals deviate by the square root of the mean; waves deviate by more. Room for
// waves stands idle between them, so it is given up as longer work waits for it.
double class_shares::wantedHeadroom(const oldest_waits &waits) const
{
    const auto variance = std::max(0.0, m_square - m_mean * m_mean);
    const auto steady = std::min(std::sqrt(variance), std::sqrt(m_mean));
    const auto waves = std::sqrt(variance) - steady;
    const auto oldest = std::max(waits.normal, waits.longWork);
    const auto given = std::min(1.0, static_cast<double>(oldest.count())
                                         / static_cast<double>(m_tolerance.count()));
    return m_mean + m_deviations * (steady + waves * (1 - given));
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

void class_shares::observeQuick(time_point now)
{
    const auto passed = std::max(duration {}, now - m_observedAt);
    m_observedAt = std::max(m_observedAt, now);
    // Counted from the first request on, so that a new owner knows the load within moments.
    if (m_observed == duration {} && running(work_class::Quick) == 0)
        return;
    m_observed = std::min(m_observed + passed, observationTime);
    if (m_observed == duration {})
        return;
    const auto weight =
        static_cast<double>(passed.count()) / static_cast<double>(m_observed.count());
    // Not what waits: a backlog is not the slots that quick work can use.
    const double level = running(work_class::Quick);
    m_mean += weight * (level - m_mean);
    m_square += weight * (level * level - m_square);
}

} // namespace plantaingap::decision
