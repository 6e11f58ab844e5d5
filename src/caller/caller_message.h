#ifndef PLANTAINGAP_CALLER_CALLER_MESSAGE_H
#define PLANTAINGAP_CALLER_CALLER_MESSAGE_H

#include "support/http_message.h"

#include <plantaingap/service_request.h>

// Conversion between HTTP messages and callers' requests and responses.
namespace plantaingap::caller {

// Timeout of a request without a Plantaingap-Deadline-Ms header, from its arrival.
constexpr std::chrono::milliseconds defaultRequestTimeout {30'000};
// Longer timeouts are reduced to this.
constexpr std::chrono::milliseconds maxRequestTimeout {3'600'000};
// Maximum length of request keys and kinds; longer ones are refused.
constexpr std::size_t maxKeyBytes = 128;

// Parses a request with any method to /services/SERVICE/... and its Plantaingap- headers. Leaves
// the id and the name empty. errc::NotFound for any other path; errc::Malformed for an invalid
// header, or if a non-idempotent request has no key.
result<service_request> readCallerRequest(support::http_request &&request, time_point now);

// Returns the worker's response, or a refusal as JSON with code, run and retry_after_ms.
support::http_response writeCallerResponse(const service_response &response,
                                           std::string_view requestName, time_point now);

} // namespace plantaingap::caller

#endif
