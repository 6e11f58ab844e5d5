#ifndef PLANTAINGAP_JOBS_LEASE_BOUNDS_H
#define PLANTAINGAP_JOBS_LEASE_BOUNDS_H

#include <chrono>
#include <cstdint>

// Which leases an incarnation of a worker may hold, and how long those that a leader has granted
// may outlive its term.
//
// A lease ends at a time of the worker's clock, which starts anew with each incarnation, at any
// value. By the clock of another incarnation the same lease would last for any time up to the
// longest that a worker takes, and the leader that granted it would count its end wrongly. The id
// of a worker and the term of an order do not tell incarnations apart. Therefore
//
//   - an order with a lease end, or with the number of a stored end, names the incarnation by whose
//     clock and numbers it was computed, and is sent only over a connection whose other end has
//     told in a report that it is this incarnation. A connection does not outlive the process at
//     its end, and a process executes no order that another one has received;
//   - a leader counts all leases that it grants to the incarnation that reported last, and counts
//     them as over by the clock of that incarnation;
//   - at the first report of an incarnation the leader has granted it none. A previous leader that
//     does not know that it has been replaced may have: at most longestPreviousLease().
//
// So the lease that a leader counts is at least as long as the one that the worker holds, whether
// the worker restarts before, between or after reports, and whether orders are executed late.
//
// A leader does not learn at once that it has been replaced: it may be cut off, paused, or its
// writes get no reply. The claim of the next leader keeps every later write of the former one from
// being committed, so whatever the former leader has had committed was sent before that claim was
// committed. Therefore
//
//   - a leader grants no lease that can end later than grantSpan() after it sent its last committed
//     write, by its own clock or, if that is fast, in true time (worker::certainlyPastAt() allows
//     for a slow clock of the worker);
//   - the next leader, once it knows of its claim, waits for previousLeaderLease by its own clock
//     before it takes the runs of a worker for gone that it has not reached.
//
// The wait begins after the write was sent. Both leaders read clocks that count suspended time
// (support/boot_time.h), so only the rates of the clocks can make the wait end first: the former
// leader's clock may be slow, the next one's fast, by maxClockDriftPerMille each.
namespace plantaingap::jobs {

// Maximum rate by which a clock may be off, in thousandths. The platform documentation states it
// for the clocks of workers, which may be slow, and nothing for those of instances.
inline constexpr std::int64_t maxClockDriftPerMille = 20;

// Default of scheduler_options::previousLeaderLease. It delays the restart of tasks whose worker
// is lost together with the leader, and bounds how long runs outlive an outage of the store.
inline constexpr std::chrono::milliseconds defaultPreviousLeaderLease {8000};

// See above: the span by the former leader's clock that is over by the time at which
// `previousLeaderLease` is by the next leader's.
constexpr std::chrono::milliseconds grantSpan(std::chrono::milliseconds previousLeaderLease)
{
    return previousLeaderLease * (1000 - maxClockDriftPerMille) / (1000 + maxClockDriftPerMille);
}

// The longest lease that an incarnation of a worker may hold when it first reports to a leader:
// `lease`, which a previous leader counted from its estimate of the worker's clock. The estimate
// runs ahead of a slow clock from the last reading on, which is no older than the leases that it
// may grant.
constexpr std::chrono::milliseconds
longestPreviousLease(std::chrono::milliseconds lease, std::chrono::milliseconds previousLeaderLease)
{
    return lease + previousLeaderLease * maxClockDriftPerMille / 1000;
}

} // namespace plantaingap::jobs

#endif
