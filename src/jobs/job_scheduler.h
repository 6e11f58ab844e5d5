#ifndef PLANTAINGAP_JOBS_JOB_SCHEDULER_H
#define PLANTAINGAP_JOBS_JOB_SCHEDULER_H

#include "jobs/advisor_call_router.h"
#include "jobs/duration_estimator.h"
#include "jobs/fleet.h"
#include "jobs/interference/interference_model.h"
#include "jobs/job_record.h"
#include "jobs/kind_figures.h"
#include "jobs/load/spare_room.h"
#include "jobs/size_figures.h"
#include "jobs/start_estimate.h"
#include "jobs/workspaces/arrival_meter.h"
#include "jobs/workspaces/limit_shares.h"
#include "jobs/workspaces/return_schedule.h"
#include "jobs/workspaces/workspace_accounts.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

// Scheduling decisions of the cell's leader for jobs: which jobs are accepted, which task runs
// where and when, and what must be stored before it takes effect. It does no I/O, reads no clock
// and uses no threads: events are passed in with the current time, and orders and changes are taken
// out.
namespace plantaingap::jobs {

struct scheduler_options
{
    // Lease duration of a worker. A longer lease delays the restart of a lost worker's tasks; a
    // shorter one leaves less time for a change of leader before running work is lost.
    milliseconds lease {5000};
    // Time after a takeover until all leases granted by previous leaders have expired; it bounds
    // the leases that this leader grants. See lease_bounds.h.
    milliseconds previousLeaderLease {defaultPreviousLeaderLease};
    // Longest time that a worker takes to stop a run, on the worker's clock.
    milliseconds maxStopTime {900};
    // Interval between retries of a stop order without a response.
    milliseconds stopRetryInterval {300};
    // Nothing is placed on a worker for this time after a start could not be sent there.
    milliseconds unsentStartPause {500};
    // Delay before a failed advisor call is retried.
    milliseconds adviceRetryInterval {150};
    // A run that its worker started at most this long before it was lost is suspected to have
    // crashed it.
    milliseconds freshRunAge {100};
    // New jobs of a queue are refused while more than this share of the workers is lost right after
    // they started tasks of the queue.
    double maxLostShare = 0.2;
    // A run that is reported this long after its start has not crashed its worker by starting.
    milliseconds probation {250};
    // How long a worker that was lost may take to start again and prove that it crashed.
    milliseconds unresolvedLossRetention {30'000};
    // Subtracted from the validity of a ticket for the latency of the advisor response and of the
    // start order.
    milliseconds ticketMargin {200};
    // A run without progress for this long, or for half of its expected duration if that is longer,
    // counts as hung.
    milliseconds stallTimeout {1500};
    // Interval at which states past endedJobRetention are removed.
    std::chrono::seconds endedJobSweepInterval {1};
    // How long the state of finished jobs is kept in memory for callers.
    std::chrono::seconds endedJobRetention {240};
    // Calls that may wait at the advisor behind others; leaders of several partitions share the
    // advisor's queue.
    std::uint32_t maxWaitingAdviceCalls = advisor_call_router::defaultWaitingCalls;
    // A gang that needs more than this share of the capacity that it is expected to be allowed is
    // refused. Above 1 only those are that could run in no state of the fleet.
    double maxGangShare = 1.2;
    // Slowdown of a task whose data is on another rack, or of a gang on several racks.
    double crossRackFactor = 2.0;
    // Partitions of the cell; each gets an equal part of the jobs of a workspace.
    std::uint32_t partitions = 1;
    // Learn which kinds of tasks slow each other down on a worker, and keep them apart where there
    // is room.
    bool keepInterferingApart = false;
};

// Result of a submission, as reported to the caller.
enum class submit_status : std::uint8_t {
    // Accepted as soon as it is stored.
    AwaitingStore,
    // Already accepted by an earlier submission, and maybe finished.
    AlreadyAccepted,
    // Refused; the job will never run.
    Refused,
};

struct submit_result
{
    submit_status status = submit_status::Refused;
    // When refused: seconds after which the caller should retry, and the reason for the log.
    std::uint32_t retryAfterSeconds = 0;
    std::string_view reason;
    // Further fields of the log line.
    std::vector<std::pair<std::string_view, std::string>> fields = {};
};

// An action that is allowed once a change is stored.
struct stored_effect
{
    // Set for a start order that may be sent.
    task_run *start = nullptr;
    std::uint32_t attempt = 0;
    // Set for a completion that the worker may drop.
    std::string worker;
    std::int64_t incarnationMs = 0;
    std::uint64_t endNumber = 0;
};

// Changes of one job that must be stored atomically.
struct job_change
{
    std::string id;
    // Set for a new job.
    std::optional<std::string> definition;
    std::optional<std::string> progress;
    // Set when the job has ended; its definition is deleted, and its progress if none is set.
    std::optional<job_state> finished;
    // All runs of an ended job are gone; its progress is deleted.
    bool remainingRunsGone = false;
    std::vector<stored_effect> effects;
};

struct advice_request
{
    std::string step;
    std::string queue;
    std::vector<std::string> workers;
    // Expected service time of the call at the advisor.
    std::chrono::microseconds serviceTime {0};
    // Instance that makes the call, empty for the leader itself, and the time at which the advisor
    // is expected to have served it.
    std::string instance;
    time_point servedAt {};
};

// A decision or state change, recorded for the log.
struct scheduler_event
{
    // Log event name, for example "run.stopped".
    std::string_view event;
    std::string task;
    std::uint32_t attempt = 0;
    std::string worker;
    std::string_view reason;
    // Further fields of the log line.
    std::vector<std::pair<std::string_view, std::string>> fields;
};

// Why a run ended without a report of its end.
enum class run_loss_cause : std::uint8_t {
    // Another incarnation of the worker responded, and the worker was not draining.
    WorkerCrashed,
    WorkerLeft,
    LeaseExpired,
    // The worker responds and does not know the run.
    NotReported,
};
inline constexpr std::size_t runLossCauses = 4;

// The name of a cause in logs and metrics.
std::string_view runLossName(run_loss_cause cause);

// Why a run that its worker reports has no resources counted for it there.
enum class unaccounted_cause : std::uint8_t {
    UnknownJob,
    EndedJob,
    // The task waits for another start, or is done.
    Released,
    OtherWorker,
    OtherAttempt,
    // The start has not been ordered yet.
    NotOrdered,
};
inline constexpr std::size_t unaccountedCauses = 6;

// The name of a cause in logs and metrics.
std::string_view unaccountedCauseName(unaccounted_cause cause);

// Differences between what workers reported and what was counted for them, since the start of the
// term.
struct accounting_counts
{
    // Reported runs that were not counted, once for each report.
    std::array<std::uint64_t, unaccountedCauses> unaccounted {};
    // Runs whose resources were released although their worker had started them and had not listed
    // their end.
    std::uint64_t releasedUnlisted = 0;
    // Starts ordered on workers whose last report had runs that were not counted.
    std::uint64_t startsBesideUnaccounted = 0;
};

// What placement passes have examined since the start of the term. The counts do not depend on the
// speed of the processor.
struct pass_counts
{
    std::uint64_t passes = 0;
    // Steps with waiting tasks whose turn had come, and those of them that were examined.
    std::uint64_t stepsReady = 0;
    std::uint64_t stepsExamined = 0;
    // Pairs of a step and a worker.
    std::uint64_t workersExamined = 0;
};

// Orders that must be sent now.
struct scheduler_orders
{
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<throttle_order> throttles;
    std::vector<advice_request> advice;
};

enum class start_result : std::uint8_t {
    Accepted,
    Refused,
    NoTicket,
    Ended,
    Unknown,
    OtherIncarnation,
    // No connection was free, or it broke before the order was sent.
    NotSent,
    // The connection broke before the response; the run may have started.
    ConnectionBroken
};

// How a lease renewal got no report.
enum class renewal_failure : std::uint8_t { ConnectionBroken, NoReply };

// The step that explains why a job is not done: one that waits goes before one at work, the longest
// past its objective before others.
struct explaining_step
{
    bool atWork = false;
    time_point onTimeUntil {};
    const step_run *step = nullptr;

