#ifndef PLANTAINGAP_RESULT_H
#define PLANTAINGAP_RESULT_H

#include <boost/system/result.hpp>
#include <string>
#include <system_error>
#include <vector>

namespace plantaingap {

// A value or the reason why there is none; tested before use, never thrown.
template<class T>
using result = boost::system::result<T, std::error_code>;

// What can go wrong inside the system, as told to callers and operators.
// The texts are in errorCategory(); docs/OPERATING.md says what to do about each.
enum class errc {
    Ok = 0,
    // The request or order was not run, for certain.
    Overloaded,
    DeadlinePassed,
    NoSuchService,
    NoWorker,
    NotReady,
    Stopping,
    StoreAway,
    // The request key was seen before; the first request runs or has run.
    DuplicateKey,
    // It cannot be known whether the request was run.
    OutcomeUnknown,
    // A worker's answer was truncated, malformed or meant for another request.
    BadAnswer,
    // The sender's epoch is lower than one already seen.
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

// One thing found wrong in a file, with its place. Findings are collected, then told together.
struct finding
{
    std::string file;
    // Counted from 1; 0 when the finding concerns the whole file.
    int line = 0;
    // Where in the document, as a JSON pointer, for example /services/0/slots_per_worker.
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
