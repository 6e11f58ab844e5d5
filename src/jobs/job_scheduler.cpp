#include "jobs/job_scheduler.h"

#include "jobs/admission.h"
#include "jobs/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

// An objective is missed for good at this many times its span.
constexpr int lateFactor = 3;
// A chain of steps counts one call for advice on this many workers a step.
constexpr int advisedWorkers = 30;

// Taken for the part of workers that an advisor allows until its answers tell.
constexpr double usualGoodShare = 0.4;
// Weight of the newest answer; some twenty answers count.
constexpr double shareWeight = 0.05;

// Entries of a write that a job's end takes, and at most any other change of it.
constexpr std::size_t entriesOfEnd = 3;
constexpr std::size_t entriesOfChange = 3;

milliseconds adviceTime(const queue_definition &queue)
{
    if (!queue.advisor)
        return milliseconds(0);
    const auto whole = queue.advisor->decide + queue.advisor->perWorker * advisedWorkers;
    return std::chrono::duration_cast<milliseconds>(whole);
}

time_point steadyTime(wall_time at, time_point now, wall_time wallNow)
{
    return now + (at - wallNow);
}

} // namespace

job_scheduler::job_scheduler(scheduler_options options)
    : m_options(options)
{ }

void job_scheduler::lead(std::uint64_t term, time_point now)
{
    m_term = term;
    m_foreignLeaseEnd = now + m_options.foreignLease;
}

void job_scheduler::configure(cell_configuration configuration)
{
    for (const auto &queue : m_configuration.queues) {
        if (!configuration.byName(queue.name))
            m_formerQueues[queue.name] = queue;
    }
    m_configuration = std::move(configuration);
    for (const auto &queue : m_configuration.queues) {
        if (queue.priority == 0)
            m_quickQueues.insert(queue.name);
    }
}

const queue_definition &job_scheduler::queueOf(const job_run &job) const
{
    if (const auto *queue = m_configuration.byName(job.definition.queue))
        return *queue;
    // A job outlives its queue; without one it has the plainest rules, and no worker to run on.
    auto &former = m_formerQueues[job.definition.queue];
    if (former.name.empty())
        former.name = job.definition.queue;
    return former;
}

// Jobs.

occurrence_run &job_scheduler::makeOccurrence(job_run &job, std::uint32_t number, time_point due)
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
    setDates(job, occurrence);
    job.occurrencesMade = std::max(job.occurrencesMade, number + 1);
    releaseSteps(occurrence);
    return occurrence;
}

