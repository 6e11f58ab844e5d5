#include "jobs/job_scheduler.h"

#include "jobs/admission.h"
#include "jobs/dispatcher.h"
#include "jobs/task_capacity.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace plantaingap::jobs {

namespace {

// Assumed share of workers that an advisor allows, until calls are observed.
constexpr double initialAllowedShare = 0.4;
// Weight of the newest call in the average; about 20 calls count.
constexpr double allowedShareSmoothing = 0.05;

// Workers asked about before gangs are refused by the observed share; about 20 calls for gangs.
constexpr std::int64_t minWorkersObserved = 1000;

// Workers that crashed are back within seconds.
constexpr std::uint32_t lostWorkersRetrySeconds = 3;

std::vector<std::pair<std::string_view, std::string>>
estimateFields(const admission_decision &decision)
{
    const auto &estimate = decision.estimate;
    if (estimate.starts.empty())
        return {};
    return {{"start_in_ms", std::to_string(estimate.starts.front().count())},
            {"end_in_ms", std::to_string(estimate.end.count())},
            {"latest_end_in_ms", std::to_string(decision.latestEnd.count())},
            {"gangs_ahead", std::to_string(estimate.gangsAhead)},
            {"gang_backlog_ms", std::to_string(estimate.gangBacklog.count())},
            {"task_backlog_ms", std::to_string(estimate.taskBacklog.count())}};
}

time_point steadyTime(wall_time wallTime, time_point now, wall_time wallNow)
{
    return now + (wallTime - wallNow);
}

} // namespace

job_scheduler::job_scheduler(scheduler_options options)
    : m_options(options)
    , m_callRouter(options.maxWaitingAdviceCalls)
{ }

void job_scheduler::startTerm(std::uint64_t term, time_point now)
{
    m_term = term;
    m_previousLeaderLeaseEnd = now + m_options.previousLeaderLease;
    m_waitsObservedAt = now;
    commitSent(now);
}

void job_scheduler::commitSent(time_point sentAt)
{
    m_leasesEndBy = sentAt + grantSpan(m_options.previousLeaderLease);
}

void job_scheduler::configure(cell_configuration configuration)
{
    for (const auto &queue : m_configuration.queues) {
        if (!configuration.byName(queue.name))
            recordRemovedQueue(queue, m_configuration.version);
    }
    m_configuration = std::move(configuration);
    m_accounts.configure(m_configuration.workspaces, m_options.partitions);
    m_waitingWork.invalidate();
}

std::shared_ptr<const queue_record> job_scheduler::shareQueueRecord(queue_record record)
{
    record.queue.host.clear();
    record.queue.prefix.clear();
    record.queue.open = false;
    auto &shared = m_queueRecords[record.queue.name];
    // The version alone is no reason to write rows again.
    if (!shared || shared->queue != record.queue)
        shared = std::make_shared<const queue_record>(std::move(record));
    return shared;
}

void job_scheduler::recordRemovedQueue(const queue_definition &queue, std::uint64_t version)
{
    const bool used = std::ranges::any_of(m_jobs, [&queue](const auto &entry) {
        return entry.second->definition.queue == queue.name;
    });
    if (!used)
        return;
    const auto record = shareQueueRecord({version, queue});
    m_removedQueues[queue.name] = *record;
    for (auto &[id, job] : m_jobs) {
        if (job->definition.queue != queue.name || job->state > job_state::Running
            || (job->queueRecord && job->queueRecord->queue == record->queue))
            continue;
        job->queueRecord = record;
        job->queueRecordOutdated = job->definitionSent;
        markChanged(*job);
    }
}

const queue_definition &job_scheduler::queueOf(const job_run &job) const
{
    if (const auto *queue = m_configuration.byName(job.definition.queue))
        return *queue;
    // A job may outlive its queue. An unknown queue gets default rules, no worker serves it, and it
    // fails no job.
    auto &removed = m_removedQueues[job.definition.queue].queue;
    if (removed.name.empty()) {
        removed.name = job.definition.queue;
        removed.attempts = std::numeric_limits<std::uint32_t>::max();
    }
    return removed;
}

// Jobs.

