#include "jobs/workspaces/configuration_freshness.h"

#include <algorithm>

namespace plantaingap::jobs {

namespace {

// Tenths of the revocation bound. The rest covers the drift of this instance's clock, at most 2%,
// and the 300 ms within which a machine that was frozen sees the time that has passed.
constexpr int usableTenths = 9;
constexpr int readDueTenths = 5;
// A watch that confirms the configuration this often leaves time for a read before it is too old.
constexpr int watchesInRevocation = 5;

} // namespace

configuration_freshness::configuration_freshness(std::chrono::milliseconds revocation)
    : m_revocation(revocation)
{ }

void configuration_freshness::confirmed(time_point sentAt)
{
    m_usableUntil = std::max(m_usableUntil, sentAt + m_revocation * usableTenths / 10);
    m_readDueAt = std::max(m_readDueAt, sentAt + m_revocation * readDueTenths / 10);
}

bool configuration_freshness::usable(time_point now) const
{
    return !strict() || now < m_usableUntil;
}

bool configuration_freshness::needsRead(time_point now) const
{
    return strict() && now >= m_readDueAt;
}

std::chrono::milliseconds configuration_freshness::watchHold(std::chrono::milliseconds usual) const
{
    return strict() ? std::min(usual, m_revocation / watchesInRevocation) : usual;
}

} // namespace plantaingap::jobs
