#ifndef PLANTAINGAP_SERVICE_REQUEST_H
#define PLANTAINGAP_SERVICE_REQUEST_H

#include <cstdint>
#include <memory>
#include <plantaingap/ids.h>
#include <plantaingap/request_scheduler.h>
#include <plantaingap/result.h>
#include <plantaingap/time.h>
#include <string>

// A caller's request and its answer as they travel between the packages. Both are handed from
// thread to thread by pointer and never change once they were handed on.
namespace plantaingap {

struct service_request
{
    // Unique in this instance while the request is open.
    request_id id {};
    // Unique over all instances; the worker echoes it and log lines carry it.
    std::string name;
    std::string service;
    // Sizes are learned per kind; empty for the service's only kind.
    std::string kind;
    // Names a request that is not idempotent; empty otherwise.
    std::string key;
    decision::work_class declared = decision::work_class::Normal;
    bool idempotent = true;
    time_point deadline {};
    std::string method;
    // The part of the caller's target that the worker is given, from the slash on.
    std::string target;
    std::string contentType;
    std::string body;
};

using service_request_ptr = std::shared_ptr<const service_request>;

// Whether a request that got no answer from a worker was run.
enum class run_state : std::uint8_t { NotRun, Unknown, Run };

// What the caller is told: a worker's whole answer, or a refusal with its reason.
struct service_answer
{
    request_id id {};
    // errc::Ok when a worker answered.
    errc code = errc::Ok;
    run_state run = run_state::Run;
    // When it is sensible to come again; only for refusals.
    time_point retryAt {};
    // The worker's HTTP status; only for answers.
    unsigned status = 0;
    std::string contentType;
    std::string body;
    std::string worker;
};

using service_answer_ptr = std::shared_ptr<const service_answer>;

} // namespace plantaingap

#endif