occurrence_run &job_scheduler::createOccurrence(job_run &job, std::uint32_t number, time_point due)
{
    auto &occurrence = job.occurrences[number];
    occurrence.job = &job;
    occurrence.number = number;
    occurrence.due = due;
    std::uint32_t stepNumber = 0;
    for (const auto &definition : job.definition.steps) {
        auto &step = occurrence.steps.emplace_back();
        step.occurrence = &occurrence;
        step.definition = &definition;
        step.number = stepNumber++;
        step.tasks.resize(definition.tasks);
        step.waiting = definition.tasks;
        for (std::uint32_t i = 0; i < definition.tasks; ++i) {
            step.tasks[i].step = &step;
            step.tasks[i].index = i;
        }
    }
    setObjectives(job, occurrence);
    job.occurrencesCreated = std::max(job.occurrencesCreated, number + 1);
    releaseSteps(occurrence);
    return occurrence;
}

// Computes the remaining chain of each step from the expected durations, and the objectives that
// result.
void job_scheduler::setObjectives(job_run &job, occurrence_run &occurrence)
{
    const auto &queue = queueOf(job);
    const auto advice = adviceInObjective(queue);
    milliseconds longestChain {0};
    for (std::size_t i = occurrence.steps.size(); i-- > 0;) {
        auto &step = occurrence.steps[i];
        milliseconds behind {0};
        for (const auto &later : occurrence.steps) {
            if (std::ranges::count(later.definition->after, step.number) > 0)
                behind = std::max(behind, later.remainingChain);
        }
        step.expectedDuration = m_durations.estimate(queue.name, step.definition->estimate);
        step.remainingChain = step.expectedDuration + advice + behind;
        longestChain = std::max(longestChain, step.remainingChain);
    }
    const auto objective = std::chrono::duration_cast<duration>(longestChain * queue.stretch)
                           + std::chrono::duration_cast<duration>(queue.slack);
    for (auto &step : occurrence.steps) {
        step.onTimeUntil = occurrence.due + objective;
        step.lateUntil = occurrence.due + objective * lateSpanFactor;
    }
}

void job_scheduler::releaseSteps(occurrence_run &occurrence)
{
    for (auto &step : occurrence.steps) {
        step.ready = std::ranges::all_of(step.definition->after, [&](std::uint32_t earlier) {
            return earlier < occurrence.steps.size() && occurrence.steps[earlier].finished();
        });
    }
}

void job_scheduler::createDueOccurrences(time_point now, wall_time wallNow)
{
    for (auto &[id, job] : m_jobs) {
        if (job->definition.occurrences == 0 || job->state > job_state::Running)
            continue;
        std::size_t tasks = 0;
        for (const auto &step : job->definition.steps)
            tasks += step.tasks;
        // Further occurrences wait until earlier ones are done.
        while (job->occurrencesCreated < job->definition.occurrences
               && (job->occurrences.size() + 1) * tasks <= maxJobTasks) {
            const auto due =
                job->definition.firstDue + job->definition.interval * job->occurrencesCreated;
            if (due > wallNow)
                break;
            createOccurrence(*job, job->occurrencesCreated, steadyTime(due, now, wallNow));
        }
    }
}

void job_scheduler::restore(const recorded_job &recorded,
                            const std::optional<recorded_progress> &progress, time_point now,
                            wall_time wallNow)
{
    auto restored = std::make_unique<job_run>();
    auto &job = *restored;
    job.definition = recorded.definition;
    job.acceptedAt = recorded.acceptedAt;
    job.beyondShare = recorded.beyondShare;
    if (!job.definition.workspace.empty())
        job.account = &m_accounts.require(job.definition.workspace);
    job.stored = true;
    job.definitionSent = true;
    if (recorded.queueRecord) {
        job.queueRecord = shareQueueRecord(*recorded.queueRecord);
        auto &removed = m_removedQueues[job.definition.queue];
        if (removed.version <= recorded.queueRecord->version)
            removed = *recorded.queueRecord;
    }
    m_jobs[job.definition.id] = std::move(restored);
    if (progress)
        restoreProgress(job, *progress, now, wallNow);
    else if (job.definition.occurrences == 0)
        createOccurrence(job, 0, steadyTime(job.acceptedAt, now, wallNow));
    job.state = job.everStarted ? job_state::Running : job_state::Queued;
    job.storedState = job.state;
    m_waitingWork.invalidate();
}