    bool operator<(const explaining_step &other) const;
};

// Why a job is not done.
struct job_explanation
{
    std::string job;
    std::string why;
};

// Explanations of some jobs, and the number of jobs that are left out.
struct job_explanations
{
    std::vector<job_explanation> jobs;
    std::size_t leftOut = 0;
};

// Figures for metrics and the load log.
struct scheduler_load
{
    std::size_t jobs = 0;
    std::size_t waitingTasks = 0;
    std::size_t occupyingTasks = 0;
    // Ready steps with waiting tasks: with an advisor call pending, without a valid ticket, and
    // with a ticket but not enough capacity.
    std::size_t stepsAwaitingAdvice = 0;
    std::size_t stepsNeedingAdvice = 0;
    std::size_t stepsAwaitingCapacity = 0;
    // Waiting tasks that are suspected to crash workers, and workers on which such tasks are at
    // work or which they took down.
    std::size_t waitingSuspects = 0;
    std::size_t isolatingWorkers = 0;
    // Workers whose last report had runs that are not counted there.
    std::size_t unaccountedWorkers = 0;
    // Runs that may exist on workers and that no task of a live job is assigned to.
    std::size_t orphanRuns = 0;
    resources used;
    // Free cores that are reserved for gangs, in thousandths.
    std::int64_t reservedMilliCores = 0;
    resources capacity;
};

class job_scheduler
{
public:
    explicit job_scheduler(scheduler_options options);

