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

class_shares::class_shares(double headroomDeviations)
    : m_deviations(headroomDeviations)
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

bool class_shares::mayStart(work_class name, std::uint32_t free, bool impatient) const
{
    if (free == 0)
        return false;
    if (owed(name, impatient) > 0)
        return true;
    const auto owedLong = name == work_class::Long ? 0 : owed(work_class::Long, impatient);
    if (name == work_class::Quick)
        return free > owedLong + owed(work_class::Normal, impatient);
    return free > owedLong + headroom();
}

std::uint32_t class_shares::headroom() const
{
    const auto variance = std::max(0.0, m_square - m_mean * m_mean);
    const auto wanted = m_mean + m_deviations * std::sqrt(variance);
    const auto target = std::clamp(wanted, leastHeadroom * m_slots, headroomLimit * m_slots);
    const auto held = running(work_class::Quick);
    const auto rounded = static_cast<std::uint32_t>(target);
    return rounded > held ? rounded - held : 0;
}

std::uint32_t class_shares::owed(work_class name, bool impatient) const
{
    if (name == work_class::Quick || waiting(name) == 0)
        return 0;
    auto certain = m_slots / certainPart;
    if (name == work_class::Long && impatient)
        certain = std::max(certain, 1U);
    const auto held = running(name);
    return certain > held ? std::min(certain - held, waiting(name)) : 0;
}

void class_shares::observeQuick(time_point now)
{
    const auto passed = std::max(duration {}, now - m_observedAt);
    const auto weight = static_cast<double>(passed.count())
                        / static_cast<double>((passed + observationTime).count());
    const double level = waiting(work_class::Quick) + running(work_class::Quick);
    m_mean += weight * (level - m_mean);
    m_square += weight * (level * level - m_square);
    m_observedAt = now;
}

} // namespace plantaingap::decision