void job_scheduler::restoreProgress(job_run &job, const recorded_progress &progress, time_point now,
                                    wall_time wallNow)
{
    job.occurrencesDone = progress.occurrencesDone;
    job.everStarted = progress.everStarted;
    for (const auto &[number, steps] : progress.live) {
        const bool singleRun = job.definition.occurrences == 0;
        const auto due =
            singleRun ? job.acceptedAt : job.definition.firstDue + job.definition.interval * number;
        auto &occurrence = createOccurrence(job, number, steadyTime(due, now, wallNow));
        for (std::size_t s = 0; s < occurrence.steps.size() && s < steps.size(); ++s) {
            auto &step = occurrence.steps[s];
            step.failedAttempts = steps[s].failedAttempts;
            for (std::size_t t = 0; t < step.tasks.size() && t < steps[s].tasks.size(); ++t)
                restoreTask(step.tasks[t], steps[s].tasks[t]);
            if (step.finished())
                ++occurrence.stepsDone;
        }
        releaseSteps(occurrence);
    }
    job.occurrencesCreated = std::max(job.occurrencesCreated, progress.occurrencesCreated);
}

void job_scheduler::restoreTask(task_run &task, const recorded_task &from)
{
    task.attempt = from.attempt;
    task.failedAttempts = from.failedAttempts;
    task.checkpoint = from.checkpoint;
    if (task.step->definition->longRunning)
        dropUncountedFailures(*task.step, task);
    task.crashes = from.crashes;
    task.step->crashed = task.step->crashed || !from.crashes.records().empty();
    if (!from.worker.empty()) {
        auto &worker = m_fleet.require(from.worker, m_previousLeaderLeaseEnd);
        allocate(task, worker);
        task.phase = task_phase::Doubtful;
        task.recordedIncarnationMs = from.incarnationMs;
        if (from.crashes.aloneAttempt() == from.attempt)
            isolate(task);
        // A worker that has reported in this term rejects orders of previous leaders.
        task.acknowledgedAt = time_point {};
    } else if (from.done) {
        --task.step->waiting;
    }
    if (from.done) {
        task.phase = task_phase::Done;
        ++task.step->done;
    }
}

