#ifndef PLANTAINGAP_RESULT_H
#define PLANTAINGAP_RESULT_H

#include <boost/system/result.hpp>
#include <string>
#include <system_error>
#include <vector>

namespace plantaingap {

// A value or an error code. Callers check it before use; errors are not thrown.
template<class T>
using result = boost::system::result<T, std::error_code>;

// Errors reported to callers and operators. errorCategory() has their messages, docs/OPERATING.md
// the operator's response to each.
enum class errc {
    Ok = 0,
    // The request or order was definitely not executed.
    Overloaded,
    DeadlinePassed,
    NoSuchService,
    NoWorker,
    NotReady,
    Stopping,
    StoreUnavailable,
    // A request with the same key is running or has run.
    DuplicateKey,
    // The request may or may not have been executed.
    OutcomeUnknown,
    // A worker's response was truncated, malformed or meant for another request.
    InvalidResponse,
    // The sender's epoch is lower than one already received.
    StaleEpoch,
    VersionConflict,
    NotFound,
    InvalidConfiguration,
    Forbidden,
    TooLarge,
    Malformed,
};

const std::error_category &errorCategory();
std::error_code make_error_code(errc code); // NOLINT(readability-identifier-naming)

// An error in a file, with its location. All findings of a file are reported together.
struct finding
{
    std::string file;
    // 1-based; 0 when the finding applies to the whole file.
    int line = 0;
    // JSON pointer into the document, for example /services/0/slots_per_worker.
    std::string path;
    std::string message;

    bool operator==(const finding &) const = default;
};

using findings = std::vector<finding>;

} // namespace plantaingap

template<>
struct std::is_error_code_enum<plantaingap::errc> : std::true_type
{ };

#endif
