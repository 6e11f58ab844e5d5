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

// Orders to workers, and what must be known before a task is started. The machines are
// backend::worker_leases, for the owner of a group, and backend::worker_rules, which is what a
// worker must do. docs/PROTOCOL.md gives the argument.
//
// How a shell drives worker_leases: one machine per owned group. Feed it the authority actions of
// group_ownership as they come, worker_listed for each worker of the group, worker_unlisted when
// the platform's list no longer has it, worker_answer for every answer (to queries, renewals,
// starts and stops alike), former_stopped when an instance named in formers is gone from the
// platform's list or says that it has seen an epoch at least as high as ours, and lease_tick every
// 100 ms. To start a task give start_requested; it is either sent or refused at once. Pass orders
// to the worker as they are; they may be lost, doubled, delayed and reordered. What became of a
// start whose answer was lost is told by later answers. Give epoch_received to group_ownership when an
// action says so. After authority_gained forget what ran: each worker_ready tells it anew.
namespace plantaingap {

// A reading of a worker's own clock: time since its start, and which start. The boot number grows
// with each start of the worker, and its tasks end with it.
struct worker_stamp
{
    std::uint64_t boot = 0;
    duration uptime {};

    auto operator<=>(const worker_stamp &) const = default; // NOLINT(modernize-use-nullptr)
};

// Asks what runs; a worker that has seen no higher epoch takes this one as its highest.
struct query_order
{
    worker_id worker {};
    epoch authority;
};

// The lease of all the worker's tasks runs until this time of its own clock, or longer if it did.
struct renew_order
{
    worker_id worker {};
    epoch authority;
    worker_stamp until;
};

struct start_order
{
    worker_id worker {};
    epoch authority;
    task_id task;
    // Arriving later than this, the order is refused.
    worker_stamp latestStart;
    worker_stamp until;
};

struct stop_order
{
    worker_id worker {};
    epoch authority;
    task_id task;
};

using worker_order = std::variant<query_order, renew_order, start_order, stop_order>;

// What a worker answers to any order: its state after the order.
struct worker_answer
{
    worker_id worker {};
    errc code = errc::Ok;
    // By the owner's clock, when the order that this answers was sent. Filled in by the shell.
    time_point askedAt {};
    // The highest epoch that the worker has seen.
    epoch highest;
    worker_stamp stamp;
    std::vector<task_id> running;
};

struct worker_listed
{
    worker_id worker {};
};

// The platform says that the worker is no more.
struct worker_unlisted
{
    worker_id worker {};
};

// The worker gets no new task; what runs goes on.
struct worker_marked_leaving
{
    worker_id worker {};
};

// The former owner gives no order under its epoch any more.
struct former_stopped
{
    instance_ref former;
};

// Where a task to be started comes from.
enum class task_origin : std::uint8_t {
    // Accepted by this instance under its present generation, and never started or started by it
    // and told as task_stopped since.
    Accepted,
    // Anything else: read from the table, or run under an earlier epoch.
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
                 worker_unlisted, worker_marked_leaving, worker_answer, former_stopped,
                 start_requested, stop_requested, lease_tick>;

struct send_order
{
    worker_order order;
};

// The worker may get tasks from now on; this is what runs there.
struct worker_ready
{
    worker_id worker {};
    std::vector<task_id> running;
};

// The worker is not to get tasks until it is ready again.
struct worker_unready
{
    worker_id worker {};
};

// The task certainly does not run at this worker, and no order in flight can start it there. It may
// be known at another worker by then, where a former owner started it.
struct task_stopped
{
    worker_id worker {};
    task_id task;
};

// The start was not ordered. Ask again after the next worker_ready or task_stopped, or not at all.
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
    duration renewEvery = std::chrono::seconds(5);
    duration queryEvery = std::chrono::seconds(1);
    // An order to start is stale this long after the answer whose stamp it builds on.
    duration startWindow = std::chrono::seconds(10);
    duration storeGrace = std::chrono::minutes(15);
    // By how much the rate of any clock may differ from true time, in millionths.
    std::int64_t driftPpm = 1000;
};

// How long to wait by one clock so that the time has certainly passed on another.
constexpr duration outlast(duration span, std::int64_t driftPpm)
{
    const std::int64_t slow = 1'000'000 - driftPpm;
    const std::int64_t fast = 1'000'000 + driftPpm;
    return duration(span.count() / slow * fast + fast);
}

} // namespace plantaingap

#endif