job_run *job_scheduler::findJob(const std::string &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

const job_run *job_scheduler::job(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

task_run *job_scheduler::find(const task_name &name)
{
    auto *job = findJob(name.job);
    if (!job)
        return nullptr;
    const auto occurrence = job->occurrences.find(name.occurrence);
    if (occurrence == job->occurrences.end() || name.step >= occurrence->second.steps.size())
        return nullptr;
    auto &step = occurrence->second.steps[name.step];
    return name.index < step.tasks.size() ? &step.tasks[name.index] : nullptr;
}

queue_outlooks job_scheduler::outlooks() const
{
    queue_outlooks found;
    const auto add = [&](const queue_definition &queue) {
        found[queue.name] = {queue.service, queue.priority == 0,
                             queue.advisor ? allowedShare(queue.name) : 1.0,
                             m_gangHistory.runsPerGang(queue.name)};
    };
    for (const auto &[name, record] : m_removedQueues)
        add(record.queue);
    for (const auto &queue : m_configuration.queues)
        add(queue);
    return found;
}

submit_result job_scheduler::admit(job_definition definition, time_point now, wall_time wallNow)
{
    if (const auto *existing = findJob(definition.id))
        return {existing->stored ? submit_status::AlreadyAccepted : submit_status::AwaitingStore,
                0,
                {}};
    if (m_endedJobs.contains(definition.id))
        return {submit_status::AlreadyAccepted, 0, {}};
    const auto *queue = m_configuration.byName(definition.queue);
    if (!queue)
        return {submit_status::Refused, 1, "its queue is not configured"};
    if (takesDownFleet(definition.queue))
        return {submit_status::Refused, lostWorkersRetrySeconds,
                "workers crash under tasks of its queue"};
    if (!gangsFit(definition, m_fleet, admittedGangShare(*queue)))
        return {submit_status::Refused, unsatisfiableRetrySeconds,
                "a gang is wider than the workers it is expected to be allowed"};
    auto *account =
        definition.workspace.empty() ? nullptr : &m_accounts.require(definition.workspace);
    arrival arrived;
    if (account)
        arrived = m_arrivals.classify(account->name, shareOf(*account), definition.id, now);
    // Jobs without a workspace, as those of open queues, count as within the shares.
    if (!m_accounts.empty() && !arrived.beyond && !arrived.repeated)
        m_spareRoom.submitted(coreSecondsOf(definition), now);
    if (account) {
        if (auto refused = checkWorkspace(definition, *account, arrived, now))
            return std::move(*refused);
    }
    ++m_admission.submissions;
    if (m_waitingWork.outdated(now))
        m_waitingWork.rebuild(m_jobs, m_fleet, outlooks(), now, m_admission);
    const auto decision = decideAdmission(definition, *queue,
                                          {m_waitingWork, m_fleet, m_durations, m_admission, now});
    if (decision.retryAfterSeconds) {
        return {
            submit_status::Refused,
            retryDelay(account, arrived, std::chrono::seconds(*decision.retryAfterSeconds), now),
            "cannot finish within its objective", estimateFields(decision)};
    }
    auto newJob = std::make_unique<job_run>();
    auto &job = *newJob;
    job.definition = std::move(definition);
    job.acceptedAt = wallNow;
    job.queueRecord = shareQueueRecord({m_configuration.version, *queue});
    job.account = account;
    job.beyondShare = arrived.beyond;
    m_jobs[job.definition.id] = std::move(newJob);
    if (job.definition.occurrences == 0) {
        auto &occurrence = createOccurrence(job, 0, now);
        for (auto &step : occurrence.steps) {
            if (step.definition->gang && step.number < decision.estimate.starts.size())
                step.predictedStart = now + decision.estimate.starts[step.number];
        }
    }
    m_waitingWork.add(job, decision.estimate.widthWithRoom, now);
    if (account && account->limited())
        addToBacklog(*account, job);
    if (job.beyondShare) {
        for (const auto &step : job.definition.steps)
            m_beyondShares += effectiveDemand(step) * static_cast<std::int64_t>(step.tasks);
    }
    markChanged(job);
    return {submit_status::AwaitingStore, 0, {}};
}

bool job_scheduler::discardUnstored(const std::string &id)
{
    auto *job = findJob(id);
    if (!job || job->definitionSent || job->stored)
        return false;
    countDiscarded(*job);
    dropUnstoredState(*job);
    for (auto &[number, occurrence] : job->occurrences) {
        countUnusedTickets(occurrence);
        dropReservations(occurrence);
    }
    m_jobs.erase(id);
    return true;
}

// Drops unstored changes of a job and releases the resources of its tasks.
void job_scheduler::dropUnstoredState(job_run &job)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps) {
            for (auto &task : step.tasks) {
                if (task.assignedWorker)
                    release(task);
            }
        }
    }
    m_effects.erase(job.definition.id);
    std::erase(m_dirty, job.definition.id);
    job.dirty = false;
}

void job_scheduler::recordAlreadyEnded(const std::string &id, job_state state, time_point now)
{
    auto *job = findJob(id);
    if (!job)
        return;
    job->state = state;
    dropUnstoredState(*job);
    closeJob(id, state, now);
}

void job_scheduler::recordEnded(const std::string &id, job_state state, time_point now,
                                const std::string &workspace)
{
    auto *jobRun = findJob(id);
    if (!jobRun) {
        m_endedJobs.try_emplace(id,
                                ended_job {state, now + m_options.endedJobRetention, workspace});
    } else if (!jobRun->stored) {
        // The job was submitted again before the row of its end was loaded.
        recordAlreadyEnded(id, state, now);
    } else if (jobRun->state <= job_state::Running) {
        // Stored as live beside its end, which no write of this version does.
        m_events.push_back({"job.live_after_end", id, 0, {}, "its end is stored already", {}});
        finish(*jobRun, state);
        stopAll(*jobRun, now);
    }
}

std::string job_scheduler::workspaceOf(const std::string &id) const
{
    if (const auto *jobRun = job(id))
        return jobRun->definition.workspace;
    const auto ended = m_endedJobs.find(id);
    return ended == m_endedJobs.end() ? std::string() : ended->second.workspace;
}

bool job_scheduler::storeWritePending(const std::string &id) const
{
    const auto *jobRun = job(id);
    return jobRun && jobRun->definitionSent && !jobRun->stored;
}

bool job_scheduler::cancel(const std::string &id, time_point now)
{
    auto *job = findJob(id);
    if (!job)
        return false;
    if (job->state <= job_state::Running) {
        finish(*job, job_state::Cancelled);
        stopAll(*job, now);
    }
    return true;
}

