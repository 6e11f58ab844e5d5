#ifndef PLANTAINGAP_SERVICE_REQUEST_H
#define PLANTAINGAP_SERVICE_REQUEST_H

#include <cstdint>
#include <memory>
#include <plantaingap/ids.h>
#include <plantaingap/request_scheduler.h>
#include <plantaingap/result.h>
#include <plantaingap/time.h>
#include <string>

// A caller's request and its response, as passed between the packages. Threads share both by
// pointer, so neither is modified after it was published.
namespace plantaingap {

struct service_request
{
    // Unique in this instance among open requests.
    request_id id {};
    // Unique over all instances; echoed by the worker and written to log lines.
    std::string name;
    std::string service;
    // Request durations are learned per kind; empty for the service's only kind.
    std::string kind;
    // Request key by which a repeat of a non-idempotent request is recognised; empty for an
    // idempotent one.
    std::string key;
    decision::work_class declared = decision::work_class::Normal;
    bool idempotent = true;
    time_point deadline {};
    std::string method;
    // The part of the caller's request target that is sent to the worker; starts with a slash.
    std::string target;
    std::string contentType;
    std::string body;
};

using service_request_ptr = std::shared_ptr<const service_request>;

// Whether a worker ran the request.
enum class run_state : std::uint8_t { NotRun, Unknown, Run };

// The response to a caller: a worker's complete response, or a refusal with its reason.
struct service_response
{
    request_id id {};
    // errc::Ok for a worker's response, else the reason of the refusal.
    errc code = errc::Ok;
    run_state run = run_state::Run;
    // Earliest time at which a retry is likely to be accepted; only for refusals.
    time_point retryAt {};
    // The worker's HTTP status; only for its responses.
    unsigned status = 0;
    std::string contentType;
    std::string body;
    std::string worker;
};

using service_response_ptr = std::shared_ptr<const service_response>;

} // namespace plantaingap

#endif
