#ifndef PLANTAINGAP_JOBS_FLEET_H
#define PLANTAINGAP_JOBS_FLEET_H

#include "decision/worker_health.h"
#include "jobs/job_progress.h"
#include "jobs/lease_bounds.h"
#include "jobs/worker.h"
#include "jobs/worker_speed.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace plantaingap::jobs {

// A run on a worker that no task of a live job is assigned to: its job has ended, or a report named
// it unexpectedly.
struct orphan_run
{
    std::string task;
    std::uint32_t attempt = 0;
    // None when unknown.
    std::optional<resources> demand;
    // When the first report without it arrived.
    std::optional<time_point> missingSince;
    // Of its job's workspace, with what it is charged; null for none or when unknown.
    workspace_account *account = nullptr;
    resources charged = {};
};

// State of one worker as known to the leader: its resources, the runs that may exist there, and its
// leases.
struct worker
{
    worker_entry entry;
    worker_ref ref;
    // Orders workers that are otherwise equal.
    std::size_t idHash = 0;
    std::string rack;
    // The greatest capacity that it has had; a worker may shrink for a time.
    resources fullCapacity;
    // The worker is in the worker list of the platform.
    bool listed = false;
    // The last lease renewal succeeded.
    bool responsive = false;
    // When the first lease renewal after the last report failed, and whether it was by a broken
    // connection, as when the process of the worker has ended, rather than by silence.
    std::optional<time_point> unresponsiveSince;
    bool connectionBroken = false;
    // A start could not be sent there; nothing is placed until then.
    time_point startsPausedUntil {};
    // Runs that were lost with their lease; a new incarnation of the worker proves later that it
    // crashed under them.
    struct lost_run
    {
        task_name task;
        std::uint32_t attempt = 0;
        crash_evidence evidence = crash_evidence::Beside;
        // The incarnation that it was started on; 0 when unknown.
        std::int64_t incarnationMs = 0;
    };
    std::vector<lost_run> unresolvedLosses;
    time_point unresolvedUntil {};
    // Number of reports received in this leader's term, and when the last one was requested.
    std::uint64_t reports = 0;
    time_point lastReportAskedAt {};
    // Resources of runs that may exist on the worker.
    resources used;
    // The part of `used` that long-running tasks hold, which does not come free by itself.
    resources usedByLongRunning;
    std::vector<task_run *> runs;
    std::uint32_t isolatedRuns = 0;
    // Runs that may exist on the worker and that no task of a live job is assigned to.
    std::vector<orphan_run> orphans;
    // Those whose demands are unknown; `used` includes the others.
    std::size_t unaccountedRuns = 0;

    // Start of the incarnation that sent the last report, milliseconds since 1970.
    std::int64_t incarnationMs = 0;
    // Numbers of completions of this incarnation: the last one received, the last one up to which
    // all are stored, and the received ones that are not stored yet.
    std::uint64_t lastReceivedEnd = 0;
    std::uint64_t lastStoredEnd = 0;
    std::set<std::uint64_t> unstoredEnds;

    // Last reading of the worker's clock, and its local time of arrival.
    std::int64_t clockMs = 0;
    time_point clockAt {};
    bool clockKnown = false;
    // Latest lease end that any leader may have sent, on the clock of this incarnation. See
    // lease_bounds.h.
    std::int64_t leaseEndMs = 0;
    // Until the first report in this term: the time at which all leases granted by previous leaders
    // have expired.
    time_point previousLeaderLeaseEnd {};

    // Failure statistics; with enough evidence the worker is quarantined and probed.
    decision::worker_health health;
    worker_speed speed;
    // Gang for which capacity is reserved here; other steps must leave it free.
    const step_run *reservedFor = nullptr;
    resources reservedCapacity;
    time_point reservedUntil {};
    // Expected start of that gang; until then short tasks may use the capacity (backfill).
    time_point reservedStart {};

    // Negative while the worker is smaller than what runs there. None while it has runs that are
    // not counted, whose demands may be unknown.
    resources free() const { return unaccountedRuns > 0 ? resources {} : entry.capacity - used; }
    // What has been placed fits.
    bool fits() const { return unaccountedRuns == 0 && resources {}.fitsIn(free()); }
    // Estimate of the worker's clock at `now`: the last reading advanced at the rate of the local
    // clock. It ignores the latency of the report and the clock drift.
    std::int64_t estimatedClock(time_point now) const;
    // The latest time of the worker's clock that has certainly passed at `now`, however slow the
    // clock is.
    std::int64_t certainlyPastAt(time_point now) const;
    // Whether the reading continues the clock of the incarnation that sent the last report.
    bool continuesClock(std::int64_t readingMs, time_point now) const;
    // All leases of the worker have certainly expired, so none of its runs can still exist.
    bool leasesEnded(time_point now) const;
    // The entry is of the incarnation that sent the last report: another one may have other labels
    // and another capacity, and is listed later than it reports.
    bool entryIsCurrent() const;
    // Orders to it can be carried out, and its entry tells which.
    bool reachable(time_point now) const;
    // It is reachable and, if quarantined, due for a probe.
    bool usable(time_point now) const;
    bool hasLabel(std::string_view label) const;
    // A run that may crash the worker is at work, so nothing else is placed.
    bool isolating() const { return isolatedRuns > 0; }
};

// The rack among the labels of a worker, empty if none names one.
std::string rackOf(const std::vector<std::string> &labels);

// All workers of one partition of a cell.
class fleet
{
public:
    // Applies the worker list of the platform. Workers that are no longer listed are kept while
    // runs may exist there. Returns the ids of new workers. previousLeaderLeaseEnd is set on new
    // workers.
    std::vector<std::string> updateList(const std::vector<worker_entry> &entries,
                                        time_point previousLeaderLeaseEnd);
    worker *find(std::string_view id);
    // Null for a worker that has been removed.
    worker *find(worker_ref ref) const;
    // Returns the worker with that id, or adds one without an address.
    worker &require(const std::string &id, time_point previousLeaderLeaseEnd);
    // Removes unlisted workers that can have no runs; returns their ids.
    std::vector<std::string> sweep(time_point now);

    auto &all() { return m_workers; }
    const auto &all() const { return m_workers; }

    resources capacity() const;
    resources used() const;

private:
    std::map<std::string, std::unique_ptr<worker>, std::less<>> m_workers;
    // By slot; null for slots of removed workers, which are listed in m_freeSlots.
    std::vector<worker *> m_slots;
    std::vector<std::uint32_t> m_freeSlots;
    std::uint32_t m_lastNumber = 0;
};

} // namespace plantaingap::jobs

#endif
