#include "jobs/job_scheduler.h"

#include <algorithm>
#include <array>

// Explains to operators and in logs why a job is not done.
namespace plantaingap::jobs {

namespace {

constexpr std::array<std::pair<task_phase, std::string_view>, 7> phaseNames {
    {{task_phase::Waiting, "waiting"},
     {task_phase::Recording, "recording"},
     {task_phase::Ordered, "ordered"},
     {task_phase::Running, "running"},
     {task_phase::Doubtful, "doubtful"},
     {task_phase::Stopping, "stopping"},
     {task_phase::Done, "done"}}};

std::string phaseCounts(const step_run &step)
{
    std::string out;
    for (const auto &[phase, name] : phaseNames) {
        const auto count = std::ranges::count(step.tasks, phase, &task_run::phase);
        if (count > 0)
            out.append(" ").append(name).append("=").append(std::to_string(count));
    }
    return out;
}

// Names the worker of the first task that is assigned to an unresponsive worker.
std::string unresponsiveWorker(const step_run &step)
{
    for (const auto &task : step.tasks) {
        if (task.assignedWorker && !task.assignedWorker->responsive)
            return " unresponsive_worker=" + task.assignedWorker->entry.id;
    }
    return {};
}

} // namespace

std::vector<std::string> job_scheduler::explain(const std::string &id, time_point now) const
{
    std::vector<std::string> lines;
    const auto *jobRun = job(id);
    if (!jobRun)
        return lines;
    const auto &queue = queueOf(*jobRun);
    for (const auto &[number, occurrence] : jobRun->occurrences) {
        for (const auto &step : occurrence.steps) {
            if (!step.ready || step.finished())
                continue;
            std::size_t usable = 0;
            std::size_t withCapacity = 0;
            for (const auto &[name, worker] : m_fleet.all()) {
                const bool matches = worker->usable(now) && worker->entry.service == queue.service
                                     && worker->hasLabel(step.definition->label);
                usable += matches ? 1 : 0;
                withCapacity += matches && step.definition->demand.fitsIn(worker->free()) ? 1 : 0;
            }
            const auto &advice = step.advice;
            const auto valid = std::ranges::count_if(
                advice.allowed, [now](const auto &entry) { return entry.second.expires > now; });
            lines.push_back(
                task_name {id, number, step.number, 0}.text() + phaseCounts(step)
                + " usable_workers=" + std::to_string(usable) + " with_capacity="
                + std::to_string(withCapacity) + " allowed=" + std::to_string(advice.allowed.size())
                + " tickets=" + std::to_string(valid)
                + " not_allowed=" + std::to_string(advice.rejected.size())
                + (advice.callPending ? " advice_pending" : "") + unresponsiveWorker(step));
        }
    }
    return lines;
}

std::vector<std::string> job_scheduler::mostOverdue(std::size_t maxJobs, time_point now) const
{
    std::vector<std::pair<time_point, std::string>> late;
    for (const auto &[id, job] : m_jobs) {
        if (job->state > job_state::Running || job->occurrences.empty())
            continue;
        const auto &steps = job->occurrences.begin()->second.steps;
        if (!steps.empty() && steps.front().onTimeUntil < now)
            late.emplace_back(steps.front().onTimeUntil, id);
    }
    std::ranges::sort(late);
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < std::min(maxJobs, late.size()); ++i)
        ids.push_back(late[i].second);
    return ids;
}

} // namespace plantaingap::jobs
