#include "jobs/job_scheduler.h"

#include <algorithm>
#include <array>
#include <tuple>

// Observes how long accepted jobs wait with nothing running, and why their last run ended.
namespace plantaingap::jobs {

namespace {

// Interval between lines about a job that waits beyond three objectives.
constexpr std::chrono::seconds waitLineInterval {5};

constexpr std::array<std::string_view, runEndCauses> endNames {
    "never_started", "member_ended", "not_started", "withdrawn", "moved", "lost", "failed"};

time_point waitStart(const step_run &step, time_point now)
{
    if (step.wait.lastEnd != run_end_cause::NeverStarted)
        return step.wait.endedAt;
    const bool waitsSinceDue =
        step.definition->after.empty()
        && std::ranges::all_of(step.tasks, [](const task_run &task) { return task.attempt == 0; });
    return waitsSinceDue ? std::min(step.occurrence->due, now) : now;
}

void observeWait(step_run &step, time_point now)
{
    auto &wait = step.wait;
    if (!step.waits())
        wait.since.reset();
    else if (!wait.since)
        wait.since = waitStart(step, now);
    else
        wait.since = std::max(*wait.since, wait.endedAt);
}

// The latest time at which a line about the wait of a step became due; none within its objective.
std::optional<time_point> lineDueAt(const step_run &step, time_point now)
{
    if (now < step.onTimeUntil)
        return std::nullopt;
    if (now < step.lateUntil)
        return step.onTimeUntil;
    return step.lateUntil + (now - step.lateUntil) / waitLineInterval * waitLineInterval;
}

bool lineDue(const step_run &step, time_point now)
{
    const auto dueAt = lineDueAt(step, now);
    return step.waits() && dueAt && step.wait.loggedAt < *dueAt;
}

bool goesBefore(const step_run *left, const step_run *right)
{
    return std::tie(left->wait.loggedAt, left->onTimeUntil)
           < std::tie(right->wait.loggedAt, right->onTimeUntil);
}

// Observes all steps of a job; returns the one that a line is due for, null for none.
step_run *observeJob(job_run &job, time_point now)
{
    step_run *due = nullptr;
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps) {
            observeWait(step, now);
            if (lineDue(step, now) && (!due || goesBefore(&step, due)))
                due = &step;
        }
    }
    return due;
}

} // namespace

std::string_view runEndName(run_end_cause cause)
{
    return endNames[static_cast<std::size_t>(cause)];
}

void job_scheduler::recordRunEnd(const task_run &task, run_end_cause cause, time_point now)
{
    auto &wait = task.step->wait;
    const bool sameRun = task.step->definition->gang && wait.lastEnd != run_end_cause::NeverStarted
                         && wait.endedAttempt == task.attempt;
    if (sameRun && wait.lastEnd != run_end_cause::MemberEnded)
        return;
    wait.lastEnd = cause;
    wait.endedAt = now;
    wait.endedAttempt = task.attempt;
    wait.endedIndex = task.index;
    wait.endedOn = task.assignedWorker ? task.assignedWorker->entry.id : std::string();
}

job_explanations job_scheduler::observeWaits(std::size_t maxLines, time_point now)
{
    std::vector<step_run *> due;
    for (auto &[id, job] : m_jobs) {
        if (job->state > job_state::Running)
            continue;
        if (auto *step = observeJob(*job, now))
            due.push_back(step);
    }
    const auto count = std::min(maxLines, due.size());
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
                      goesBefore);
    job_explanations lines;
    lines.leftOut = due.size() - count;
    for (std::size_t i = 0; i < count; ++i) {
        auto &step = *due[i];
        step.wait.loggedAt = now;
        lines.jobs.push_back({step.occurrence->job->definition.id, explainStep(step, now)});
    }
    return lines;
}

} // namespace plantaingap::jobs