    // Starts a term. Must be called before jobs are restored and before any worker reports.
    void startTerm(std::uint64_t term, time_point now);
    // The leader's claim or one of its writes, sent then, was committed: leases may be granted that
    // end within grantSpan() from then on. startTerm() counts as the first one.
    void commitSent(time_point sentAt);
    // No lease that is granted until the next commitSent() ends later.
    time_point leasesEndBy() const { return m_leasesEndBy; }
    void configure(cell_configuration configuration);
    const cell_configuration &configuration() const { return m_configuration; }
    void restore(const recorded_job &job, const std::optional<recorded_progress> &progress,
                 time_point now, wall_time wallNow);
    // Counts the runs of a job that ended in an earlier term while they were being stopped.
    void restoreRemainingRuns(const std::string &id, const std::vector<remaining_run> &runs);

    // Callers.
    submit_result submit(job_definition definition, time_point now, wall_time wallNow);
    // Removes a job that was not yet sent to the store. Returns false when it may be stored.
    bool discardUnstored(const std::string &id);
    // The store already has a final state for a job that was submitted again; the new submission is
    // dropped.
    void recordAlreadyEnded(const std::string &id, job_state state, time_point now);
    // Records a job that ended in an earlier term.
    void recordEnded(const std::string &id, job_state state, time_point now,
                     const std::string &workspace = {});
    // Name of the workspace of a job that is live or has ended lately; empty for none or when
    // unknown.
    std::string workspaceOf(const std::string &id) const;
    // The job was sent to the store, which has not responded.
    bool storeWritePending(const std::string &id) const;
    // Returns false when there is no such job.
    bool cancel(const std::string &id, time_point now);
    // The stored state; none for an unknown job.
    std::optional<job_state> state(const std::string &id) const;
    // The job has changes that are not stored yet.
    bool awaitingStore(const std::string &id) const;
    std::size_t waitingJobs(std::string_view queue) const;

    // Workers.
    std::vector<std::string> updateWorkerList(const std::vector<worker_entry> &entries);
    fleet &workers() { return m_fleet; }
    // Returns the next lease renewal for a worker; its lease counts as granted from now on.
    lease_renewal renewLease(worker &worker, time_point now);
    void onReport(const std::string &id, const worker_report &report, time_point askedAt,
                  time_point now);
    void leaseRenewalFailed(const std::string &id, renewal_failure failure, time_point now);
    void onStartReply(const start_order &order, start_result result,
                      std::optional<std::int64_t> workerClockMs, time_point now);
    void onStopReply(const stop_order &order, bool accepted, time_point now);
    void onAdvice(const advice_request &request, const std::map<std::string, std::string> &tickets,
                  milliseconds validity, time_point now);
    // Whether the advisor rejected the call, or it got no reply.
    enum class advice_failure : std::uint8_t { Rejected, NoReply };
    void adviceFailed(const advice_request &request, advice_failure failure, time_point now);
    // Router of advisor calls over instances.
    advisor_call_router &advisorCallRouter() { return m_callRouter; }

