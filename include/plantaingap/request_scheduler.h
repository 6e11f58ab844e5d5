#ifndef PLANTAINGAP_REQUEST_SCHEDULER_H
#define PLANTAINGAP_REQUEST_SCHEDULER_H

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <plantaingap/ids.h>
#include <plantaingap/result.h>
#include <plantaingap/time.h>
#include <variant>
#include <vector>

// Decides which request of a service is sent to which worker's slot, and which is refused.
// It has no I/O, clock or thread: events go in with the time, actions come out.
namespace plantaingap::decision {

// Who sends requests, for learning; 0 when the caller cannot be told from others.
enum class caller_id : std::uint64_t {};

// How long a request may reasonably wait. Quick work is never behind long work.
enum class work_class : std::uint8_t { Quick, Normal, Long };

struct worker_added
{
    worker_id worker {};
    service_id service {};
    rack_id rack {};
    // How many requests the worker runs at once, over all entry instances together.
    std::uint32_t slots = 0;
    // Slots that a former owner's requests may still occupy; freed by worker_slots_confirmed.
    std::uint32_t occupied = 0;
};

// The worker reports how many slots requests of former owners still hold.
struct worker_slots_confirmed
{
    worker_id worker {};
    std::uint32_t occupied = 0;
};

// The worker finishes what it runs and gets nothing new.
struct worker_leaving
{
    worker_id worker {};
};

// The worker is gone; the requests it ran come back as request_failed from the backend package.
struct worker_removed
{
    worker_id worker {};
};

struct request_arrived
{
    request_id request {};
    service_id service {};
    kind_id kind {};
    work_class declared = work_class::Normal;
    // A request that is not idempotent is sent once and never again.
    bool idempotent = true;
    // The caller no longer wants an answer after this time.
    time_point deadline {};
    caller_id caller {};
};

// The caller went away or gave up.
struct request_cancelled
{
    request_id request {};
};

// How a request that was sent to a worker ended.
enum class send_outcome : std::uint8_t {
    Answered,
    // Refused by the worker or never written to the wire: certainly not run.
    NotRun,
    // Written, no whole answer came back: may have run.
    Unknown,
    // The worker answered with a failure of its own.
    WorkerFailed,
};

struct request_ended
{
    request_id request {};
    send_outcome outcome = send_outcome::Answered;
};

using request_event =
    std::variant<worker_added, worker_slots_confirmed, worker_leaving, worker_removed,
                 request_arrived, request_cancelled, request_ended>;

struct send_request
{
    request_id request {};
    worker_id worker {};
};

// The request leaves the scheduler without an answer. The code says whether it was run.
struct refuse_request
{
    request_id request {};
    errc code = errc::Overloaded;
    // When it is sensible to come again; a hint.
    time_point retryAt {};
};

using request_action = std::variant<send_request, refuse_request>;

struct request_limits
{
    // Requests waiting per service and class; one more is refused.
    std::uint32_t queueLimit = 1024;
    // Sends per request, the first included.
    std::uint32_t attempts = 2;
    // Repeated sends per arrival, over all requests of a service.
    double retryRatio = 0.1;
    // Repeated sends that may come at once after a quiet time; enough for the loss of a rack of
    // eight workers with eight slots each, twice.
    double retryBurst = 128;
    // A request that holds a slot longer than this is not quick, whatever was declared.
    duration quickAtMost = std::chrono::milliseconds(250);
    // A request that holds a slot longer than this is long.
    duration normalAtMost = std::chrono::seconds(2);
    // Where a service has too few slots for a share, its oldest long request goes first after
    // this wait.
    duration patience = std::chrono::seconds(30);
    // Slots held back from longer work: the mean of quick work in progress and so many standard
    // deviations above it.
    double headroomDeviations = 2;
    // A request that is expected to wait longer than this is refused at once, by class; a deadline
    // that comes sooner goes first.
    std::array<duration, 3> waitAtMost = {std::chrono::seconds(1), std::chrono::seconds(30),
                                          std::chrono::minutes(30)};
    // Actions per step; what is left is done by the next expire().
    std::uint32_t actionsPerStep = 64;
};

} // namespace plantaingap::decision

#endif