// Longest chains from each step on, by the declared estimates, and the dates that follow.
void job_scheduler::setDates(job_run &job, occurrence_run &occurrence)
{
    const auto &queue = queueOf(job);
    const auto advice = adviceTime(queue);
    milliseconds longest {0};
    for (std::size_t i = occurrence.steps.size(); i-- > 0;) {
        auto &step = occurrence.steps[i];
        milliseconds behind {0};
        for (const auto &later : occurrence.steps) {
            if (std::ranges::count(later.definition->after, step.number) > 0)
                behind = std::max(behind, later.chainLeft);
        }
        step.chainLeft = step.definition->estimate + advice + behind;
        longest = std::max(longest, step.chainLeft);
    }
    const auto objective = std::chrono::duration_cast<duration>(longest * queue.stretch)
                           + std::chrono::duration_cast<duration>(queue.slack);
    for (auto &step : occurrence.steps) {
        step.onTime = occurrence.due + objective;
        step.lateUntil = occurrence.due + objective * lateFactor;
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

void job_scheduler::makeDueOccurrences(time_point now, wall_time wallNow)
{
    for (auto &[id, job] : m_jobs) {
        if (job->definition.occurrences == 0 || job->state > job_state::Running)
            continue;
        while (job->occurrencesMade < job->definition.occurrences) {
            const auto due =
                job->definition.firstDue + job->definition.interval * job->occurrencesMade;
            if (due > wallNow)
                break;
            makeOccurrence(*job, job->occurrencesMade, steadyTime(due, now, wallNow));
        }
    }
}

void job_scheduler::restore(const recorded_job &recorded,
                            const std::optional<recorded_progress> &progress, time_point now,
                            wall_time wallNow)
{
    auto made = std::make_unique<job_run>();
    auto &job = *made;
    job.definition = recorded.definition;
    job.acceptedAt = recorded.acceptedAt;
    job.stored = true;
    m_jobs[job.definition.id] = std::move(made);
    if (progress)
        restoreProgress(job, *progress, now, wallNow);
    else if (job.definition.occurrences == 0)
        makeOccurrence(job, 0, steadyTime(job.acceptedAt, now, wallNow));
    job.state = job.everStarted ? job_state::Running : job_state::Queued;
    job.shown = job.state;
}

void job_scheduler::restoreProgress(job_run &job, const recorded_progress &progress, time_point now,
                                    wall_time wallNow)
{
    job.occurrencesDone = progress.occurrencesDone;
    job.everStarted = progress.everStarted;
    for (const auto &[number, steps] : progress.live) {
        const bool once = job.definition.occurrences == 0;
        const auto due =
            once ? job.acceptedAt : job.definition.firstDue + job.definition.interval * number;
        auto &occurrence = makeOccurrence(job, number, steadyTime(due, now, wallNow));
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
    job.occurrencesMade = std::max(job.occurrencesMade, progress.occurrencesMade);
}

void job_scheduler::restoreTask(task_run &task, const recorded_task &from)
{
    task.attempt = from.attempt;
    task.failedAttempts = from.failedAttempts;
    task.checkpoint = from.checkpoint;
    if (from.done) {
        task.phase = task_phase::Done;
        --task.step->waiting;
        ++task.step->done;
    } else if (!from.worker.empty()) {
        auto &at = m_fleet.require(from.worker, m_foreignLeaseEnd);
        occupy(task, at);
        task.phase = task_phase::Doubtful;
        // Orders of earlier leaders are void at a worker that has answered this one.
        task.settled = time_point {};
    }
}

job_run *job_scheduler::liveJob(const std::string &id)
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
    auto *job = liveJob(name.job);
    if (!job)
        return nullptr;
    const auto occurrence = job->occurrences.find(name.occurrence);
    if (occurrence == job->occurrences.end() || name.step >= occurrence->second.steps.size())
        return nullptr;
    auto &step = occurrence->second.steps[name.step];
    return name.index < step.tasks.size() ? &step.tasks[name.index] : nullptr;
}

submit_verdict job_scheduler::submit(job_definition definition, time_point now, wall_time wallNow)
{
    if (const auto *known = liveJob(definition.id))
        return {known->stored ? submit_answer::Known : submit_answer::Recording, 0};
    if (m_ended.contains(definition.id))
        return {submit_answer::Known, 0};
    const auto *queue = m_configuration.byName(definition.queue);
    if (!queue)
        return {submit_answer::Refused, 1};
    if (const auto wait = refuseFor(definition, *queue, m_quickQueues, m_jobs, m_fleet, now))
        return {submit_answer::Refused, *wait};
    auto made = std::make_unique<job_run>();
    auto &job = *made;
    job.definition = std::move(definition);
    job.acceptedAt = wallNow;
    m_jobs[job.definition.id] = std::move(made);
    if (job.definition.occurrences == 0)
        makeOccurrence(job, 0, now);
    touch(job);
    return {submit_answer::Recording, 0};
}

bool job_scheduler::withdraw(const std::string &id)
{
    auto *job = liveJob(id);
    if (!job || job->sent || job->stored)
        return false;
    discard(*job);
    m_jobs.erase(id);
    return true;
}

// Forgets what waits to be stored about a job, and the room that was chosen for its tasks.
void job_scheduler::discard(job_run &job)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps) {
            for (auto &task : step.tasks) {
                if (task.at)
                    release(task);
            }
        }
    }
    m_effects.erase(job.definition.id);
    std::erase(m_dirty, job.definition.id);
    job.dirty = false;
}

void job_scheduler::endedBefore(const std::string &id, job_state state, time_point now)
{
    auto *job = liveJob(id);
    if (!job)
        return;
    job->state = state;
    discard(*job);
    closeJob(id, state, now);
}

void job_scheduler::rememberEnded(const std::string &id, job_state state, time_point now)
{
    const auto *known = job(id);
    // Handed in again before this was known here.
    if (known && !known->stored)
        endedBefore(id, state, now);
    else if (!known)
        m_ended.try_emplace(id, ended_job {state, now + m_options.remember});
}