    // Advances to `now`: creates due occurrences, expires leases, retries stop orders, places tasks
    // and returns the orders to send.
    scheduler_orders plan(time_point now, wall_time wallNow);

    // Returns the next batch of changes to store with at most maxEntries table entries. The next
    // batch may be taken only after this one is stored.
    std::vector<job_change> takeChanges(std::size_t maxEntries);
    std::size_t waitingChanges() const { return m_dirty.size(); }
    // The batch is stored. Returns the start orders that it allows.
    std::vector<start_order> onBatchStored(const std::vector<job_change> &batch, time_point now);
    bool hasChanges() const { return !m_dirty.empty(); }

    // Returns and clears the events recorded since the last call.
    std::vector<scheduler_event> takeEvents() { return std::exchange(m_events, {}); }

    scheduler_load load(time_point now) const;
    // Counts since the start of the term.
    std::uint64_t workerCrashes() const { return m_workerCrashes; }
    const std::array<std::uint64_t, runLossCauses> &runLosses() const { return m_runLosses; }
    std::uint64_t tasksGivenUp() const { return m_tasksGivenUp; }
    const accounting_counts &accounting() const { return m_accounting; }
    const pass_counts &passes() const { return m_passes; }
    const admission_counts &admission() const { return m_admission; }
    // Explains why a job is not done: one line for each unfinished step whose dependencies are
    // done.
    std::vector<std::string> explain(const std::string &id, time_point now) const;
    // Explains jobs past their objective, at most maxJobs, each by one step: first the jobs with a
    // step that waits and has nothing running, of those the longest past its objective first.
    std::vector<job_explanation> explainOverdue(std::size_t maxJobs, time_point now) const;
    // Explains accepted jobs that are not done, in the same order, at most maxJobs. Left out are
    // also long-running jobs at work.
    job_explanations explainUnfinished(std::size_t maxJobs, time_point now) const;
    // Notes since when steps wait with nothing running; called about once a second. Returns lines
    // for jobs that wait beyond their objective, beyond three objectives, and then every few
    // seconds; at most maxLines, first the jobs whose last line is longest ago.
    job_explanations observeWaits(std::size_t maxLines, time_point now);
    // Counts since the start of the term, and gauges as of the last call of observeWaits().
    const figures_by_queue &figures() const { return m_figures; }
    const size_counter &sizes() const { return m_sizes; }
    workspace_accounts &accounts() { return m_accounts; }
    const workspace_accounts &accounts() const { return m_accounts; }
    // What the partition uses and wants of each workspace's limit.
    std::vector<limit_use> limitUses() const;
    // Sets what may be started of a workspace in a cell of several partitions; returns whether it
    // has changed.
    bool setCeiling(const std::string &workspace, const resources &ceiling);
    const interference_model &interference() const { return m_interference; }
    bool keepsInterferingApart() const { return m_options.keepInterferingApart; }
    job_size sizeOf(const job_definition &job) const { return jobs::sizeOf(job, m_fleet); }
    const job_run *job(const std::string &id) const;

private:
    friend class dispatcher;

