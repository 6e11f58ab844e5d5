#ifndef PLANTAINGAP_WORKER_LEASE_H
#define PLANTAINGAP_WORKER_LEASE_H

#include <cstdint>
#include <optional>
#include <plantaingap/epoch.h>
#include <plantaingap/ids.h>
#include <plantaingap/ownership.h>
#include <plantaingap/result.h>
#include <plantaingap/time.h>
#include <variant>
#include <vector>

// Orders to workers and the lease protocol under which tasks are started. The state machines are
// backend::worker_leases at the owner of a group and its counterpart at the worker, both in
// src/backend. docs/PROTOCOL.md proves the protocol safe.
//
// A driver runs one worker_leases per owned group and feeds it these events:
// - the authority actions of group_ownership, in order;
// - worker_listed for each worker of the group, and worker_unlisted when the platform's list no
//   longer contains it;
// - worker_reply for every reply to an order, whatever its type;
// - previous_owner_stopped when an instance of the row's list of previous owners has disappeared
//   from the platform's list, or reports an epoch at least as high as this owner's;
// - lease_tick every 100 ms.
// A start_requested is either sent or refused immediately. The driver sends orders to the worker
// unmodified; they may be lost, duplicated, delayed or reordered. When the reply to a start was
// lost, a later reply reveals its outcome. The action epoch_received is passed on to
// group_ownership. After authority_gained the driver discards its knowledge of running tasks: each
// worker_ready reports it again.
namespace plantaingap {

// A reading of a worker's own clock: the time since its last start. The boot number increases with
// each start of the worker; a restart ends all tasks of the worker.
struct worker_timestamp
{
    std::uint64_t boot = 0;
    duration uptime {};

    auto operator<=>(const worker_timestamp &) const = default; // NOLINT(modernize-use-nullptr)
};

// Requests the list of running tasks. A worker that has observed no higher epoch records this one
// as its highest.
struct query_order
{
    worker_id worker {};
    epoch authority;
};

// Extends the lease of all tasks of the worker to the given time of the worker's clock; never
// shortens it.
struct renew_order
{
    worker_id worker {};
    epoch authority;
    worker_timestamp until;
};

struct start_order
{
    worker_id worker {};
    epoch authority;
    task_id task;
    // The worker refuses the order after this time of its clock.
    worker_timestamp latestStart;
    // Extends the lease of all tasks of the worker, as in renew_order.
    worker_timestamp until;
};

struct stop_order
{
    worker_id worker {};
    epoch authority;
    task_id task;
};

using worker_order = std::variant<query_order, renew_order, start_order, stop_order>;

// A worker's reply to an order of any type: its state after the order.
struct worker_reply
{
    worker_id worker {};
    errc code = errc::Ok;
    // When the order was sent, by the owner's clock. Set by the driver.
    time_point askedAt {};
    // The highest epoch that the worker has observed.
    epoch highest;
    worker_timestamp stamp;
    // Includes a task that is being stopped until its resources are free.
    std::vector<task_id> running;
};

struct worker_listed
{
    worker_id worker {};
};

// The platform reported that the worker no longer exists.
struct worker_unlisted
{
    worker_id worker {};
};

// The worker gets no new task; its running tasks continue.
struct worker_marked_leaving
{
    worker_id worker {};
};

// The previous owner certainly sends no more orders under its epoch.
struct previous_owner_stopped
{
    instance_ref previousOwner;
};

// Whether an earlier owner may already have started a task.
enum class task_origin : std::uint8_t {
    // Accepted by this instance under its current generation; since then either not started, or
    // started by this instance and reported by task_stopped.
    Accepted,
    // Read from the table, or run under an earlier epoch.
    Inherited,
};

struct start_requested
{
    worker_id worker {};
    task_id task;
    task_origin origin = task_origin::Inherited;
};

struct stop_requested
{
    task_id task;
};

struct lease_tick
{ };

using lease_event =
    std::variant<authority_gained, authority_confirmed, authority_lost, worker_listed,
                 worker_unlisted, worker_marked_leaving, worker_reply, previous_owner_stopped,
                 start_requested, stop_requested, lease_tick>;

struct send_order
{
    worker_order order;
};

// The worker accepts tasks from now on; lists the tasks that run there.
struct worker_ready
{
    worker_id worker {};
    std::vector<task_id> running;
};

// The worker gets no tasks until the next worker_ready.
struct worker_unready
{
    worker_id worker {};
};

// The task certainly does not run on this worker, and no order in flight can start it there. It may
// run on another worker where a previous owner started it.
struct task_stopped
{
    worker_id worker {};
    task_id task;
};

// The start was not ordered. It may be requested again after the next worker_ready or task_stopped.
struct start_refused
{
    worker_id worker {};
    task_id task;
    errc code = errc::NotReady;
};

using lease_action = std::variant<send_order, worker_ready, worker_unready, task_stopped,
                                  start_refused, epoch_received>;

struct lease_limits
{
    duration lease = std::chrono::seconds(15);
    // Between renewals of a worker's lease.
    duration renewInterval = std::chrono::seconds(5);
    // Between queries to a worker that has not replied under the current epoch.
    duration queryInterval = std::chrono::seconds(1);
    // A start order expires this long after the worker's timestamp that it is based on.
    duration startWindow = std::chrono::seconds(10);
    // An owner that has had no contact with the store for this long stops giving orders.
    duration storeGrace = std::chrono::minutes(15);
    // Maximum rate error of any clock, in parts per million.
    std::int64_t driftPpm = 1000;
};

// The time to wait by one clock so that the given time has certainly passed by another, when each
// may drift by driftPpm.
constexpr duration withDriftMargin(duration span, std::int64_t driftPpm)
{
    const std::int64_t slow = 1'000'000 - driftPpm;
    const std::int64_t fast = 1'000'000 + driftPpm;
    return duration(span.count() / slow * fast + fast);
}

} // namespace plantaingap

#endif