bool job_scheduler::sent(const std::string &id) const
{
    const auto *known = job(id);
    return known && known->sent && !known->stored;
}

bool job_scheduler::cancel(const std::string &id, time_point now)
{
    auto *job = liveJob(id);
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
    if (const auto ended = m_ended.find(id); ended != m_ended.end())
        return ended->second.state;
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second->stored)
        return std::nullopt;
    return found->second->shown;
}

bool job_scheduler::recording(const std::string &id) const
{
    const auto *known = job(id);
    return known && (!known->stored || known->dirty);
}

std::size_t job_scheduler::waitingJobs(std::string_view queue) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs, [queue](const auto &entry) {
        const auto &job = *entry.second;
        return job.definition.queue == queue && job.stored && !job.everStarted
               && job.state == job_state::Queued;
    }));
}

void job_scheduler::touch(job_run &job)
{
    if (job.dirty || job.closed)
        return;
    job.dirty = true;
    m_dirty.push_back(job.definition.id);
}

void job_scheduler::finish(job_run &job, job_state state)
{
    job.state = state;
    touch(job);
}

void job_scheduler::closeJob(const std::string &id, job_state state, time_point now)
{
    m_ended[id] = {state, now + m_options.remember};
    if (auto *job = liveJob(id))
        job->closed = true;
}

// A job that has ended is kept until nothing of it can run any more.
void job_scheduler::dropClosed()
{
    std::erase_if(m_jobs, [](const auto &entry) {
        return entry.second->closed && entry.second->occupying == 0 && !entry.second->dirty;
    });
}

// Tasks.

void job_scheduler::occupy(task_run &task, worker &at)
{
    task.at = &at;
    --task.step->waiting;
    ++task.step->occurrence->job->occupying;
    resources need = task.step->definition->need;
    if (task.step->definition->filler)
        need.milliCores = 0;
    at.used += need;
    at.runs.push_back(&task);
}

void job_scheduler::release(task_run &task)
{
    auto &at = *task.at;
    resources need = task.step->definition->need;
    if (task.step->definition->filler)
        need.milliCores = 0;
    at.used -= need;
    std::erase(at.runs, &task);
    task.at = nullptr;
    task.settled.reset();
    task.percent = 0;
    task.firstReportAt = {};
    task.speedTold = false;
    task.paced = 100;
    task.phase = task_phase::Waiting;
    ++task.step->waiting;
    --task.step->occurrence->job->occupying;
}

void job_scheduler::note(std::string_view event, const task_run &task, std::string_view reason)
{
    const auto &step = *task.step;
    const task_name name {step.occurrence->job->definition.id, step.occurrence->number, step.number,
                          task.index};
    m_notes.push_back(
        {event, name.text(), task.attempt, task.at ? task.at->entry.id : std::string(), reason});
}

void job_scheduler::backToWaiting(task_run &task)
{
    auto &job = *task.step->occurrence->job;
    release(task);
    touch(job);
}

void job_scheduler::taskDone(task_run &task)
{
    if (task.phase == task_phase::Done)
        return;
    if (task.at)
        release(task);
    if (task.step->definition->lasting) {
        touch(*task.step->occurrence->job);
        return;
    }
    task.phase = task_phase::Done;
    --task.step->waiting;
    ++task.step->done;
    touch(*task.step->occurrence->job);
    if (task.step->finished())
        completeStep(*task.step);
}

void job_scheduler::completeStep(step_run &step)
{
    auto &occurrence = *step.occurrence;
    auto &job = *occurrence.job;
    ++occurrence.stepsDone;
    releaseSteps(occurrence);
    if (occurrence.stepsDone < occurrence.steps.size())
        return;
    ++job.occurrencesDone;
    const auto total = std::max<std::uint32_t>(job.definition.occurrences, 1);
    if (job.occurrencesDone >= total && job.state <= job_state::Running)
        finish(job, job_state::Completed);
}

// Each attempt counts once, however often its end is told; a gang's, whichever members tell it.
void job_scheduler::countFailure(task_run &task, std::uint32_t attempt)
{
    const auto note = [attempt](std::vector<std::uint32_t> &attempts) {
        if (std::ranges::find(attempts, attempt) == attempts.end())
            attempts.push_back(attempt);
    };
    note(task.failedAttempts);
    if (task.step->definition->gang)
        note(task.step->failedAttempts);
}

