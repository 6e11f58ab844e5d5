#ifndef PLANTAINGAP_RUNTIME_JOB_ROW_H
#define PLANTAINGAP_RUNTIME_JOB_ROW_H

#include <optional>
#include <plantaingap/result.h>
#include <plantaingap/task_scheduler.h>
#include <plantaingap/time.h>
#include <string>
#include <string_view>
#include <vector>

namespace plantaingap::runtime {

// What a submitter declares of a job. Names are unique in the cell; submitting the same job under
// the same name again changes nothing.
struct job_spec
{
    std::string name;
    std::string team;
    decision::job_kind kind = decision::job_kind::Batch;
    decision::job_urgency urgent = decision::job_urgency::Normal;
    std::uint32_t tasks = 1;
    resources each;
    // What a worker is told to run.
    std::string command;
    // Run times are learned per kind of task; the name when empty.
    std::string taskKind;
    bool checkpointable = false;
    // Zero when unknown.
    duration runTime {};
    // Given up when not started by then; as wall time, since it outlives processes.
    std::optional<wall_time> startBy;
    decision::spread_rule spread = decision::spread_rule::Anywhere;
    // Declared in the configuration: cancelled when it is declared no longer.
    bool declared = false;

    bool operator==(const job_spec &) const = default;
};

enum class job_state : std::uint8_t { Accepted, Succeeded, Failed, Cancelled, TooLate, Rejected };

// The row job/GROUP/NAME of the table: the declaration and what is durably known of its progress.
struct job_row
{
    job_spec spec;
    job_state state = job_state::Accepted;
    // Set before a cancellation is answered, so that a new owner goes on with it.
    bool cancelRequested = false;
    // Tasks that ended well; grows only.
    std::vector<std::uint32_t> finished;

    bool operator==(const job_row &) const = default;
};

std::string jobRowText(const job_row &row);

// Malformed when the text is no such row.
result<job_row> jobRowFrom(std::string_view text);

// The scheduler's form of the job, at this moment of both clocks.
decision::job_submitted jobSubmitted(const job_row &row, time_point now, wall_time wallNow);

job_id jobIdOf(std::string_view name);

std::string_view stateName(job_state state);

} // namespace plantaingap::runtime

#endif
