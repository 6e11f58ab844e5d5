#ifndef PLANTAINGAP_JOBS_JOB_PROGRESS_H
#define PLANTAINGAP_JOBS_JOB_PROGRESS_H

#include "jobs/job.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// How far an accepted job has come, as the leader holds it in memory.
namespace plantaingap::jobs {

struct worker;
struct job_run;
struct step_run;

enum class task_phase : std::uint8_t {
    Waiting,
    // A worker was chosen; the choice is being stored and no order was sent.
    Recording,
    // The order to start was sent.
    Ordered,
    Running,
    // It may run: the order to start had no answer, or an earlier leader gave it.
    Doubtful,
    Stopping,
    Done,
};

struct task_run
{
    step_run *step = nullptr;
    std::uint32_t index = 0;
    task_phase phase = task_phase::Waiting;
    // The highest attempt that was ever recorded; 0 before the first.
    std::uint32_t attempt = 0;
    // Attempts whose failure was counted; a worker may tell an end again to the next leader.
    std::vector<std::uint32_t> failedAttempts;
    // Set in all phases but Waiting and Done.
    worker *assignedWorker = nullptr;
    // When the worker last acknowledged an order for this attempt; a report asked for after that
    // and without the run shows that it is gone. None: the worker acknowledged nothing yet.
    std::optional<time_point> acknowledgedAt;
    // When the next order to stop may be sent.
    time_point nextStopAt {};
    // Progress that another run can resume from; empty for none.
    std::string checkpoint;
    std::string ticket;
    // Work done in hundredths, as the worker reports it; of a lasting task its share of full speed.
    std::uint32_t percent = 0;
    // When the run began, as seen here; when it was last reported, and last got on.
    time_point startedAt {};
    // The run began from nothing under this leader, so that its end tells how long it took.
    bool fullRun = false;
    // What runs of the task took that failed.
    duration failedTime {0};
    // The first report of this run, and how far it was then: it may have resumed, or begun under
    // an earlier leader.
    time_point firstReportAt {};
    std::uint32_t firstPercent = 0;
    // The run has told of its worker's speed.
    bool speedObserved = false;
    time_point reportedAt {};
    time_point progressAt {};
    // What a lasting task's users see, in milliseconds; else thousandths of a core.
    double measure = 0;
};

// When a run will end: by its progress once it has made some, else by what its task is expected to
// take.
time_point expectedEnd(const task_run &task);

// A ticket of the placement advisor for one worker.
struct ticket
{
    std::string text;
    time_point expires {};
};

// An objective is missed for good at this many times its span.
inline constexpr int lateSpanFactor = 3;

// What the advisor has said about one step.
struct step_advice
{
    // Workers on which the step may run; the set does not change, tickets expire.
    std::map<std::string, ticket> allowed;
    std::vector<std::string> rejected;
    bool callPending = false;
    // Not before this, after a failed call.
    time_point retryAt {};
};

// What a gang that waits can hope for.
struct gang_plan
{
    // When the workers on which it may run will have room for all members; none: too few are known.
    std::optional<time_point> startAt;
    // Not planned anew, and no further workers are asked about, before these.
    time_point nextReviewAt {};
    time_point nextDiscoveryAt {};
    // The workers that have that room, and others that will have some soon after.
    std::vector<std::string> workers;
    std::vector<std::string> spareWorkers;
    // Others are kept off that room.
    bool reserved = false;
};

struct occurrence_run
{
    job_run *job = nullptr;
    std::uint32_t number = 0;
    // When the work was due; for jobs that run once, when they were accepted.
    time_point due {};
    std::deque<step_run> steps;
    std::uint32_t stepsDone = 0;
};

struct step_run
{
    occurrence_run *occurrence = nullptr;
    const step_definition *definition = nullptr;
    std::uint32_t number = 0;
    std::vector<task_run> tasks;
    std::uint32_t waiting = 0;
    std::uint32_t done = 0;
    // Attempts of the gang as a whole that failed.
    std::vector<std::uint32_t> failedAttempts;
    bool ready = false;
    // Workers on which runs of the step failed in this term; others are tried first.
    std::vector<std::string> failedOn;
    // What one task is expected to take, from its declaration and what its queue's took.
    milliseconds expectedDuration {0};
    // The longest that any one task lost in runs that failed; a gang's, all together.
    duration failedTime {0};
    step_advice advice;
    gang_plan gang;
    // The objective of the whole occurrence, and the date after which it is worth nothing.
    time_point onTimeUntil {};
    time_point lateUntil {};
    // Work on the longest chain from this step to the end, this step included.
    milliseconds remainingChain {0};

    bool finished() const { return done == tasks.size(); }
};

struct job_run
{
    job_definition definition;
    wall_time acceptedAt {};
    std::map<std::uint32_t, occurrence_run> occurrences;
    std::uint32_t occurrencesDone = 0;
    std::uint32_t occurrencesCreated = 0;
    job_state state = job_state::Queued;
    // The state that the store holds, and so the one that callers are told.
    job_state storedState = job_state::Queued;
    bool everStarted = false;
    // The definition was given to the store, which may have it.
    bool definitionSent = false;
    // The definition is in the store.
    bool stored = false;
    // Its row of results is in the store: the caller may be told the end.
    bool closed = false;
    bool dirty = false;
    // Runs that may occupy a worker.
    std::uint32_t occupying = 0;
};

} // namespace plantaingap::jobs

#endif
