#include "jobs/job_scheduler.h"

#include <algorithm>
#include <array>
#include <tuple>

// Observes how long accepted jobs wait with nothing running, and why their last run ended.
namespace plantaingap::jobs {

namespace {

// Interval between lines about a job that waits beyond three objectives.
constexpr std::chrono::seconds waitLineInterval {5};
// A wait that is logged whatever the objective of its step.
constexpr std::chrono::seconds longWait {15};

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
    // A declared duration that is far too long puts the objective far off.
    const auto firstLineAt = step.wait.since
                                 ? std::min(step.onTimeUntil, *step.wait.since + longWait)
                                 : step.onTimeUntil;
    if (now < firstLineAt)
        return std::nullopt;
    if (now < step.lateUntil)
        return firstLineAt;
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

// The step of a job that a line is due for, null for none.
step_run *findStepWithLine(job_run &job, time_point now)
{
    step_run *due = nullptr;
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps) {
            if (lineDue(step, now) && (!due || goesBefore(&step, due)))
                due = &step;
        }
    }
    return due;
}

} // namespace

duration waitOf(const step_run &step, time_point now)
{
    if (!step.waits())
        return duration(0);
    const auto since =
        step.wait.since ? std::max(*step.wait.since, step.wait.endedAt) : waitStart(step, now);
    return now - since;
}

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
    if (task.step->definition->gang && cause != run_end_cause::MemberEnded)
        ++figuresOf(*task.step).gangsBroken[static_cast<std::size_t>(cause)];
    wait.lastEnd = cause;
    wait.endedAt = now;
    wait.endedAttempt = task.attempt;
    wait.endedIndex = task.index;
    wait.endedOn = task.assignedWorker ? task.assignedWorker->entry.id : std::string();
}

kind_figures &job_scheduler::figuresOf(const step_run &step)
{
    auto &queue = m_figures[step.occurrence->job->definition.queue];
    return step.definition->gang ? queue.gangs : queue.tasks;
}

void job_scheduler::countAdviceCall(const advice_request &request)
{
    const auto name = task_name::parse(request.step + ".0");
    const auto *task = name ? find(*name) : nullptr;
    if (!task)
        return;
    auto &figures = figuresOf(*task->step);
    ++figures.adviceCalls;
    figures.workersNamed += request.workers.size();
}

void job_scheduler::countTicketUse(const task_run &task)
{
    auto *held = task.step->advice.ticketFor(task.assignedWorker->ref);
    if (!held || held->text != task.ticket || !held->awaitsUse())
        return;
    held->used = true;
    ++figuresOf(*task.step).ticketsUsed;
}

void job_scheduler::dropTicket(step_run &step, const std::string &worker)
{
    const auto *found = m_fleet.find(worker);
    const auto *held = found ? step.advice.ticketFor(found->ref) : nullptr;
    if (!held)
        return;
    figuresOf(step).ticketsUnused += held->awaitsUse() ? 1 : 0;
    step.advice.forget(found->ref);
}

void job_scheduler::countUnusedTickets(step_run &step, time_point expiresBy)
{
    auto &advice = step.advice;
    advice.nextExpiry = time_point::max();
    for (auto &[worker, held] : advice.allowed()) {
        if (!held.awaitsUse())
            continue;
        if (held.expires > expiresBy) {
            advice.nextExpiry = std::min(advice.nextExpiry, held.expires);
            continue;
        }
        held.countedUnused = true;
        ++figuresOf(step).ticketsUnused;
    }
}

// Counts all that are left, before the occurrence is dropped.
void job_scheduler::countUnusedTickets(occurrence_run &occurrence)
{
    for (auto &step : occurrence.steps)
        countUnusedTickets(step, time_point::max());
}

void job_scheduler::observeStep(step_run &step, time_point now)
{
    observeWait(step, now);
    if (step.advice.nextExpiry <= now)
        countUnusedTickets(step, now);
    if (!step.ready || step.waiting == 0)
        return;
    auto &figures = figuresOf(step);
    figures.awaitingInstance += step.advice.awaitsInstance && !step.advice.callPending ? 1 : 0;
    if (!step.waits())
        return;
    ++figures.waiting;
    const bool late = !step.definition->longRunning && now + step.remainingChain > step.onTimeUntil;
    figures.late += late ? 1 : 0;
    figures.waited += now - std::max(*step.wait.since, m_waitsObservedAt);
}

job_explanations job_scheduler::observeWaits(std::size_t maxLines, time_point now)
{
    for (auto &[queue, figures] : m_figures) {
        for (auto *kind : {&figures.tasks, &figures.gangs})
            kind->waiting = kind->late = kind->awaitingInstance = 0;
    }
    std::vector<step_run *> due;
    for (auto &[id, job] : m_jobs) {
        if (job->state > job_state::Running)
            continue;
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps)
                observeStep(step, now);
        }
        if (auto *step = findStepWithLine(*job, now))
            due.push_back(step);
    }
    m_waitsObservedAt = now;
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