void job_scheduler::taskFailed(task_run &task, time_point now)
{
    if (task.at)
        release(task);
    noteFailure(task, task.attempt, now);
}

// Several failures of one task, or of one gang, fail the job; lasting tasks are always restarted.
void job_scheduler::noteFailure(task_run &task, std::uint32_t attempt, time_point now)
{
    auto &step = *task.step;
    auto &job = *step.occurrence->job;
    countFailure(task, attempt);
    touch(job);
    const auto failures =
        step.definition->gang ? step.failedAttempts.size() : task.failedAttempts.size();
    if (step.definition->lasting || failures < queueOf(job).attempts)
        return;
    if (job.state > job_state::Running)
        return;
    finish(job, job_state::Failed);
    stopAll(job, now);
}

void job_scheduler::stopAll(job_run &job, time_point now)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps)
            stopStep(step, now);
    }
}

// One end stands for all members of a gang.
void job_scheduler::gangDone(step_run &step)
{
    for (auto &member : step.tasks)
        taskDone(member);
}

void job_scheduler::stopRun(task_run &task, time_point now)
{
    switch (task.phase) {
    case task_phase::Recording:
        // No order was sent, and none will be: the effect finds another phase.
        backToWaiting(task);
        break;
    case task_phase::Ordered:
    case task_phase::Running:
    case task_phase::Doubtful:
        task.phase = task_phase::Stopping;
        task.settled.reset();
        task.nextStop = now;
        break;
    case task_phase::Waiting:
    case task_phase::Stopping:
    case task_phase::Done:
        break;
    }
}

void job_scheduler::stopStep(step_run &step, time_point now)
{
    for (auto &member : step.tasks)
        stopRun(member, now);
}

// Reports.

void job_scheduler::newLife(worker &at, std::int64_t bornMs)
{
    at.bornMs = bornMs;
    at.seenEnds = 0;
    at.storedEnds = 0;
    at.unstoredEnds.clear();
    at.leaseEndMs = 0;
}

void job_scheduler::takeEnd(worker &at, const ended_run &end, time_point now)
{
    if (end.number <= at.seenEnds)
        return;
    at.seenEnds = end.number;
    const auto name = task_name::parse(end.task);
    auto *task = name ? find(*name) : nullptr;
    if (!task || task->step->occurrence->job->closed) {
        // Nothing to keep: the job has ended, or never was.
        if (at.unstoredEnds.empty())
            at.storedEnds = end.number;
        if (task && task->at == &at && task->attempt == end.attempt)
            release(*task);
        return;
    }
    at.unstoredEnds.insert(end.number);
    m_effects[name->job].push_back({nullptr, 0, at.entry.id, at.bornMs, end.number});
    touch(*task->step->occurrence->job);
    const bool current = task->at == &at && task->attempt == end.attempt;
    if (current || (end.how == run_end::Done && task->phase == task_phase::Waiting))
        applyEnd(*task, end, now);
    else if (end.how == run_end::Failed && task->phase != task_phase::Done)
        noteFailure(*task, end.attempt, now);
}

void job_scheduler::applyEnd(task_run &task, const ended_run &end, time_point now)
{
    auto &step = *task.step;
    const bool gang = step.definition->gang;
    auto *at = task.at;
    if (!end.checkpoint.empty() && step.definition->checkpoints)
        task.checkpoint = end.checkpoint;
    if (end.how == run_end::Done) {
        if (at)
            judge(*at, task, false, now);
        if (gang)
            gangDone(step);
        else
            taskDone(task);
        return;
    }
    if (end.how == run_end::Failed) {
        note("run.failed", task, "told by its worker");
        if (at) {
            judge(*at, task, true, now);
            step.failedOn.push_back(at->entry.id);
        }
        taskFailed(task, now);
    } else if (task.at) {
        backToWaiting(task);
    }
    if (gang)
        stopStep(step, now);
}

