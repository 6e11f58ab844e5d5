#ifndef PLANTAINGAP_JOBS_FLEET_H
#define PLANTAINGAP_JOBS_FLEET_H

#include "decision/worker_health.h"
#include "jobs/job_progress.h"
#include "jobs/worker.h"
#include "jobs/worker_speed.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace plantaingap::jobs {

// A worker's clock may be this much slower than ours, in thousandths (from the platform's pages).
inline constexpr std::int64_t maxClockLag = 20;

// A worker as the leader knows it: what it has, what may run there, and until when.
struct worker
{
    worker_entry entry;
    std::string rack;
    // It is in the platform's list.
    bool listed = false;
    // It answered the last look.
    bool responsive = false;
    // Reports in this leader's term.
    std::uint64_t reports = 0;
    // Room taken by runs that may exist there.
    resources used;
    std::vector<task_run *> runs;

    // The life that the last report came from.
    std::int64_t incarnationMs = 0;
    // Ends of this life that were taken in, and those of them that are stored without a gap.
    std::uint64_t lastReceivedEnd = 0;
    std::uint64_t lastStoredEnd = 0;
    std::set<std::uint64_t> unstoredEnds;

    // A reading of the worker's clock, and when it arrived here.
    std::int64_t clockMs = 0;
    time_point clockAt {};
    bool clockKnown = false;
    // The furthest lease end that any order carried, on the worker's clock.
    std::int64_t leaseEndMs = 0;
    // While the worker has not answered in this term: when leases of earlier leaders have ended.
    time_point previousLeaderLeaseEnd {};

    // Evidence that it fails or hangs what it is given; set aside and probed when there is enough.
    decision::worker_health health;
    worker_speed speed;
    // A gang that waits for that much room here; others keep away from it.
    const step_run *reservedFor = nullptr;
    resources reservedCapacity;
    time_point reservedUntil {};
    // When that gang is expected to begin; until then short work may use the room.
    time_point reservedStart {};

    resources free() const { return entry.capacity - used; }
    // The worker's clock now, not later than this.
    std::int64_t clockUpperBound(time_point now) const;
    // All that ran there under leases has ended, for certain.
    bool leasesEnded(time_point now) const;
    bool usable(time_point now) const;
    bool hasLabel(std::string_view label) const;
};

const std::string &workerName(const worker &worker);

// The workers of a cell.
class fleet
{
public:
    // Takes in the platform's list. Workers that left it stay known while something may run there.
    // Returns the ids of workers that are new.
    std::vector<std::string> list(const std::vector<worker_entry> &entries,
                                  time_point previousLeaderLeaseEnd);
    worker *find(std::string_view id);
    // The worker of that id, made up without an address when it is not known.
    worker &require(const std::string &id, time_point previousLeaderLeaseEnd);
    // Forgets unlisted workers on which nothing can run; returns their ids.
    std::vector<std::string> sweep(time_point now);

    auto &all() { return m_workers; }
    const auto &all() const { return m_workers; }

    resources capacity() const;
    resources used() const;

private:
    std::map<std::string, std::unique_ptr<worker>, std::less<>> m_workers;
};

} // namespace plantaingap::jobs

#endif
