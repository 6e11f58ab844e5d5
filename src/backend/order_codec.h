#ifndef PLANTAINGAP_BACKEND_ORDER_CODEC_H
#define PLANTAINGAP_BACKEND_ORDER_CODEC_H

#include <boost/json/value.hpp>
#include <plantaingap/task_scheduler.h>
#include <plantaingap/worker_lease.h>
#include <string>
#include <vector>

// Orders to a worker and its answers as JSON, as they go over HTTP to the worker's /orders.
namespace plantaingap::backend {

// What a worker needs besides the order itself to start a task.
struct task_payload
{
    resources held;
    // As the job declares it; the worker knows what it means.
    std::string command;
    duration runTime {};
    bool checkpointable = false;
};

// How a task ended, told with every answer until the owner acknowledges it.
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
    // For a start_order.
    task_payload payload;
    // Ends that are recorded durably and need not be told again.
    std::vector<task_id> acknowledged;
};

struct answer_message
{
    worker_reply answer;
    // What each task in answer.running holds, in the same order.
    std::vector<resources> held;
    std::vector<ended_task> ended;
    // Requests of services that hold a slot of the worker now.
    std::uint32_t busySlots = 0;
};

boost::json::value orderToJson(const order_message &message);

// Malformed when a member is missing or of another type.
result<order_message> orderFromJson(const boost::json::value &document);

boost::json::value answerToJson(const answer_message &message);

// askedAt is left for the caller to fill in.
result<answer_message> answerFromJson(const boost::json::value &document, worker_id worker);

} // namespace plantaingap::backend

#endif
