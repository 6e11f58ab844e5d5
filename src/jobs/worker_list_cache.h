#ifndef PLANTAINGAP_JOBS_WORKER_LIST_CACHE_H
#define PLANTAINGAP_JOBS_WORKER_LIST_CACHE_H

#include "jobs/worker.h"

#include <vector>

namespace plantaingap::jobs {

// The platform's list of workers across outages of its store. Load pattern that it answers: entries
// lapse while the store is away, and those of living workers are back some two seconds after it.
class worker_list_cache
{
public:
    // The list as it was just read, with former entries added while they may still come back.
    std::vector<worker_entry> update(std::vector<worker_entry> entries, time_point now);

private:
    std::vector<worker_entry> m_lastEntries;
    time_point m_lastReadAt {};
    // Until when entries that are missing count.
    time_point m_keepMissingUntil {};
};

} // namespace plantaingap::jobs

#endif