    // Jobs.
    submit_result admit(job_definition definition, time_point now, wall_time wallNow);
    // Refuses a job for the limit or the share of its workspace; none if neither keeps it out.
    std::optional<submit_result> checkWorkspace(const job_definition &definition,
                                                workspace_account &account, arrival arrived,
                                                time_point now);
    // Jobs a second that the workspace may send to this partition.
    double shareOf(const workspace_account &account) const;
    // Seconds after which a refused job should return; those of a workspace are spread.
    std::uint32_t retryDelay(const workspace_account *account, arrival arrived,
                             std::chrono::seconds earliest, time_point now);
    // What jobs beyond the shares hold or wait for.
    resources heldBeyondShares(time_point now);
    // Whether there is room that work within the shares is not expected to need.
    bool hasSpareRoom(const job_definition &definition, time_point now);
    // Core-seconds of all steps that end, as they are expected to run.
    double coreSecondsOf(const job_definition &definition) const;
    void updateBacklog(workspace_account &account, time_point now) const;
    void addToBacklog(workspace_account &account, const job_run &job) const;
    std::optional<milliseconds> limitBacklog(const workspace_account &account,
                                             bool topPriority) const;
    void countDiscarded(const job_run &job);
    void countEnded(const job_run &job, job_state state, time_point now);
    occurrence_run &createOccurrence(job_run &job, std::uint32_t number, time_point due);
    void setObjectives(job_run &job, occurrence_run &occurrence);
    void createDueOccurrences(time_point now, wall_time wallNow);
    queue_outlooks outlooks() const;
    // A gang is being started for the first time, or again after a failed run.
    void recordGangStart(const task_run &member, time_point now);
    void releaseSteps(occurrence_run &occurrence);
    void restoreProgress(job_run &job, const recorded_progress &progress, time_point now,
                         wall_time wallNow);
    void restoreTask(task_run &task, const recorded_task &from);
    void markChanged(job_run &job);
    void finish(job_run &job, job_state state);
    void closeJob(const std::string &id, job_state state, time_point now);
    void removeClosedJobs();
    job_change makeChange(job_run &job);
    static std::size_t entriesOfChange(const job_run &job);
    void dropFinishedOccurrences(job_run &job);
    void dropUnstoredState(job_run &job);
    static void countWaiting(const step_run &step, time_point now, scheduler_load &load);
    job_run *findJob(const std::string &id);
    task_run *find(const task_name &name);

