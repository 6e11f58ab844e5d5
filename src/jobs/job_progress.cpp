#include "jobs/job_progress.h"

namespace plantaingap::jobs {

namespace {

// Progress below this many hundredths says little of the rest.
constexpr std::uint32_t tellingPercent = 8;
constexpr std::uint32_t wholePercent = 100;

} // namespace

time_point expectedEnd(const task_run &task, milliseconds estimate)
{
    if (task.percent < tellingPercent || task.reportedAt <= task.startedAt)
        return task.startedAt + estimate;
    return task.startedAt + (task.reportedAt - task.startedAt) * wholePercent / task.percent;
}

} // namespace plantaingap::jobs