void job_scheduler::takeActive(worker &at, const active_run &run, time_point now)
{
    const auto name = task_name::parse(run.task);
    auto *task = name ? find(*name) : nullptr;
    if (!task || task->at != &at || task->attempt != run.attempt
        || task->phase == task_phase::Recording) {
        m_strays.push_back({{at.entry.id, at.entry.address}, run.task, run.attempt, m_term});
        return;
    }
    if (task->phase == task_phase::Ordered || task->phase == task_phase::Doubtful) {
        task->phase = task_phase::Running;
        task->settled = now;
        task->startedAt = now;
        task->progressAt = now;
    }
    auto &step = *task->step;
    if (!run.checkpoint.empty() && step.definition->checkpoints)
        task->checkpoint = run.checkpoint;
    if (task->firstReportAt == time_point {}) {
        task->firstReportAt = now;
        task->firstPercent = run.percent;
        task->progressAt = now;
    }
    // Time without reports proves nothing.
    if (run.percent != task->percent || now - task->reportedAt > m_options.stalled)
        task->progressAt = now;
    task->percent = run.percent;
    task->reportedAt = now;
    task->measure = run.measure;
    auto &job = *step.occurrence->job;
    if (!job.everStarted) {
        job.everStarted = true;
        if (job.state == job_state::Queued)
            job.state = job_state::Running;
        touch(job);
    }
    if (job.state > job_state::Running)
        stopRun(*task, now);
}

void job_scheduler::reported(const std::string &id, const worker_report &report, time_point askedAt,
                             time_point now)
{
    auto *at = m_fleet.find(id);
    if (!at)
        return;
    if (report.otherLife) {
        loseAll(*at, "another life of the worker answers");
        at->answering = false;
        return;
    }
    at->answering = true;
    if (at->reports == 0 || report.bornMs != at->bornMs)
        newLife(*at, report.bornMs);
    ++at->reports;
    at->clockMs = report.clockMs;
    at->clockAt = now;
    at->clockKnown = true;
    for (const auto &end : report.ended)
        takeEnd(*at, end, now);
    for (const auto &run : report.active)
        takeActive(*at, run, now);
    loseMissing(*at, report, askedAt, now);
    watchProgress(*at, now);
}

void job_scheduler::loseMissing(worker &at, const worker_report &report, time_point askedAt,
                                time_point now)
{
    std::vector<task_run *> missing;
    for (auto *task : at.runs) {
        if (!task->settled || *task->settled >= askedAt || task->phase == task_phase::Recording)
            continue;
        const auto &step = *task->step;
        const task_name name {step.occurrence->job->definition.id, step.occurrence->number,
                              step.number, task->index};
        const auto text = name.text();
        const bool active = std::ranges::any_of(report.active, [&](const active_run &run) {
            return run.attempt == task->attempt && run.task == text;
        });
        if (!active)
            missing.push_back(task);
    }
    for (auto *task : missing) {
        if (!task->at)
            continue;
        auto &step = *task->step;
        if (task->phase != task_phase::Stopping)
            note("run.lost", *task, "not reported by its worker");
        backToWaiting(*task);
        if (step.definition->gang)
            stopStep(step, now);
    }
}

void job_scheduler::loseAll(worker &at, std::string_view reason)
{
    const auto runs = at.runs;
    for (auto *task : runs) {
        if (task->at != &at)
            continue;
        note("run.lost", *task, reason);
        backToWaiting(*task);
    }
}

void job_scheduler::lookFailed(const std::string &id, time_point)
{
    if (auto *at = m_fleet.find(id))
        at->answering = false;
}

void job_scheduler::expireLeases(time_point now)
{
    for (auto &[id, at] : m_fleet.all()) {
        if (!at->answering && !at->runs.empty() && at->leasesEnded(now))
            loseAll(*at, "the worker's lease ended");
    }
}

void job_scheduler::startAnswered(const start_order &order, start_result result,
                                  std::optional<std::int64_t> workerClockMs, time_point now)
{
    const auto name = task_name::parse(order.task);
    auto *task = name ? find(*name) : nullptr;
    if (auto *at = m_fleet.find(order.worker.id);
        at && workerClockMs && at->reports > 0 && *workerClockMs >= at->clockMs) {
        at->clockMs = *workerClockMs;
        at->clockAt = now;
    }
    if (!task || task->attempt != order.attempt || task->phase != task_phase::Ordered)
        return;
    auto &step = *task->step;
    switch (result) {
    case start_result::Accepted: {
        task->phase = task_phase::Running;
        task->settled = now;
        task->startedAt = now;
        task->progressAt = now;
        auto &job = *step.occurrence->job;
        if (!job.everStarted) {
            job.everStarted = true;
            job.state = job_state::Running;
            touch(job);
        }
        return;
    }
    case start_result::NoTicket:
        step.advice.good.erase(order.worker.id);
        [[fallthrough]];
    case start_result::Refused:
    case start_result::OtherLife:
    case start_result::Ended:
        if (result == start_result::Refused && task->at)
            judge(*task->at, *task, true, now);
        backToWaiting(*task);
        break;
    case start_result::Unknown:
        if (task->at)
            judge(*task->at, *task, true, now);
        stopRun(*task, now);
        break;
    }
    if (step.definition->gang)
        stopStep(step, now);
}