    // Tasks.
    void allocate(task_run &task, worker &worker);
    void release(task_run &task);
    // Releases a member of a completed gang whose worker has shown that it has ended.
    void releaseDone(task_run &task);
    void isolate(task_run &task);
    static void endIsolation(task_run &task);
    void returnToWaiting(task_run &task);
    void completeTask(task_run &task);
    void countFailure(task_run &task, std::uint32_t attempt);
    static void dropUncountedFailures(step_run &step, task_run &task);
    void failTask(task_run &task, time_point now);
    void recordFailure(task_run &task, std::uint32_t attempt, time_point now);
    void extendObjective(task_run &task, time_point now);
    void observeDuration(const task_run &task, time_point now);
    void completeGang(step_run &step, std::uint32_t attempt, time_point now);
    bool suitsEntry(const task_run &task, const worker &worker) const;
    void withdrawUnfitStarts(const std::vector<job_change> &batch, time_point now);
    void stopRun(task_run &task, time_point now);
    void stopStep(step_run &step, time_point now);
    void stopAll(job_run &job, time_point now);
    void completeStep(step_run &step);
    void processEnd(worker &worker, const ended_run &end, time_point now);
    void applyEnd(task_run &task, const ended_run &end, time_point now);
    // Returns why the run is not counted on the worker, none if it is.
    std::optional<unaccounted_cause> processActiveRun(worker &worker, const active_run &run,
                                                      time_point now);
    std::optional<unaccounted_cause> unaccountedCause(const worker &worker, const task_run *task,
                                                      const active_run &run) const;
    struct unaccounted_run
    {
        const active_run *run = nullptr;
        unaccounted_cause cause = unaccounted_cause::UnknownJob;
    };
    void orderStop(const worker &worker, const active_run &run);
    // A stop that was carried out before `stoppedBy` had ended when the report was requested.
    bool stopHasEnded(time_point stoppedBy, time_point askedAt) const;
    void updateOrphans(worker &worker, const worker_report &report,
                       const std::vector<unaccounted_run> &unaccounted, time_point askedAt,
                       time_point now);
    void addOrphan(worker &worker, orphan_run orphan);
    void removeOrphan(worker &worker, const orphan_run &orphan);
    void removeOrphans(worker &worker);
    static bool isCountedOrphan(const worker &worker, const active_run &run);
    // A task is assigned to the worker with the attempt of the orphan, which it accounts for.
    bool isAssigned(const worker &worker, const orphan_run &orphan);
    void recordOrphanRelease(const worker &worker, const orphan_run &orphan);
    void recordUnaccounted(const worker &worker, const worker_report &report,
                           const std::vector<unaccounted_run> &runs, std::size_t before);
    void recordUnlistedRelease(const task_run &task, std::string_view reason);
    void recordStartAccounting(const task_run &task);
    void onWorkerRestarted(worker &worker, std::int64_t incarnationMs);
    void recordRestart(const worker &worker, const worker_report &report, time_point now);
    void recordOtherClock(const start_order &order, const worker &worker,
                          std::int64_t workerClockMs, time_point now);
    void recordLeasesEnded(const worker &worker, time_point now);
    void loseRun(task_run &task, run_loss_cause cause, time_point now);
    void loseRunsOfReplacedWorker(worker &worker, time_point now);
    crash_evidence crashEvidence(const worker &worker, const task_run &task,
                                 std::int64_t freshRuns) const;
    bool isFresh(const worker &worker, const task_run &task) const;
    void countLostByQueue();
    bool takesDownFleet(std::string_view queue) const;
    void loseLeasedRuns(worker &worker, time_point now);
    void recordCrash(worker &worker, std::int64_t newIncarnationMs, time_point now);
    void countCrash(const worker::lost_run &lost, const worker &worker, time_point now);
    void endProbation(task_run &task, time_point now);
    static bool mayStillStart(const worker &worker, task_run &task, const worker_report &report);
    void releaseMissingRuns(worker &worker, const worker_report &report, time_point askedAt,
                            bool restarted, time_point now);
    void releaseMissingRun(task_run &task, run_loss_cause cause, time_point now);
    // Stops the members of a gang that no report has missed.
    void stopPresentMembers(step_run &step, time_point now);
    void expireLeases(time_point now);
    void retryStops(time_point now, scheduler_orders &orders);
    // Tasks of one kind behave alike: those with the same image, else those of a step.
    static std::string kindOf(const step_run &step);
    enum class run_verdict : std::uint8_t { Sound, Failed, NotStarted };
    // Updates the health of a worker after a failed or successful run, or a start that failed.
    std::size_t othersOfKind(const worker &worker, const task_run &task) const;
    void updateHealth(worker &worker, const task_run &task, run_verdict verdict, time_point now);
    void checkProgress(worker &worker, time_point now);
    void observeLongRunning(worker &worker, task_run &task, time_point now);
    void observeSpeed(worker &worker, task_run &task, time_point now);
    bool shouldMove(const worker &worker, const task_run &task, time_point now) const;
    // Kind of the tasks of a step with regard to interference: their image, else their queue.
    static std::string_view interferenceKindOf(const step_run &step);
    // The progress or tail of the run may be compared with that of others of its kind.
    bool tellsInterference(const task_run &task, time_point now) const;
    void observeInterference(worker &worker, time_point now);
    void observeRun(task_run &task, std::uint32_t kind, kind_set beside, time_point now);
    void reviewInterference(time_point now);
    // Average share of requested workers that the advisor allowed in recent calls for the queue.
    double allowedShare(const std::string &queue) const;
    // Share of all workers that a gang of the queue may need to be accepted; 1 until enough calls
    // are observed.
    double admittedGangShare(const queue_definition &queue) const;
    void recordEvent(std::string_view event, const task_run &task, std::string_view reason);
    static task_name nameOf(const task_run &task);
    // End of a lease that is granted now, on the worker's clock. It may have passed already.
    std::int64_t leaseEnd(const worker &worker, time_point now) const;
    start_order makeStartOrder(const task_run &task, time_point now) const;
    const queue_definition &queueOf(const job_run &job) const;
    std::shared_ptr<const queue_record> shareQueueRecord(queue_record record);
    // The queue has been removed: stores its last definition with its jobs that have another one.
    void recordRemovedQueue(const queue_definition &queue, std::uint64_t version);
    std::string explainStep(const step_run &step, time_point now) const;
    // Explains the first of them, after sorting as many as are explained.
    std::vector<job_explanation> explainFirst(std::vector<explaining_step> steps,
                                              std::size_t maxJobs, time_point now) const;
    // Notes why a run of the step has ended, or was not started, while the task still has its
    // worker. Of a gang the first end of a run counts.
    void recordRunEnd(const task_run &task, run_end_cause cause, time_point now);
    kind_figures &figuresOf(const step_run &step);
    void observeStep(step_run &step, time_point now);
    void countAdviceCall(const advice_request &request);
    void countTicketUse(const task_run &task);
    void dropTicket(step_run &step, const std::string &worker);
    // Counts the tickets of a step that expire by then and have not been used.
    void countUnusedTickets(step_run &step, time_point expiresBy);
    void countUnusedTickets(occurrence_run &occurrence);
    void dropReservations(const occurrence_run &occurrence);

