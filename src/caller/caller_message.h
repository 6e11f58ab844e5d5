#ifndef PLANTAINGAP_CALLER_CALLER_MESSAGE_H
#define PLANTAINGAP_CALLER_CALLER_MESSAGE_H

#include "support/http_message.h"

#include <plantaingap/service_request.h>

// How callers' requests and answers look as HTTP messages.
namespace plantaingap::caller {

// The deadline of a request that names none, counted from its arrival.
constexpr std::chrono::milliseconds defaultPatience {30'000};
// A later deadline is cut down to this.
constexpr std::chrono::milliseconds longestPatience {3'600'000};
// Longer keys and kinds are refused.
constexpr std::size_t keyLimit = 128;

// Reads ANY /services/SERVICE/... and its Plantaingap- headers. The id and the name are left
// empty. errc::NotFound for another path, errc::Malformed for a header that cannot be understood
// or a request that is not idempotent and has no key.
result<service_request> readCallerRequest(support::http_request &&request, time_point now);

// The worker's answer, or the refusal as JSON with code, run and retry_after_ms.
support::http_response writeCallerAnswer(const service_response &answer,
                                         std::string_view requestName, time_point now);

} // namespace plantaingap::caller

#endif