void job_scheduler::stopAnswered(const stop_order &order, bool accepted, time_point now)
{
    const auto name = task_name::parse(order.task);
    auto *task = name ? find(*name) : nullptr;
    if (!task || task->attempt != order.attempt || task->phase != task_phase::Stopping)
        return;
    if (accepted && !task->settled)
        task->settled = now;
}

void job_scheduler::retryStops(time_point now, scheduler_orders &orders)
{
    for (auto &[id, at] : m_fleet.all()) {
        for (auto *task : at->runs) {
            if (task->phase != task_phase::Stopping || task->settled || task->nextStop > now)
                continue;
            task->nextStop = now + m_options.stopRetry;
            const auto &step = *task->step;
            const task_name name {step.occurrence->job->definition.id, step.occurrence->number,
                                  step.number, task->index};
            orders.stops.push_back({{id, at->entry.address}, name.text(), task->attempt, m_term});
        }
    }
}

// Advice.

void job_scheduler::advised(const advice_request &request,
                            const std::map<std::string, std::string> &tickets,
                            milliseconds validity, time_point now)
{
    const auto name = task_name::parse(request.step + ".0");
    auto *task = name ? find(*name) : nullptr;
    if (!task)
        return;
    auto &advice = task->step->advice;
    advice.asking = false;
    ++advice.calls;
    const auto expires = now + validity - m_options.ticketMargin;
    if (!request.workers.empty()) {
        const auto share =
            static_cast<double>(tickets.size()) / static_cast<double>(request.workers.size());
        auto &learned = m_goodShares.try_emplace(request.queue, usualGoodShare).first->second;
        learned += (share - learned) * shareWeight;
    }
    for (const auto &id : request.workers) {
        const auto good = tickets.find(id);
        if (good != tickets.end())
            advice.good[id] = {good->second, expires};
        else if (std::ranges::find(advice.bad, id) == advice.bad.end())
            advice.bad.push_back(id);
    }
}

double job_scheduler::goodShare(const std::string &queue) const
{
    const auto found = m_goodShares.find(queue);
    return std::max(found == m_goodShares.end() ? usualGoodShare : found->second, shareWeight);
}

void job_scheduler::adviceFailed(const advice_request &request, time_point now)
{
    const auto name = task_name::parse(request.step + ".0");
    auto *task = name ? find(*name) : nullptr;
    if (!task)
        return;
    task->step->advice.asking = false;
    task->step->advice.askAgain = now + m_options.adviceRetry;
}

// Workers.

std::vector<std::string> job_scheduler::listWorkers(const std::vector<worker_entry> &entries)
{
    return m_fleet.list(entries, m_foreignLeaseEnd);
}

look_order job_scheduler::look(worker &at, time_point now)
{
    look_order order;
    order.worker = {at.entry.id, at.entry.address};
    order.term = m_term;
    order.storedEnds = at.storedEnds;
    // A silent worker's lease is left to end: any order might have reached it.
    if (at.clockKnown && at.answering) {
        order.leaseEndMs = at.clockAtMost(now) + m_options.lease.count();
        at.leaseEndMs = std::max(at.leaseEndMs, *order.leaseEndMs);
    }
    return order;
}

// Time.

scheduler_orders job_scheduler::plan(time_point now, wall_time wallNow, advice_lanes lanes)
{
    scheduler_orders orders;
    m_lanes = lanes;
    dropClosed();
    makeDueOccurrences(now, wallNow);
    expireLeases(now);
    dispatcher(*this, now, orders).run();
    retryStops(now, orders);
    std::ranges::move(m_strays, std::back_inserter(orders.stops));
    m_strays.clear();
    std::erase_if(m_ended, [now](const auto &entry) { return entry.second.forgetAt <= now; });
    return orders;
}

