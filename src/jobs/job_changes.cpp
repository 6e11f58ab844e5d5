#include "jobs/job_scheduler.h"

#include <algorithm>

// What must be stored about jobs, what may happen once it is, and the figures of the whole.
namespace plantaingap::jobs {

namespace {

// Entries of a write that a job's end takes, and at most any other change of it.
constexpr std::size_t entriesOfEnd = 3;
constexpr std::size_t entriesOfChange = 3;

} // namespace

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

std::vector<start_order> job_scheduler::onBatchStored(const std::vector<job_change> &batch,
                                                      time_point now)
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
                starts.push_back(orderFor(task, now));
                task.at->leaseEndMs = std::max(task.at->leaseEndMs, starts.back().leaseEndMs);
            } else if (!effect.start) {
                auto *at = m_fleet.find(effect.worker);
                if (!at || at->incarnationMs != effect.incarnationMs)
                    continue;
                at->unstoredEnds.erase(effect.endNumber);
                at->lastStoredEnd =
                    at->unstoredEnds.empty() ? at->lastReceivedEnd : *at->unstoredEnds.begin() - 1;
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
        if (at->reservedFor) {
            load.reservedMilliCores +=
                std::clamp<std::int64_t>(at->free().milliCores, 0, at->reservedRoom.milliCores);
        }
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
        ++load.stepsAwaitingAdvice;
    else if (ticket)
        ++load.stepsAwaitingCapacity;
    else
        ++load.stepsNeedingAdvice;
}

} // namespace plantaingap::jobs
