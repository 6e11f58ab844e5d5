#include "jobs/worker_list_cache.h"

#include <algorithm>
#include <chrono>

namespace plantaingap::jobs {

namespace {

// A longer interval between reads means that the store was unavailable.
constexpr std::chrono::milliseconds outageThreshold {2500};
// Live workers are listed again within this time after an outage; the platform documentation says
// about two seconds.
constexpr std::chrono::milliseconds lapsedEntryLifetime {2300};

} // namespace

std::vector<worker_entry> worker_list_cache::update(std::vector<worker_entry> entries,
                                                    time_point now)
{
    if (m_lastReadAt != time_point {} && now - m_lastReadAt > outageThreshold)
        m_keepMissingUntil = now + lapsedEntryLifetime;
    m_lastReadAt = now;
    if (now < m_keepMissingUntil) {
        for (const auto &previous : m_lastEntries) {
            if (std::ranges::find(entries, previous.id, &worker_entry::id) == entries.end())
                entries.push_back(previous);
        }
    }
    m_lastEntries = entries;
    return entries;
}

} // namespace plantaingap::jobs
