#ifndef PLANTAINGAP_JOBS_WORKSPACES_CONFIGURATION_FRESHNESS_H
#define PLANTAINGAP_JOBS_WORKSPACES_CONFIGURATION_FRESHNESS_H

#include <chrono>
#include <plantaingap/time.h>

namespace plantaingap::jobs {

// Decides whether the configuration is recent enough for keys to be checked with it. It targets
// instances that are frozen, cut off or rejected by the store while an operator takes keys away.
// Times are of a clock that counts the suspension of the machine and is not stepped.
class configuration_freshness
{
public:
    // A key must not be used for longer than `revocation` after a configuration without it was
    // stored; 0 if a configuration of any age may be used.
    explicit configuration_freshness(std::chrono::milliseconds revocation);

    // The store answered a read of the configuration that was sent then. It confirms the
    // configuration as of that moment only: the store may have answered at once and the answer may
    // have been delayed.
    void confirmed(time_point sentAt);
    // Keys may be checked with the configuration.
    bool usable(time_point now) const;
    // The configuration should be read, because the watch has not confirmed it for long.
    bool needsRead(time_point now) const;
    // How long the store may hold a watch of the configuration open, at most `usual`.
    std::chrono::milliseconds watchHold(std::chrono::milliseconds usual) const;

private:
    bool strict() const { return m_revocation > std::chrono::milliseconds(0); }

    std::chrono::milliseconds m_revocation;
    time_point m_usableUntil {};
    time_point m_readDueAt {};
};

} // namespace plantaingap::jobs

#endif
