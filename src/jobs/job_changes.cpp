#include "jobs/job_scheduler.h"

#include <algorithm>

// Batches of changes for the store, the actions they allow once stored, and load figures.
namespace plantaingap::jobs {

namespace {

// Table entries of a change: the state of an ended job and the deletion of its other rows; the
// definition of a new job with the condition that it has not ended before; its progress.
constexpr std::size_t entriesPerEnd = 3;
constexpr std::size_t entriesPerDefinition = 2;
constexpr std::size_t entriesPerProgress = 1;

// A limit was lowered since the task was chosen. A single task larger than the limit may run.
bool exceedsLimit(const task_run &task)
{
    const auto *account = task.step->occurrence->job->account;
    return account && !account->allows(task.step->definition->demand);
}

std::string_view withdrawalReason(const task_run &task, bool suitsEntry)
{
    const auto &worker = *task.assignedWorker;
    if (!suitsEntry)
        return "the worker has started again since it was chosen";
    if (worker.fits())
        return "the limit of its workspace was lowered";
    return worker.unaccountedRuns > 0 ? "the worker has reported runs that are not counted"
                                      : "the worker has shrunk since it was chosen";
}

} // namespace

// Counting what each change needs, rather than the most that any may need, lets a write hold some
// three times as many running jobs. A slow store takes few writes, and jobs wait for theirs.
std::size_t job_scheduler::entriesOfChange(const job_run &job)
{
    if (job.state > job_state::Running)
        return entriesPerEnd;
    if (job.stored)
        return entriesPerProgress + (job.queueRecordOutdated ? entriesPerDefinition : 0);
    return entriesPerDefinition + (job.occupying > 0 ? entriesPerProgress : 0);
}

std::vector<job_change> job_scheduler::takeChanges(std::size_t maxEntries)
{
    std::vector<job_change> batch;
    std::size_t entries = 0;
    std::size_t taken = 0;
    while (taken < m_dirty.size()) {
        auto &job = *m_jobs.at(m_dirty[taken]);
        const auto needed = entriesOfChange(job);
        if (entries + needed > maxEntries)
            break;
        batch.push_back(makeChange(job));
        entries += needed;
        ++taken;
    }
    m_dirty.erase(m_dirty.begin(), m_dirty.begin() + static_cast<std::ptrdiff_t>(taken));
    // These do not make a write due.
    for (; entries < maxEntries && !m_withoutRemainingRuns.empty(); ++entries) {
        job_change change;
        change.id = std::move(m_withoutRemainingRuns.back());
        change.remainingRunsGone = true;
        batch.push_back(std::move(change));
        m_withoutRemainingRuns.pop_back();
    }
    return batch;
}

job_change job_scheduler::makeChange(job_run &job)
{
    job_change change;
    change.id = job.definition.id;
    job.dirty = false;
    if (job.state > job_state::Running) {
        change.finished = job.state;
        job.remainingRunsStored = job.occupying > 0;
        if (job.remainingRunsStored)
            change.progress = encodeRemainingRuns(job);
    } else {
        if (!job.stored || job.queueRecordOutdated)
            change.definition =
                encodeJob(job.definition, job.acceptedAt, job.queueRecord.get(), job.beyondShare);
        job.queueRecordOutdated = false;
        if (job.stored || job.occupying > 0)
            change.progress = encodeProgress(job);
    }
    job.definitionSent = true;
    if (const auto effects = m_effects.find(change.id); effects != m_effects.end()) {
        change.effects = std::move(effects->second);
        m_effects.erase(effects);
    }
    return change;
}

// Whether the worker, if it has started again since it was chosen, still takes the task.
bool job_scheduler::suitsEntry(const task_run &task, const worker &worker) const
{
    const auto &step = *task.step;
    return worker.entryIsCurrent() && worker.hasLabel(step.definition->label)
           && worker.entry.service == queueOf(*step.occurrence->job).service;
}

// Withdraws starts on workers that have shrunk, started again as another kind or reported uncounted
// runs since they were chosen, and those beyond a limit that was lowered since then; with a member
// its gang.
void job_scheduler::withdrawUnfitStarts(const std::vector<job_change> &batch, time_point now)
{
    for (const auto &change : batch) {
        for (const auto &effect : change.effects) {
            if (!effect.start || !findJob(change.id))
                continue;
            auto &task = *effect.start;
            if (task.phase != task_phase::Recording || task.attempt != effect.attempt)
                continue;
            const auto &worker = *task.assignedWorker;
            const bool suits = suitsEntry(task, worker);
            if (worker.fits() && suits && !exceedsLimit(task))
                continue;
            recordEvent("start.withdrawn", task, withdrawalReason(task, suits));
            recordRunEnd(task, run_end_cause::Withdrawn, now);
            if (task.step->definition->gang)
                stopStep(*task.step, now);
            else
                stopRun(task, now);
        }
    }
}

std::vector<start_order> job_scheduler::onBatchStored(const std::vector<job_change> &batch,
                                                      time_point now)
{
    withdrawUnfitStarts(batch, now);
    std::vector<start_order> starts;
    for (const auto &change : batch) {
        auto *job = findJob(change.id);
        for (const auto &effect : change.effects) {
            if (effect.start && job) {
                auto &task = *effect.start;
                if (task.phase != task_phase::Recording || task.attempt != effect.attempt)
                    continue;
                task.phase = task_phase::Ordered;
                task.orderedAt = now;
                recordStartAccounting(task);
                countTicketUse(task);
                recordGangStart(task, now);
                starts.push_back(makeStartOrder(task, now));
                task.startIncarnationMs = starts.back().incarnationMs;
                task.startLeaseEndMs = starts.back().leaseEndMs;
                task.assignedWorker->leaseEndMs =
                    std::max(task.assignedWorker->leaseEndMs, starts.back().leaseEndMs);
            } else if (!effect.start) {
                auto *worker = m_fleet.find(effect.worker);
                if (!worker || worker->incarnationMs != effect.incarnationMs)
                    continue;
                worker->unstoredEnds.erase(effect.endNumber);
                worker->lastStoredEnd = worker->unstoredEnds.empty()
                                            ? worker->lastReceivedEnd
                                            : *worker->unstoredEnds.begin() - 1;
            }
        }
        if (!job || change.remainingRunsGone)
            continue;
        job->stored = true;
        dropFinishedOccurrences(*job);
        if (change.finished)
            closeJob(change.id, *change.finished, now);
        else
            job->storedState = job->everStarted ? job_state::Running : job_state::Queued;
    }
    return starts;
}

// Called for each member; the first one stands for the gang.
void job_scheduler::recordGangStart(const task_run &member, time_point now)
{
    auto &step = *member.step;
    if (!step.definition->gang || step.definition->longRunning || member.index != 0)
        return;
    const bool afterFailure = std::ranges::count(step.failedAttempts, member.attempt - 1) > 0;
    if (afterFailure || step.predictedStart)
        m_gangHistory.runStarted(step.occurrence->job->definition.queue, afterFailure);
    if (!step.predictedStart)
        return;
    const auto sinceDue = [&step](time_point time) {
        return std::to_string(
            std::chrono::duration_cast<milliseconds>(time - step.occurrence->due).count());
    };
    recordEvent("gang.started", member, "its first run");
    auto &fields = m_events.back().fields;
    fields.emplace_back("tasks", std::to_string(step.tasks.size()));
    fields.emplace_back("predicted_ms", sinceDue(*step.predictedStart));
    fields.emplace_back("started_ms", sinceDue(now));
    step.predictedStart.reset();
}

// Called when no batch is being stored, so that no effect refers to a task of the occurrences.
void job_scheduler::dropFinishedOccurrences(job_run &job)
{
    if (job.definition.occurrences == 0 || m_effects.contains(job.definition.id))
        return;
    const auto finished = [](const occurrence_run &occurrence) {
        return occurrence.stepsDone == occurrence.steps.size()
               && std::ranges::none_of(occurrence.steps, [](const step_run &step) {
                      return std::ranges::any_of(step.tasks, &task_run::assignedWorker);
                  });
    };
    for (auto it = job.occurrences.begin(); it != job.occurrences.end();) {
        if (!finished(it->second)) {
            ++it;
            continue;
        }
        countUnusedTickets(it->second);
        dropReservations(it->second);
        it = job.occurrences.erase(it);
    }
}

scheduler_load job_scheduler::load(time_point now) const
{
    scheduler_load load;
    load.jobs = m_jobs.size();
    load.capacity = m_fleet.capacity();
    for (const auto &[id, worker] : m_fleet.all()) {
        load.used += worker->used;
        if (worker->reservedFor) {
            load.reservedMilliCores += std::clamp<std::int64_t>(
                worker->free().milliCores, 0, worker->reservedCapacity.milliCores);
        }
        load.occupyingTasks += worker->runs.size();
        load.isolatingWorkers += worker->isolating() ? 1 : 0;
        load.unaccountedWorkers += worker->unaccountedRuns > 0 ? 1 : 0;
        load.orphanRuns += worker->orphans.size();
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
    load.waitingSuspects +=
        static_cast<std::size_t>(std::ranges::count_if(step.tasks, [](const task_run &task) {
            return task.phase == task_phase::Waiting && task.crashes.suspected();
        }));
    const bool ticket = std::ranges::any_of(
        step.advice.allowed(), [now](const auto &allowed) { return allowed.held.expires > now; });
    if (step.advice.callPending)
        ++load.stepsAwaitingAdvice;
    else if (ticket)
        ++load.stepsAwaitingCapacity;
    else
        ++load.stepsNeedingAdvice;
}

} // namespace plantaingap::jobs
