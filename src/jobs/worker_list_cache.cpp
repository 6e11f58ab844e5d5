#include "jobs/worker_list_cache.h"

#include <algorithm>
#include <chrono>

namespace plantaingap::jobs {

namespace {

// A read of the list that is older than this means that the store was away.
constexpr std::chrono::milliseconds readGap {2500};
// Entries of living workers are back within this, from the platform's pages: about two seconds.
constexpr std::chrono::milliseconds lapsedGrace {2300};

} // namespace

std::vector<worker_entry> worker_list_cache::update(std::vector<worker_entry> entries,
                                                    time_point now)
{
    if (m_readAt != time_point {} && now - m_readAt > readGap)
        m_lapsedUntil = now + lapsedGrace;
    m_readAt = now;
    if (now < m_lapsedUntil) {
        for (const auto &former : m_last) {
            if (std::ranges::find(entries, former.id, &worker_entry::id) == entries.end())
                entries.push_back(former);
        }
    }
    m_last = entries;
    return entries;
}

} // namespace plantaingap::jobs