    scheduler_options m_options;
    std::uint64_t m_term = 0;
    time_point m_previousLeaderLeaseEnd {};
    time_point m_leasesEndBy {};
    cell_configuration m_configuration;
    // Before the jobs and the fleet, which refer to accounts.
    workspace_accounts m_accounts;
    arrival_meter m_arrivals;
    return_schedule m_returns;
    spare_room m_spareRoom;
    // As of that time.
    resources m_beyondShares;
    time_point m_beyondSharesAt {};
    interference_model m_interference;
    time_point m_interferenceReviewAt {};
    // Lines about it in the current minute, until when that lasts, and changes without a line.
    std::size_t m_interferenceLogged = 0;
    time_point m_interferenceLogUntil {};
    std::size_t m_interferenceLeftOut = 0;
    fleet m_fleet;
    // Share of the fleet's cores in use as of the last placement pass. Summing it up for each
    // report would take time that grows with the square of the fleet.
    double m_fleetLoad = 0;
    // When ended jobs past their retention are next removed.
    time_point m_forgetEndedJobsAt {};
    advisor_call_router m_callRouter;
    duration_estimator m_durations;
    gang_history m_gangHistory;
    std::map<std::string, std::unique_ptr<job_run>, std::less<>> m_jobs;
    // Final states of finished jobs, and when to drop them.
    struct ended_job
    {
        job_state state = job_state::Completed;
        time_point forgetAt {};
        std::string workspace;
    };
    std::unordered_map<std::string, ended_job> m_endedJobs;
    // Ids of jobs with changes that are not stored, in order of the first change.
    std::vector<std::string> m_dirty;
    std::map<std::string, std::vector<stored_effect>> m_effects;
    // Ended jobs by the number of their runs that a previous leader left to be stopped.
    std::map<std::string, std::size_t, std::less<>> m_remainingRuns;
    // Ended jobs whose runs are gone and whose row can be deleted.
    std::vector<std::string> m_withoutRemainingRuns;
    // Stop orders for reported runs that match no assignment, or whose gang is done.
    std::vector<stop_order> m_stopsOfReported;
    // Workers that were lost right after they started tasks of the queue and of no other, as of the
    // last placement pass.
    std::map<std::string, std::size_t, std::less<>> m_lostByQueue;
    std::vector<scheduler_event> m_events;
    time_point m_waitsObservedAt {};
    figures_by_queue m_figures;
    size_counter m_sizes;
    std::uint64_t m_workerCrashes = 0;
    std::uint64_t m_tasksGivenUp = 0;
    accounting_counts m_accounting;
    pass_counts m_passes;
    admission_counts m_admission;
    waiting_work_index m_waitingWork;
    std::array<std::uint64_t, runLossCauses> m_runLosses {};
    struct observed_share
    {
        double smoothed = 0;
        // Workers that were asked about.
        std::int64_t asked = 0;
    };
    std::map<std::string, observed_share> m_allowedShares;
    declared_duration_errors m_durationErrors;
    decision::kind_failures m_failureRates;
    decision::failing_kinds m_failingKinds;
    std::map<std::string, std::uint32_t> m_queueKinds;
    // Queues of jobs that the configuration does not declare, as the last one did that this leader
    // or the row of a job knows; their jobs still use them.
    mutable std::map<std::string, queue_record> m_removedQueues;
    // By name; jobs whose rows have the same record share it.
    std::map<std::string, std::shared_ptr<const queue_record>> m_queueRecords;
};

} // namespace plantaingap::jobs

#endif