start_order job_scheduler::orderFor(const task_run &task, time_point now) const
{
    const auto &step = *task.step;
    const auto &job = *step.occurrence->job;
    start_order order;
    order.worker = {task.at->entry.id, task.at->entry.address};
    order.task =
        task_name {job.definition.id, step.occurrence->number, step.number, task.index}.text();
    order.attempt = task.attempt;
    order.payload = job.definition.payload;
    order.leaseEndMs = task.at->clockAtMost(now) + m_options.lease.count();
    order.term = m_term;
    order.ticket = task.ticket;
    order.checkpoint = task.checkpoint;
    return order;
}

// The store.

std::vector<job_change> job_scheduler::takeChanges(std::size_t mostEntries)
{
    std::vector<job_change> batch;
    std::size_t entries = 0;
    std::size_t taken = 0;
    while (taken < m_dirty.size()) {
        auto &job = *m_jobs.at(m_dirty[taken]);
        const auto needed = job.state > job_state::Running ? entriesOfEnd : entriesOfChange;
        if (entries + needed > mostEntries)
            break;
        batch.push_back(changeOf(job));
        entries += needed;
        ++taken;
    }
    m_dirty.erase(m_dirty.begin(), m_dirty.begin() + static_cast<std::ptrdiff_t>(taken));
    return batch;
}

job_change job_scheduler::changeOf(job_run &job)
{
    job_change change;
    change.id = job.definition.id;
    job.dirty = false;
    if (job.state > job_state::Running) {
        change.finished = job.state;
    } else {
        if (!job.stored)
            change.definition = encodeJob(job.definition, job.acceptedAt);
        if (job.stored || job.occupying > 0)
            change.progress = encodeProgress(job);
    }
    job.sent = true;
    if (const auto effects = m_effects.find(change.id); effects != m_effects.end()) {
        change.effects = std::move(effects->second);
        m_effects.erase(effects);
    }
    return change;
}

std::vector<start_order> job_scheduler::stored(const std::vector<job_change> &batch, time_point now)
{
    std::vector<start_order> starts;
    for (const auto &change : batch) {
        auto *job = liveJob(change.id);
        for (const auto &effect : change.effects) {
            if (effect.start && job) {
                auto &task = *effect.start;
                if (task.phase != task_phase::Recording || task.attempt != effect.attempt)
                    continue;
                task.phase = task_phase::Ordered;
                task.orderedAt = now;
                starts.push_back(orderFor(task, now));
                task.at->leaseEndMs = std::max(task.at->leaseEndMs, starts.back().leaseEndMs);
            } else if (!effect.start) {
                auto *at = m_fleet.find(effect.worker);
                if (!at || at->bornMs != effect.bornMs)
                    continue;
                at->unstoredEnds.erase(effect.endNumber);
                at->storedEnds =
                    at->unstoredEnds.empty() ? at->seenEnds : *at->unstoredEnds.begin() - 1;
            }
        }
        if (!job)
            continue;
        job->stored = true;
        if (change.finished)
            closeJob(change.id, *change.finished, now);
        else
            job->shown = job->everStarted ? job_state::Running : job_state::Queued;
    }
    return starts;
}

scheduler_load job_scheduler::load(time_point now) const
{
    scheduler_load load;
    load.jobs = m_jobs.size();
    load.capacity = m_fleet.capacity();
    for (const auto &[id, at] : m_fleet.all()) {
        load.used += at->used;
        load.occupyingTasks += at->runs.size();
    }
    for (const auto &[id, job] : m_jobs) {
        if (job->state > job_state::Running)
            continue;
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const auto &step : occurrence.steps) {
                if (step.ready && step.waiting > 0)
                    countWaiting(step, now, load);
            }
        }
    }
    return load;
}

void job_scheduler::countWaiting(const step_run &step, time_point now, scheduler_load &load)
{
    load.waitingTasks += step.waiting;
    const bool ticket = std::ranges::any_of(
        step.advice.good, [now](const auto &entry) { return entry.second.expires > now; });
    if (step.advice.asking)
        ++load.stepsAsking;
    else if (ticket)
        ++load.stepsWithoutRoom;
    else
        ++load.stepsUnasked;
}

} // namespace plantaingap::jobs
