#include "jobs/job_scheduler.h"
#include "jobs/task_capacity.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <tuple>

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

constexpr std::array<std::pair<gang_plan_result, std::string_view>, 4> planResultNames {
    {{gang_plan_result::NotPlanned, "none"},
     {gang_plan_result::TooFewSlots, "too_few_slots"},
     {gang_plan_result::NoShareLeft, "no_share_left"},
     {gang_plan_result::Reserved, "reserved"}}};

std::string inMilliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

// Slots for members on the allowed workers of a gang, by what keeps the gang from using them.
struct gang_slots
{
    std::uint32_t withTicket = 0;
    std::uint32_t withoutTicket = 0;
    std::uint32_t reservedForOthers = 0;
    std::uint32_t slow = 0;
    // Draining, unresponsive, quarantined or isolating.
    std::uint32_t unusable = 0;
    std::uint32_t occupied = 0;
    std::set<const step_run *> reservingGangs;

    void add(const step_run &step, const worker &worker, const ticket &held, time_point now);
};

void gang_slots::add(const step_run &step, const worker &worker, const ticket &held, time_point now)
{
    const auto demand = effectiveDemand(*step.definition);
    const auto free = tasksThatFit(demand, worker.free());
    const auto total = tasksThatFit(demand, worker.entry.capacity);
    if (!worker.usable(now) || worker.health.quarantined() || worker.isolating()) {
        unusable += total;
        return;
    }
    occupied += total - std::min(free, total);
    if (worker.reservedFor && worker.reservedFor != &step && worker.reservedUntil > now) {
        reservedForOthers += free;
        reservingGangs.insert(worker.reservedFor);
    } else if (worker.speed.slow()) {
        slow += free;
    } else {
        (held.expires > now ? withTicket : withoutTicket) += free;
    }
}

std::string explainGang(const step_run &step, const fleet &workers, time_point now)
{
    gang_slots slots;
    for (const auto &[ref, held] : step.advice.allowed()) {
        if (const auto *worker = workers.find(ref))
            slots.add(step, *worker, held, now);
    }
    const auto &plan = step.gang;
    const auto *result = std::ranges::find(planResultNames, plan.result,
                                           &std::pair<gang_plan_result, std::string_view>::first);
    auto out = " free_with_ticket=" + std::to_string(slots.withTicket)
               + " free_without_ticket=" + std::to_string(slots.withoutTicket)
               + " free_reserved_for_others=" + std::to_string(slots.reservedForOthers)
               + " reserving_gangs=" + std::to_string(slots.reservingGangs.size()) + " free_slow="
               + std::to_string(slots.slow) + " unusable=" + std::to_string(slots.unusable)
               + " occupied=" + std::to_string(slots.occupied) + " plan="
               + std::string(result->second) + " missing=" + std::to_string(plan.missing);
    if (plan.plannedAt != time_point {})
        out += " plan_age_ms=" + inMilliseconds(now - plan.plannedAt);
    if (plan.startAt)
        out += " start_in_ms=" + inMilliseconds(*plan.startAt - now);
    return out;
}

// Since when the step waits, how far it is past its objective, and what ended its last run.
std::string explainWait(const step_run &step, time_point now)
{
    std::string out;
    const auto &wait = step.wait;
    if (step.waits() && wait.since)
        out += " waiting_ms=" + inMilliseconds(now - *wait.since);
    out += " overdue_ms=" + inMilliseconds(now - step.onTimeUntil);
    const auto &jobRun = *step.occurrence->job;
    if (jobRun.account) {
        out += " workspace=" + jobRun.account->name
               + " held_by_limit=" + (step.heldByLimit ? "1" : "0")
               + " beyond_share=" + (jobRun.beyondShare ? "1" : "0");
    }
    const bool startedBefore =
        std::ranges::any_of(step.tasks, [](const task_run &task) { return task.attempt > 0; });
    if (wait.lastEnd == run_end_cause::NeverStarted)
        return out + (startedBefore ? "" : " last_end=never_started");
    const auto &job = jobRun.definition.id;
    return out + " last_end=" + std::string(runEndName(wait.lastEnd)) + " last_end_task="
           + task_name {job, step.occurrence->number, step.number, wait.endedIndex}.text()
           + " last_end_attempt=" + std::to_string(wait.endedAttempt) + " last_end_worker="
           + wait.endedOn + " last_end_ms_ago=" + inMilliseconds(now - wait.endedAt);
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

std::optional<explaining_step> findExplainingStep(const job_run &job)
{
    std::optional<explaining_step> best;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const auto &step : occurrence.steps) {
            // A long-running step is never done, and lacks nothing while all its tasks are at work.
            const bool complete = step.definition->longRunning && step.waiting == 0;
            if (!step.ready || step.finished() || complete)
                continue;
            const explaining_step found {!step.waits(), step.onTimeUntil, &step};
            if (!best || found < *best)
                best = found;
        }
    }
    return best;
}

} // namespace