std::optional<job_state> job_scheduler::state(const std::string &id) const
{
    if (const auto ended = m_endedJobs.find(id); ended != m_endedJobs.end())
        return ended->second.state;
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second->stored)
        return std::nullopt;
    return found->second->storedState;
}

bool job_scheduler::awaitingStore(const std::string &id) const
{
    const auto *jobRun = job(id);
    return jobRun && (!jobRun->stored || jobRun->dirty);
}

std::size_t job_scheduler::waitingJobs(std::string_view queue) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs, [queue](const auto &entry) {
        const auto &job = *entry.second;
        return job.definition.queue == queue && job.stored && !job.everStarted
               && job.state == job_state::Queued;
    }));
}

void job_scheduler::markChanged(job_run &job)
{
    if (job.dirty || job.closed)
        return;
    job.dirty = true;
    m_dirty.push_back(job.definition.id);
}

void job_scheduler::finish(job_run &job, job_state state)
{
    job.state = state;
    markChanged(job);
}

void job_scheduler::closeJob(const std::string &id, job_state state, time_point now)
{
    m_endedJobs[id] = {state, now + m_options.endedJobRetention, workspaceOf(id)};
    if (auto *job = findJob(id)) {
        countEnded(*job, state, now);
        job->closed = true;
    }
}

// Before the occurrence is removed: a step created later may have the address of one of its steps.
void job_scheduler::dropReservations(const occurrence_run &occurrence)
{
    const auto isGang = [](const step_run &step) { return step.definition->gang; };
    if (std::ranges::none_of(occurrence.steps, isGang))
        return;
    for (auto &[id, worker] : m_fleet.all()) {
        if (worker->reservedFor && worker->reservedFor->occurrence == &occurrence)
            worker->reservedFor = nullptr;
    }
}

// A finished job is kept until none of its tasks can still be running.
void job_scheduler::removeClosedJobs()
{
    std::erase_if(m_jobs, [this](const auto &entry) {
        auto &job = *entry.second;
        if (!job.closed || job.occupying > 0 || job.dirty)
            return false;
        for (auto &[number, occurrence] : job.occurrences) {
            countUnusedTickets(occurrence);
            dropReservations(occurrence);
        }
        if (job.remainingRunsStored)
            m_withoutRemainingRuns.push_back(entry.first);
        return true;
    });
}

// Advice.

void job_scheduler::onAdvice(const advice_request &request,
                             const std::map<std::string, std::string> &tickets,
                             milliseconds validity, time_point now)
{
    m_callRouter.callFinished(request.instance, request.servedAt, now);
    const auto name = task_name::parse(request.step + ".0");
    auto *task = name ? find(*name) : nullptr;
    if (!task)
        return;
    auto &advice = task->step->advice;
    advice.callPending = false;
    task->step->examineAt = {};
    // Plan the gang now; otherwise individual tasks would take the capacity before its next review.
    task->step->gang.nextReviewAt = now;
    const auto expires = now + validity - m_options.ticketMargin;
    // Renewals tell nothing about the share: the workers that they name are allowed.
    struct advised_worker
    {
        worker_ref ref;
        const std::string *ticket = nullptr;
    };
    std::vector<advised_worker> advised;
    for (const auto &id : request.workers) {
        const auto *worker = m_fleet.find(id);
        const auto found = tickets.find(id);
        if (worker)
            advised.push_back({worker->ref, found == tickets.end() ? nullptr : &found->second});
    }
    const auto isNew = [&advice](const advised_worker &worker) {
        return !advice.allows(worker.ref);
    };
    const auto asked = std::ranges::count_if(advised, isNew);
    if (asked > 0) {
        const auto allowed = std::ranges::count_if(
            advised, [&](const advised_worker &worker) { return isNew(worker) && worker.ticket; });
        const auto share = static_cast<double>(allowed) / static_cast<double>(asked);
        auto &observed =
            m_allowedShares.try_emplace(request.queue, observed_share {initialAllowedShare, 0})
                .first->second;
        observed.smoothed += (share - observed.smoothed) * allowedShareSmoothing;
        observed.asked += asked;
    }
    auto &figures = figuresOf(*task->step);
    for (const auto &[ref, text] : advised) {
        if (!text) {
            advice.reject(ref);
            continue;
        }
        const auto *held = advice.ticketFor(ref);
        figures.ticketsUnused += held && held->awaitsUse() ? 1 : 0;
        ++figures.ticketsGranted;
        advice.allow(ref, {*text, expires});
        advice.nextExpiry = std::min(advice.nextExpiry, expires);
    }
}

