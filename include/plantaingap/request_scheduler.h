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

// Events, actions and limits of the request scheduler, which assigns the requests of services to
// worker slots and refuses what it cannot serve. It is a state machine without I/O, clock or
// threads: each event is passed in with the current time, and the actions to execute are returned.
namespace plantaingap::decision {

// The caller that request durations are learned for; 0 when the caller is not identified.
enum class caller_id : std::uint64_t {};

// Class of a request by its duration, which also determines how long it may reasonably wait. Quick
// requests never queue behind long ones.
enum class work_class : std::uint8_t { Quick, Normal, Long };

struct worker_added
{
    worker_id worker {};
    service_id service {};
    rack_id rack {};
    // Maximum of concurrent requests on the worker, over all instances that callers connect to.
    std::uint32_t slots = 0;
    // Slots that requests of previous owners may still hold, until worker_slots_confirmed.
    std::uint32_t occupied = 0;
};

// The worker reported how many of its slots requests of previous owners still hold.
struct worker_slots_confirmed
{
    worker_id worker {};
    std::uint32_t occupied = 0;
};

// The worker finishes its running requests and gets no new ones.
struct worker_leaving
{
    worker_id worker {};
};

// The worker no longer exists. The backend package reports each request that ran there with
// request_ended.
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
    // A request that is not idempotent is not resent once a worker may have run it.
    bool idempotent = true;
    // The caller ignores a response after this time.
    time_point deadline {};
    caller_id caller {};
};

// The caller disconnected or cancelled the request.
struct request_cancelled
{
    request_id request {};
};

// Outcome of sending a request to a worker.
enum class send_outcome : std::uint8_t {
    Completed,
    // Refused by the worker or never written to the connection: certainly not run.
    NotRun,
    // Written, but no complete response was received: the request may have run.
    Unknown,
    // The worker responded with an error of its own.
    WorkerFailed,
};

struct request_ended
{
    request_id request {};
    send_outcome outcome = send_outcome::Completed;
};

using request_event =
    std::variant<worker_added, worker_slots_confirmed, worker_leaving, worker_removed,
                 request_arrived, request_cancelled, request_ended>;

struct send_request
{
    request_id request {};
    worker_id worker {};
};

// The request is removed without a response. The code says whether it may have run.
struct refuse_request
{
    request_id request {};
    errc code = errc::Overloaded;
    // Earliest time at which a retry is likely to be accepted; a hint for the caller.
    time_point retryAt {};
};

using request_action = std::variant<send_request, refuse_request>;

struct request_limits
{
    // Maximum of queued requests per service and class; further ones are refused.
    std::uint32_t queueLimit = 1024;
    // Sends per request, including the first.
    std::uint32_t maxSends = 2;
    // Resends allowed per arriving request, over all requests of a service.
    double retryRatio = 0.1;
    // Resends allowed in one burst; enough for losing a rack of eight workers with eight slots each
    // twice.
    double retryBurst = 128;
    // A request that holds a slot for longer is not quick, whatever class was declared.
    duration quickMaxDuration = std::chrono::milliseconds(250);
    // A request that holds a slot for longer is long.
    duration normalMaxDuration = std::chrono::seconds(2);
    // Where a service has too few slots to guarantee one to long requests, its oldest long request
    // is dispatched first after this wait.
    duration maxLongWait = std::chrono::seconds(30);
    // Slots reserved for quick requests: the mean number of slots that they hold plus this many
    // standard deviations.
    double headroomDeviations = 2;
    // By class: a request whose expected wait exceeds this or its deadline is refused on arrival.
    std::array<duration, 3> maxQueueWait = {std::chrono::seconds(1), std::chrono::seconds(30),
                                            std::chrono::minutes(30)};
    // Maximum of actions per step; the next expire() continues with the rest.
    std::uint32_t maxActionsPerStep = 64;
};

} // namespace plantaingap::decision

#endif
