#include "jobs/job_scheduler.h"

// Counts what becomes of submitted jobs by their size.
namespace plantaingap::jobs {

submit_result job_scheduler::submit(job_definition definition, time_point now, wall_time wallNow)
{
    if (findJob(definition.id) || m_endedJobs.contains(definition.id)
        || !m_configuration.byName(definition.queue) || definition.occurrences > 0)
        return admit(std::move(definition), now, wallNow);
    const auto id = definition.id;
    const auto queue = definition.queue;
    const auto band = m_sizes.submitted(queue, id, sizeOf(definition).coreSeconds);
    auto result = admit(std::move(definition), now, wallNow);
    auto &figures = m_sizes.figuresOf(queue, band);
    if (auto *job = findJob(id)) {
        job->band = band;
        ++figures.accepted;
    } else {
        ++figures.refused;
    }
    return result;
}

// Before the job is removed: its submission is refused after all.
void job_scheduler::countDiscarded(const job_run &job)
{
    if (!job.band)
        return;
    auto &figures = m_sizes.figuresOf(job.definition.queue, *job.band);
    --figures.accepted;
    ++figures.refused;
}

// Before the job is marked as closed.
void job_scheduler::countEnded(const job_run &job, job_state state, time_point now)
{
    if (!job.band || job.closed || state == job_state::Cancelled || job.occurrences.empty())
        return;
    auto &figures = m_sizes.figuresOf(job.definition.queue, *job.band);
    const auto &steps = job.occurrences.begin()->second.steps;
    if (state != job_state::Completed || steps.empty() || now > steps.back().lateUntil)
        ++figures.withoutValue;
    else if (now > steps.back().onTimeUntil)
        ++figures.late;
    else
        ++figures.onTime;
}

} // namespace plantaingap::jobs
