#ifndef PLANTAINGAP_JOBS_JOB_SCHEDULER_H
#define PLANTAINGAP_JOBS_JOB_SCHEDULER_H

#include "jobs/advisor_call_router.h"
#include "jobs/duration_estimator.h"
#include "jobs/fleet.h"
#include "jobs/job_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

// The decisions of the cell's leader about jobs of steps: which jobs are accepted, which task runs
// where and when, and what must be stored before it may be acted on. No I/O, no clock, no thread:
// events come in with the time, orders and changes are taken out.
namespace plantaingap::jobs {

struct scheduler_options
{
    // How far beyond now a worker's lease is renewed. Longer: a lost worker's tasks wait longer.
    // Shorter: a change of leader must be over sooner, or running work is lost.
    milliseconds lease {5000};
    // From the moment a leader took over until every lease that earlier leaders gave has ended:
    // how long an earlier leader believes in itself, plus its leases, plus slow clocks.
    milliseconds previousLeaderLease {8000};
    // An order to stop that had no answer is sent again after this.
    milliseconds stopRetryInterval {300};
    // A call to the advisor that failed is made again after this.
    milliseconds adviceRetryInterval {150};
    // Taken off a ticket's validity: the answer's way back and the order's way to the worker.
    milliseconds ticketMargin {200};
    // A run that makes no progress for this long, or for half of its estimate, hangs.
    milliseconds stallTimeout {1500};
    // How long finished jobs are remembered for callers who ask.
    std::chrono::seconds endedJobRetention {240};
    // Data far away or a gang on several racks: work takes this many times as long.
    double crossRackFactor = 2.0;
};

// What a caller who hands a job in is told.
enum class submit_status : std::uint8_t {
    // It will be accepted once the store has it.
    AwaitingStore,
    // It is accepted already, now or long ago.
    Known,
    // Not accepted, and never run.
    Refused,
};

struct submit_result
{
    submit_status status = submit_status::Refused;
    // Seconds after which a refused caller should return.
    std::uint32_t retryAfterSeconds = 0;
};

// Something that becomes true when a change is stored.
struct stored_effect
{
    // Set for an order to start that may be sent now.
    task_run *start = nullptr;
    std::uint32_t attempt = 0;
    // Set for an end that the worker may forget.
    std::string worker;
    std::int64_t incarnationMs = 0;
    std::uint64_t endNumber = 0;
};

// What must be stored about one job, whole or not at all.
struct job_change
{
    std::string id;
    // Written when the job is new.
    std::optional<std::string> definition;
    std::optional<std::string> progress;
    // Set when the job has ended; its other rows go.
    std::optional<job_state> finished;
    std::vector<stored_effect> effects;
};

struct advice_request
{
    std::string step;
    std::string queue;
    std::vector<std::string> workers;
    // How long the advisor will take for it.
    std::chrono::microseconds length {0};
    // The instance that makes the call, empty for the leader's own; and when the advisor will have
    // served it.
    std::string instance;
    time_point servedAt {};
};

// A decision or a change of belief that someone may ask about later.
struct scheduler_event
{
    // Such as "run.stopped".
    std::string_view event;
    std::string task;
    std::uint32_t attempt = 0;
    std::string worker;
    std::string_view reason;
};

// Orders that are to be sent now.
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
    OtherIncarnation
};

// Figures for metrics and admission.
struct scheduler_load
{
    std::size_t jobs = 0;
    std::size_t waitingTasks = 0;
    std::size_t occupyingTasks = 0;
    // Ready steps that wait: for an answer of the advisor, to be asked about, and for room.
    std::size_t stepsAwaitingAdvice = 0;
    std::size_t stepsNeedingAdvice = 0;
    std::size_t stepsAwaitingCapacity = 0;
    resources used;
    // Free room that is kept for gangs.
    std::int64_t reservedMilliCores = 0;
    resources capacity;
};

class job_scheduler
{
public:
    explicit job_scheduler(scheduler_options options);

    // Begins a term. Jobs are restored after this and before any worker reports.
    void lead(std::uint64_t term, time_point now);
    void configure(cell_configuration configuration);
    const cell_configuration &configuration() const { return m_configuration; }
    void restore(const recorded_job &job, const std::optional<recorded_progress> &progress,
                 time_point now, wall_time wallNow);

    // Callers.
    submit_result submit(job_definition definition, time_point now, wall_time wallNow);
    // Takes back a job that was not given to the store yet; false when it may be stored.
    bool discardUnstored(const std::string &id);
    // The store says that the job has ended before; it was not accepted anew.
    void recordAlreadyEnded(const std::string &id, job_state state, time_point now);
    // A job ended in an earlier term.
    void recordEnded(const std::string &id, job_state state, time_point now);
    // The job was given to the store, which has not answered.
    bool storeWritePending(const std::string &id) const;
    // False when no such job lives.
    bool cancel(const std::string &id, time_point now);
    // The stored state; none when the job is not known here.
    std::optional<job_state> state(const std::string &id) const;
    // The job is known and waits for the store.
    bool awaitingStore(const std::string &id) const;
    std::size_t waitingJobs(std::string_view queue) const;

    // Workers.
    std::vector<std::string> listWorkers(const std::vector<worker_entry> &entries);
    fleet &workers() { return m_fleet; }
    // The next look at a worker; the lease that it carries counts as given from now on.
    lease_renewal renewLease(worker &worker, time_point now);
    void onReport(const std::string &id, const worker_report &report, time_point askedAt,
                  time_point now);
    void leaseRenewalFailed(const std::string &id, time_point now);
    void onStartReply(const start_order &order, start_result result,
                      std::optional<std::int64_t> workerClockMs, time_point now);
    void onStopReply(const stop_order &order, bool accepted, time_point now);
    void onAdvice(const advice_request &request, const std::map<std::string, std::string> &tickets,
                  milliseconds validity, time_point now);
    void adviceFailed(const advice_request &request, time_point now);
    // The instances that make calls for advice.
    advisor_call_router &advisorCallRouter() { return m_callRouter; }

