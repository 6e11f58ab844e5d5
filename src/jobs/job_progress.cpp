#include "jobs/job_progress.h"

#include <algorithm>

namespace plantaingap::jobs {

namespace {

// Below this progress in percent the remaining time is not extrapolated.
constexpr std::uint32_t minProgressPercent = 8;
constexpr std::uint32_t completePercent = 100;

} // namespace

bool step_run::suspectedGang() const
{
    return definition->gang && crashed && std::ranges::any_of(tasks, [](const task_run &task) {
               return task.crashes.suspected();
           });
}

bool awaitsEnd(const task_run &task)
{
    return task.phase == task_phase::Stopping
           || (task.phase == task_phase::Done && task.assignedWorker);
}

time_point expectedEnd(const task_run &task)
{
    const auto done = task.percent - std::min(task.firstPercent, task.percent);
    if (done < minProgressPercent || task.reportedAt <= task.firstReportAt)
        return task.startedAt + task.step->expectedDuration;
    const auto left = completePercent - std::min(task.percent, completePercent);
    return task.reportedAt + (task.reportedAt - task.firstReportAt) * left / done;
}

} // namespace plantaingap::jobs
