#ifndef PLANTAINGAP_JOBS_WORKER_LIST_CACHE_H
#define PLANTAINGAP_JOBS_WORKER_LIST_CACHE_H

#include "jobs/worker.h"

#include <vector>

namespace plantaingap::jobs {

// The platform's worker list with protection against store outages. Entries expire while the store
// is unavailable; live workers register again within about two seconds after it recovers.
class worker_list_cache
{
public:
    // Returns the entries just read, plus previous entries that are missing but may still reappear.
    std::vector<worker_entry> update(std::vector<worker_entry> entries, time_point now);

private:
    std::vector<worker_entry> m_lastEntries;
    time_point m_lastReadAt {};
    // Until then previous entries that are missing are kept.
    time_point m_keepMissingUntil {};
};

} // namespace plantaingap::jobs

#endif