double job_scheduler::allowedShare(const std::string &queue) const
{
    const auto found = m_allowedShares.find(queue);
    return std::max(found == m_allowedShares.end() ? initialAllowedShare : found->second.smoothed,
                    allowedShareSmoothing);
}

double job_scheduler::admittedGangShare(const queue_definition &queue) const
{
    const auto found = m_allowedShares.find(queue.name);
    if (!queue.advisor || found == m_allowedShares.end()
        || found->second.asked < minWorkersObserved)
        return 1;
    return allowedShare(queue.name) * m_options.maxGangShare;
}

void job_scheduler::adviceFailed(const advice_request &request, advice_failure failure,
                                 time_point now)
{
    m_callRouter.callFinished(request.instance, request.servedAt, now);
    if (failure == advice_failure::NoReply)
        m_callRouter.instanceUnresponsive(request.instance);
    const auto name = task_name::parse(request.step + ".0");
    auto *task = name ? find(*name) : nullptr;
    if (!task)
        return;
    task->step->advice.callPending = false;
    task->step->advice.retryAt = now + m_options.adviceRetryInterval;
    task->step->examineAt = {};
}

// Workers.

std::vector<std::string> job_scheduler::updateWorkerList(const std::vector<worker_entry> &entries)
{
    m_waitingWork.invalidate();
    return m_fleet.updateList(entries, m_previousLeaderLeaseEnd);
}

std::int64_t job_scheduler::leaseEnd(const worker &worker, time_point now) const
{
    return std::min(worker.estimatedClock(now) + m_options.lease.count(),
                    worker.certainlyPastAt(m_leasesEndBy));
}

lease_renewal job_scheduler::renewLease(worker &worker, time_point now)
{
    lease_renewal order;
    order.worker = {worker.entry.id, worker.entry.address};
    order.term = m_term;
    order.incarnationMs = worker.incarnationMs;
    order.lastStoredEnd = worker.lastStoredEnd;
    // The lease of an unresponsive worker is left to expire, because any order might have reached
    // it.
    if (worker.clockKnown && worker.responsive) {
        order.leaseEndMs = leaseEnd(worker, now);
        worker.leaseEndMs = std::max(worker.leaseEndMs, *order.leaseEndMs);
    }
    return order;
}

// Time.

scheduler_orders job_scheduler::plan(time_point now, wall_time wallNow)
{
    scheduler_orders orders;
    removeClosedJobs();
    createDueOccurrences(now, wallNow);
    expireLeases(now);
    countLostByQueue();
    reviewInterference(now);
    dispatcher(*this, now, orders).run();
    for (const auto &request : orders.advice)
        countAdviceCall(request);
    retryStops(now, orders);
    std::ranges::move(m_stopsOfReported, std::back_inserter(orders.stops));
    m_stopsOfReported.clear();
    if (now >= m_forgetEndedJobsAt) {
        m_forgetEndedJobsAt = now + m_options.endedJobSweepInterval;
        std::erase_if(m_endedJobs,
                      [now](const auto &entry) { return entry.second.forgetAt <= now; });
    }
    const auto capacity = m_fleet.capacity();
    m_fleetLoad = capacity.milliCores == 0 ? 1.0
                                           : static_cast<double>(m_fleet.used().milliCores)
                                                 / static_cast<double>(capacity.milliCores);
    return orders;
}

start_order job_scheduler::makeStartOrder(const task_run &task, time_point now) const
{
    const auto &step = *task.step;
    const auto &job = *step.occurrence->job;
    start_order order;
    order.worker = {task.assignedWorker->entry.id, task.assignedWorker->entry.address};
    order.task = nameOf(task).text();
    order.attempt = task.attempt;
    order.payload = job.definition.payload;
    order.incarnationMs = task.assignedWorker->incarnationMs;
    order.leaseEndMs = leaseEnd(*task.assignedWorker, now);
    order.term = m_term;
    order.ticket = task.ticket;
    order.checkpoint = task.checkpoint;
    return order;
}

} // namespace plantaingap::jobs