    // Time passes: due occurrences, leases that ended, orders to send again, and placement.
    scheduler_orders plan(time_point now, wall_time wallNow);

    // Changes that wait to be stored and take at most so many entries; the next batch only after
    // this one.
    std::vector<job_change> takeChanges(std::size_t maxEntries);
    std::size_t waitingChanges() const { return m_dirty.size(); }
    // The batch is stored. Returns the orders to start that it allows.
    std::vector<start_order> onBatchStored(const std::vector<job_change> &batch, time_point now);
    bool hasChanges() const { return !m_dirty.empty(); }

    // What was decided since the last call.
    std::vector<scheduler_event> takeEvents() { return std::exchange(m_events, {}); }

    scheduler_load load(time_point now) const;
    // Why a job is not done: a line for each unfinished step that could run.
    std::vector<std::string> explain(const std::string &id, time_point now) const;
    // The jobs that wait longest past their objective, at most so many.
    std::vector<std::string> mostOverdue(std::size_t maxJobs, time_point now) const;
    const job_run *job(const std::string &id) const;

private:
    friend class dispatcher;

    // Jobs.
    occurrence_run &createOccurrence(job_run &job, std::uint32_t number, time_point due);
    void setObjectives(job_run &job, occurrence_run &occurrence);
    void createDueOccurrences(time_point now, wall_time wallNow);
    void releaseSteps(occurrence_run &occurrence);
    void restoreProgress(job_run &job, const recorded_progress &progress, time_point now,
                         wall_time wallNow);
    void restoreTask(task_run &task, const recorded_task &from);
    void markChanged(job_run &job);
    void finish(job_run &job, job_state state);
    void closeJob(const std::string &id, job_state state, time_point now);
    void removeClosedJobs();
    job_change makeChange(job_run &job);
    void dropUnstoredState(job_run &job);
    static void countWaiting(const step_run &step, time_point now, scheduler_load &load);
    job_run *findJob(const std::string &id);
    task_run *find(const task_name &name);

    // Tasks.
    void allocate(task_run &task, worker &worker);
    void release(task_run &task);
    void returnToWaiting(task_run &task);
    void completeTask(task_run &task);
    void countFailure(task_run &task, std::uint32_t attempt);
    void failTask(task_run &task, time_point now);
    void recordFailure(task_run &task, std::uint32_t attempt, time_point now);
    void extendObjective(task_run &task, time_point now);
    void observeDuration(const task_run &task, time_point now);
    void completeGang(step_run &step);
    void stopRun(task_run &task, time_point now);
    void stopStep(step_run &step, time_point now);
    void stopAll(job_run &job, time_point now);
    void completeStep(step_run &step);
    void processEnd(worker &worker, const ended_run &end, time_point now);
    void applyEnd(task_run &task, const ended_run &end, time_point now);
    void processActiveRun(worker &worker, const active_run &run, time_point now);
    void onWorkerRestarted(worker &worker, std::int64_t incarnationMs);
    void releaseMissingRuns(worker &worker, const worker_report &report, time_point askedAt,
                            time_point now);
    void releaseAllRuns(worker &worker, std::string_view reason);
    void expireLeases(time_point now);
    void retryStops(time_point now, scheduler_orders &orders);
    // A run there failed or did not.
    void updateHealth(worker &worker, const task_run &task, bool failed, time_point now);
    void checkProgress(worker &worker, time_point now);
    void observeSpeed(worker &worker, task_run &task, time_point now);
    bool shouldMove(const worker &worker, const task_run &task, time_point now) const;
    // Part of the workers asked about that the advisor allowed, over the queue's last calls.
    double allowedShare(const std::string &queue) const;
    void recordEvent(std::string_view event, const task_run &task, std::string_view reason);
    start_order makeStartOrder(const task_run &task, time_point now) const;
    const queue_definition &queueOf(const job_run &job) const;

    scheduler_options m_options;
    std::uint64_t m_term = 0;
    time_point m_previousLeaderLeaseEnd {};
    cell_configuration m_configuration;
    std::set<std::string> m_topPriorityQueues;
    fleet m_fleet;
    advisor_call_router m_callRouter;
    duration_estimator m_durations;
    std::map<std::string, std::unique_ptr<job_run>, std::less<>> m_jobs;
    // Finished jobs and when to forget them.
    struct ended_job
    {
        job_state state = job_state::Completed;
        time_point forgetAt {};
    };
    std::unordered_map<std::string, ended_job> m_endedJobs;
    // Jobs with changes that are not stored, in order.
    std::vector<std::string> m_dirty;
    std::map<std::string, std::vector<stored_effect>> m_effects;
    // Runs that workers report and nobody wants: an order to stop is due.
    std::vector<stop_order> m_strayRuns;
    std::vector<scheduler_event> m_events;
    std::map<std::string, double> m_allowedShares;
    declared_duration_errors m_durationErrors;
    decision::kind_failures m_failureRates;
    std::map<std::string, std::uint32_t> m_queueKinds;
    // Queues that left the configuration while jobs of theirs live on.
    mutable std::map<std::string, queue_definition> m_removedQueues;
};

} // namespace plantaingap::jobs

#endif