bool explaining_step::operator<(const explaining_step &other) const
{
    return std::tie(atWork, onTimeUntil) < std::tie(other.atWork, other.onTimeUntil);
}

std::string job_scheduler::explainStep(const step_run &step, time_point now) const
{
    const auto &jobRun = *step.occurrence->job;
    const auto &queue = queueOf(jobRun);
    std::size_t usable = 0;
    std::size_t withCapacity = 0;
    std::size_t claimed = 0;
    for (const auto &[name, worker] : m_fleet.all()) {
        claimed += worker->reservedFor == &step && worker->reservedUntil > now ? 1 : 0;
        const bool matches = worker->usable(now) && worker->entry.service == queue.service
                             && worker->hasLabel(step.definition->label);
        usable += matches ? 1 : 0;
        withCapacity += matches && step.definition->demand.fitsIn(worker->free()) ? 1 : 0;
    }
    const auto &advice = step.advice;
    const auto valid = std::ranges::count_if(
        advice.allowed(), [now](const auto &allowed) { return allowed.held.expires > now; });
    return task_name {jobRun.definition.id, step.occurrence->number, step.number, 0}.text()
           + phaseCounts(step) + " usable_workers=" + std::to_string(usable) + " with_capacity="
           + std::to_string(withCapacity) + " allowed=" + std::to_string(advice.allowed().size())
           + " tickets=" + std::to_string(valid)
           + " not_allowed=" + std::to_string(advice.rejectedWorkers())
           + (advice.callPending ? " advice_pending" : "")
           + (advice.awaitsInstance && !advice.callPending ? " advice_awaits_instance" : "")
           + (advice.retryAt > now ? " advice_retry_in_ms=" + inMilliseconds(advice.retryAt - now)
                                   : std::string())
           + (step.definition->gang && step.waiting > 0
                  ? explainGang(step, m_fleet, now) + " claimed_workers=" + std::to_string(claimed)
                  : std::string())
           + explainWait(step, now) + unresponsiveWorker(step);
}

std::vector<std::string> job_scheduler::explain(const std::string &id, time_point now) const
{
    std::vector<std::string> lines;
    const auto *jobRun = job(id);
    if (!jobRun)
        return lines;
    for (const auto &[number, occurrence] : jobRun->occurrences) {
        for (const auto &step : occurrence.steps) {
            if (step.ready && !step.finished())
                lines.push_back(explainStep(step, now));
        }
    }
    return lines;
}

std::vector<job_explanation> job_scheduler::explainOverdue(std::size_t maxJobs,
                                                           time_point now) const
{
    std::vector<explaining_step> overdue;
    for (const auto &[id, job] : m_jobs) {
        if (job->state > job_state::Running)
            continue;
        const auto found = findExplainingStep(*job);
        if (found && found->onTimeUntil < now)
            overdue.push_back(*found);
    }
    return explainFirst(std::move(overdue), maxJobs, now);
}

job_explanations job_scheduler::explainUnfinished(std::size_t maxJobs, time_point now) const
{
    std::vector<explaining_step> unfinished;
    job_explanations explained;
    for (const auto &[id, job] : m_jobs) {
        if (job->state > job_state::Running || !job->stored)
            continue;
        ++explained.leftOut;
        if (const auto found = findExplainingStep(*job))
            unfinished.push_back(*found);
    }
    explained.jobs = explainFirst(std::move(unfinished), maxJobs, now);
    explained.leftOut -= explained.jobs.size();
    return explained;
}

std::vector<job_explanation> job_scheduler::explainFirst(std::vector<explaining_step> steps,
                                                         std::size_t maxJobs, time_point now) const
{
    const auto count = std::min(maxJobs, steps.size());
    std::partial_sort(steps.begin(), steps.begin() + static_cast<std::ptrdiff_t>(count),
                      steps.end());
    std::vector<job_explanation> lines;
    for (std::size_t i = 0; i < count; ++i) {
        const auto &step = *steps[i].step;
        lines.push_back({step.occurrence->job->definition.id, explainStep(step, now)});
    }
    return lines;
}

} // namespace plantaingap::jobs
