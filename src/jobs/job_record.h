#ifndef PLANTAINGAP_JOBS_JOB_RECORD_H
#define PLANTAINGAP_JOBS_JOB_RECORD_H

#include "jobs/job_progress.h"

#include <plantaingap/result.h>
#include <string>
#include <string_view>

// JSON encoding of the table rows that hold jobs, from which a new leader restores them.
namespace plantaingap::jobs {

// State of a task in a row.
struct recorded_task
{
    bool done = false;
    std::uint32_t attempt = 0;
    std::vector<std::uint32_t> failedAttempts;
    // Worker on which the task may be running; empty for none.
    std::string worker;
    std::string checkpoint;
    crash_history crashes {};
    // The incarnation of `worker` when it was chosen; 0 when unknown.
    std::int64_t incarnationMs = 0;

    bool operator==(const recorded_task &) const = default;
};

struct recorded_step
{
    std::vector<std::uint32_t> failedAttempts;
    std::vector<recorded_task> tasks;

    bool operator==(const recorded_step &) const = default;
};

struct recorded_progress
{
    std::uint32_t occurrencesCreated = 0;
    std::uint32_t occurrencesDone = 0;
    bool everStarted = false;
    // By occurrence number; finished occurrences are omitted.
    std::map<std::uint32_t, std::vector<recorded_step>> live;

    bool operator==(const recorded_progress &) const = default;
};

struct recorded_job
{
    job_definition definition;
    wall_time acceptedAt {};
    // None in rows of earlier versions.
    std::optional<queue_record> queueRecord {};
    // It was sent beyond the weight of its workspace.
    bool beyondShare = false;

    bool operator==(const recorded_job &) const = default;
};

// A run of an ended job that may still exist on a worker.
struct remaining_run
{
    std::string task;
    std::uint32_t attempt = 0;
    std::string worker;
    // What it holds there.
    resources demand;
    // Name of its job's workspace; empty for none.
    std::string workspace = {};
    // What it counts against the limit of the workspace.
    resources charged = {};

    bool operator==(const remaining_run &) const = default;
};

// `queue` may be null.
std::string encodeJob(const job_definition &definition, wall_time acceptedAt,
                      const queue_record *queue, bool beyondShare = false);
result<recorded_job> decodeJob(std::string_view text);

std::string encodeProgress(const job_run &job);
result<recorded_progress> decodeProgress(std::string_view text);

// Replaces the progress of a job that ends before its runs do.
std::string encodeRemainingRuns(const job_run &job);
result<std::vector<remaining_run>> decodeRemainingRuns(std::string_view job, std::string_view text);

// The row of an ended job.
struct ended_record
{
    job_state state = job_state::Completed;
    // Name of its workspace; empty for none.
    std::string workspace;

    bool operator==(const ended_record &) const = default;
};

std::string encodeEnded(const ended_record &record);
// None for a malformed row.
std::optional<ended_record> parseEnded(std::string_view text);

// Name of a state in rows and for operators.
std::string_view stateName(job_state state);
std::optional<job_state> parseState(std::string_view text);

} // namespace plantaingap::jobs

#endif
