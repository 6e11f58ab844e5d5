#ifndef PLANTAINGAP_BACKEND_ORDER_CODEC_H
#define PLANTAINGAP_BACKEND_ORDER_CODEC_H

#include <boost/json/value.hpp>
#include <plantaingap/task_scheduler.h>
#include <plantaingap/worker_lease.h>
#include <string>
#include <vector>

// JSON encoding of orders to a worker and of its replies. Orders are posted to the worker's
// /orders.
namespace plantaingap::backend {

// What a worker needs to start a task, besides the order itself.
struct task_payload
{
    // Resources allocated to the task.
    resources held;
    // As declared by the job; opaque to the scheduler.
    std::string command;
    duration runTime {};
    bool checkpointable = false;
};

// The outcome of a finished task. The worker repeats it in every reply until the owner acknowledges
// it.
struct ended_task
{
    task_id task;
    decision::task_outcome outcome = decision::task_outcome::Succeeded;

    bool operator==(const ended_task &) const = default;
};

struct order_message
{
    std::string group;
    worker_order order;
    // Used only by a start_order.
    task_payload payload;
    // Tasks whose outcomes are stored durably, so that the worker stops reporting them.
    std::vector<task_id> acknowledged;
};

struct reply_message
{
    worker_reply reply;
    // Resources allocated to each task in reply.running, in the same order.
    std::vector<resources> held;
    std::vector<ended_task> ended;
    // Slots of the worker that are occupied by service requests.
    std::uint32_t busySlots = 0;
};

boost::json::value orderToJson(const order_message &message);

// errc::Malformed if a member is missing or has the wrong type.
result<order_message> orderFromJson(const boost::json::value &document);

boost::json::value replyToJson(const reply_message &message);

// Leaves reply.askedAt unset: the caller knows when it sent the order.
result<reply_message> replyFromJson(const boost::json::value &document, worker_id worker);

} // namespace plantaingap::backend

#endif
