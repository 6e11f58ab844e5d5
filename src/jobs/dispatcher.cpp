#include "jobs/dispatcher.h"

#include "jobs/task_capacity.h"

#include <algorithm>

// Ordering of waiting steps and placement of tasks that can start individually.
namespace plantaingap::jobs {

namespace {

// Backfill: a short task may use the capacity reserved for a gang if it would end before the gang
// starts even when it takes this multiple of its expected duration.
constexpr double backfillSafetyFactor = 1.3;
// Time from a placement decision to the start of the run: writing to the store and sending the
// order.
constexpr std::chrono::milliseconds orderLatency {60};

// Steps that wait on in spite of a pass: so many are examined in each, and of the others so many of
// those that have not been examined for this time or to which something has happened.
constexpr std::size_t alwaysExamined = 32;
constexpr std::size_t maxDueExamined = 64;
constexpr duration examinationInterval = std::chrono::milliseconds(25);

// Lateness of a step at `now`: 0 on time, 1 late but still useful, 2 without value to its caller.
int latenessOf(const step_run &step, time_point now)
{
    const auto end = now + step.remainingChain;
    if (step.definition->longRunning || end <= step.onTimeUntil)
        return 0;
    return end <= step.lateUntil ? 1 : 2;
}

bool hasLatencyTarget(const step_definition &step)
{
    return step.latencyTarget.count() > 0;
}

// Whether it is a gang for which only steps are missing that run to their end.
bool turnComesNext(const step_run &step)
{
    const auto &steps = step.occurrence->steps;
    return step.definition->gang
           && std::ranges::all_of(step.definition->after, [&steps](std::uint32_t earlier) {
                  return earlier < steps.size() && steps[earlier].ready
                         && steps[earlier].waiting == 0;
              });
}

// Whether the run tells if the quarantined worker is sound: it was ordered since the quarantine
// began, and is not a long-running one that is at work.
bool isProbe(const worker &worker, const task_run *run)
{
    const bool proved = run->step->definition->longRunning && run->speedObserved;
    return !proved && run->orderedAt >= worker.health.quarantinedAt();
}

// Fewer failed runs of a step may be due to the workers.
constexpr std::uint32_t minFailedRuns = 3;
// A failing step leaves probes to others, however long its runs take to fail: together such steps
// take at most this share of the quarantined workers, but at least one.
constexpr std::size_t failingProbeDivisor = 2;

// A step of which nothing has run for so long may use quarantined workers, while less than this
// share of the fleet's cores is in use.
constexpr std::chrono::milliseconds maxQuarantineWait {1500};
constexpr double maxLoadForOverride = 0.5;

} // namespace

dispatcher::dispatcher(job_scheduler &scheduler, time_point now, scheduler_orders &orders)
    : m_scheduler(scheduler)
    , m_now(now)
    , m_orders(orders)
{ }

void dispatcher::run()
{
    for (auto &[id, worker] : m_scheduler.m_fleet.all()) {
        m_workers.push_back(worker.get());
        if (worker->reservedFor && worker->reservedUntil <= m_now)
            worker->reservedFor = nullptr;
        if (worker->reservedFor)
            m_reservedCapacity += worker->reservedCapacity;
        if (worker->reachable(m_now))
            m_reachableWorkers.push_back(worker.get());
        if (worker->usable(m_now))
            m_usableCapacity += worker->entry.capacity;
    }
    auto ready = readySteps();
    prepareLimits(ready);
    prioritizeOverdueGang(ready);
    prepareIsolation(ready);
    auto &counts = m_scheduler.m_passes;
    ++counts.passes;
    counts.stepsReady += ready.size();
    chooseDue(ready);
    countProbes();
    std::size_t waiting = 0;
    std::vector<const ready_step *> failing;
    for (auto &step : ready) {
        if (waiting >= alwaysExamined && !step.due)
            continue;
        ++counts.stepsExamined;
        step.failing = m_takesProbes && !step.isolated && isFailing(*step.step);
        schedule(step);
        if (step.step->waiting > 0) {
            // Any number of steps may wait for a limit; they cost little and must not use up the
            // examinations.
            waiting += step.step->heldByLimit ? 0 : 1;
            if (step.failing)
                failing.push_back(&step);
            step.step->examineAt = m_now + examinationInterval;
        }
    }
    scheduleFailing(std::move(failing));
    planGangs();
    for (const auto &step : m_nextGangs)
        requestAdviceAhead(step);
}

std::vector<dispatcher::ready_step> dispatcher::readySteps()
{
    std::vector<ready_step> found;
    for (auto &[id, job] : m_scheduler.m_jobs) {
        if (job->state > job_state::Running)
            continue;
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps) {
                if (!step.ready && turnComesNext(step))
                    m_nextGangs.push_back({&step, &m_scheduler.queueOf(*job),
                                           latenessOf(step, m_now), false, false, false, false,
                                           false});
                if (!step.ready || step.waiting == 0)
                    continue;
                if (step.definition->gang && step.waiting < step.tasks.size())
                    continue;
                const auto allWaiting = [&step](bool (crash_history::*property)() const) {
                    return step.crashed
                           && std::ranges::all_of(step.tasks, [property](const task_run &task) {
                                  return task.phase != task_phase::Waiting
                                         || (task.crashes.*property)();
                              });
                };
                found.push_back({&step, &m_scheduler.queueOf(*job), latenessOf(step, m_now),
                                 step.definition->gang ? step.suspectedGang()
                                                       : allWaiting(&crash_history::suspected),
                                 allWaiting(&crash_history::stronglySuspected), false, false,
                                 false});
            }
        }
    }
    markOverShare(found);
    std::ranges::sort(found, [](const ready_step &left, const ready_step &right) {
        const auto rank = [](const ready_step &ready) {
            const auto latestStart = ready.step->onTimeUntil - ready.step->remainingChain;
            return std::make_tuple(ready.stronglySuspected, beyondShare(*ready.step),
                                   !ready.step->definition->longRunning, ready.lateness,
                                   ready.queue->priority == 0 ? 0 : 1, ready.overShare,
                                   latestStart);
        };
        return rank(left) < rank(right);
    });
    return found;
}

// Those whose last examination is longest ago go first, so that a long backlog is gone through over
// several passes.
void dispatcher::chooseDue(std::vector<ready_step> &ready) const
{
    std::vector<std::pair<time_point, std::size_t>> due;
    for (std::size_t i = 0; i < ready.size(); ++i) {
        ready[i].due = mustExamine(ready[i]);
        if (!ready[i].due && ready[i].step->examineAt <= m_now)
            due.emplace_back(ready[i].step->examineAt, i);
    }
    const auto count = std::min(maxDueExamined, due.size());
    std::ranges::nth_element(due, due.begin() + static_cast<std::ptrdiff_t>(count));
    for (std::size_t i = 0; i < count; ++i)
        ready[due[i].second].due = true;
}

// A suspected step counts against the limit of sites, and a gang that holds capacity keeps others
// from it.
bool dispatcher::mustExamine(const ready_step &ready) const
{
    const auto &step = *ready.step;
    const auto &plan = step.gang;
    const bool reservationDue =
        plan.reserved && (*plan.startAt <= m_now || plan.nextReviewAt <= m_now);
    return ready.isolated || reservationDue || &step == m_overdueGang;
}

void dispatcher::schedule(const ready_step &ready)
{
    auto &step = *ready.step;
    step.heldByLimit = withinLimit(ready, step.definition->gang ? step.waiting : 1)
                       < (step.definition->gang ? step.waiting : 1);
    // Advice would expire before the limit leaves room.
    if (step.heldByLimit) {
        if (step.gang.reserved) {
            dropReservation(step);
            step.gang = {};
        }
        return;
    }
    if (ready.step->definition->gang) {
        scheduleGang(ready);
        return;
    }
    placeIndividually(ready);
    if (ready.step->waiting > 0 && !ready.step->heldByLimit
        && (!ready.isolated || mayRequestIsolation(ready)))
        requestAdviceForTasks(ready);
}

bool dispatcher::isFailing(const step_run &step) const
{
    return !step.definition->gang && step.failedRuns >= minFailedRuns
           && m_scheduler.m_failingKinds.mostlyFails(job_scheduler::kindOf(step));
}

void dispatcher::countProbes()
{
    std::size_t dueForProbe = 0;
    std::size_t held = 0;
    for (const auto *worker : m_reachableWorkers) {
        if (!worker->health.quarantined())
            continue;
        m_takesProbes = true;
        if (!worker->usable(m_now))
            continue;
        ++dueForProbe;
        held += std::ranges::any_of(worker->runs,
                                    [this, worker](const task_run *run) {
                                        return isProbe(*worker, run) && isFailing(*run->step);
                                    })
                    ? 1
                    : 0;
    }
    const auto limit = std::max<std::size_t>(1, dueForProbe / failingProbeDivisor);
    m_failingProbesLeft = limit > held ? limit - held : 0;
}

void dispatcher::scheduleFailing(std::vector<const ready_step *> failing)
{
    std::ranges::stable_sort(failing, {},
                             [](const ready_step *ready) { return ready->step->probedAt; });
    m_failingMayProbe = true;
    for (const auto *ready : failing) {
        if (m_failingProbesLeft == 0)
            break;
        ++m_scheduler.m_passes.stepsExamined;
        schedule(*ready);
    }
    m_failingMayProbe = false;
}

const ticket *dispatcher::validTicket(const step_run &step, const worker &worker) const
{
    const auto *found = step.advice.ticketFor(worker.ref);
    return found && found->expires > m_now ? found : nullptr;
}

bool dispatcher::eligible(const ready_step &ready, const worker &worker) const
{
    const auto &definition = *ready.step->definition;
    if (worker.entry.service != ready.queue->service || !worker.hasLabel(definition.label))
        return false;
    if (ready.isolated ? !suitsIsolation(ready, worker) : worker.isolating())
        return false;
    if (worker.health.quarantined() && !mayUseQuarantined(ready, worker))
        return false;
    if (!definition.bestEffort && !hasLatencyTarget(definition))
        return true;
    // Serving tasks and best-effort tasks disturb each other and must not share a worker.
    return std::ranges::none_of(worker.runs, [&](const task_run *run) {
        const auto &other = *run->step->definition;
        return (definition.bestEffort && hasLatencyTarget(other))
               || (hasLatencyTarget(definition) && other.bestEffort);
    });
}

bool dispatcher::hasSoundWorker(const ready_step &ready) const
{
    const auto &service = ready.queue->service;
    const auto &label = ready.step->definition->label;
    const auto [known, isNew] = m_soundKinds.try_emplace({service, label}, false);
    if (isNew) {
        known->second = std::ranges::any_of(m_reachableWorkers, [&](const worker *worker) {
            return worker->entry.service == service && worker->hasLabel(label)
                   && !worker->health.quarantined();
        });
    }
    return known->second;
}

// Without any sound worker of its kind the failures are likely those of jobs, and starting nothing
// helps no caller. The same holds for a step of which nothing has run for long in a fleet that has
// room: what it waits for may never come.
bool dispatcher::overridesQuarantine(const ready_step &ready) const
{
    if (!hasSoundWorker(ready))
        return true;
    return m_scheduler.m_fleetLoad < maxLoadForOverride
           && waitOf(*ready.step, m_now) >= maxQuarantineWait;
}

bool dispatcher::isAvailable(const ready_step &ready, const worker &worker) const
{
    return worker.usable(m_now) || (worker.reachable(m_now) && overridesQuarantine(ready));
}

// A quarantined worker gets runs of one step or a late gang as probes, beside runs that tell
// nothing about it.
bool dispatcher::mayUseQuarantined(const ready_step &ready, const worker &worker) const
{
    if (ready.failing && !m_failingMayProbe)
        return false;
    const bool onTimeGang = ready.step->definition->gang && ready.lateness == 0;
    const bool probes = worker.usable(m_now) && !onTimeGang
                        && std::ranges::none_of(
                            worker.runs, [&](const task_run *run) { return isProbe(worker, run); });
    return probes || overridesQuarantine(ready);
}

std::vector<worker *> dispatcher::allowedWorkers(const ready_step &ready) const
{
    std::vector<worker *> found;
    if (!ready.queue->advisor) {
        m_scheduler.m_passes.workersExamined += m_reachableWorkers.size();
        std::ranges::copy_if(m_reachableWorkers, std::back_inserter(found),
                             [&](const worker *worker) { return eligible(ready, *worker); });
        return found;
    }
    const auto &advice = ready.step->advice;
    if (!advice.mayHaveTicket(m_now))
        return found;
    m_scheduler.m_passes.workersExamined += advice.allowed().size();
    for (const auto &[ref, held] : advice.allowed()) {
        auto *worker = held.expires > m_now ? m_scheduler.m_fleet.find(ref) : nullptr;
        if (worker && worker->reachable(m_now) && eligible(ready, *worker))
            found.push_back(worker);
    }
    return found;
}

std::uint32_t dispatcher::tasksOn(const step_run &step, const worker &worker)
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        worker.runs, [&step](const task_run *run) { return run->step == &step; }));
}

std::uint32_t dispatcher::freeTaskSlots(const ready_step &ready, const worker &worker) const
{
    const auto &definition = *ready.step->definition;
    const auto count =
        tasksThatFit(effectiveDemand(definition), worker.free() - reservedForOthers(ready, worker));
    if (definition.maxPerWorker == 0)
        return count;
    const auto placed = tasksOn(*ready.step, worker);
    return std::min(count, definition.maxPerWorker > placed ? definition.maxPerWorker - placed : 0);
}

std::uint32_t dispatcher::totalTaskSlots(const ready_step &ready, const worker &worker)
{
    const auto &definition = *ready.step->definition;
    const auto count =
        tasksThatFit(effectiveDemand(definition), worker.entry.capacity - worker.usedByLongRunning);
    return definition.maxPerWorker > 0 ? std::min(count, definition.maxPerWorker) : count;
}

bool dispatcher::stepFailedOn(const ready_step &ready, const worker &worker)
{
    const auto &failed = ready.step->failedOn;
    return std::ranges::find(failed, worker.entry.id) != failed.end();
}

resources dispatcher::reservedForOthers(const ready_step &ready, const worker &worker) const
{
    if (!worker.reservedFor || worker.reservedFor == ready.step || ready.step == m_overdueGang)
        return {};
    // It never ends, so it would have to wait for a worker without reservations for ever.
    if (ready.step->definition->longRunning)
        return {};
    if (beyondShare(*worker.reservedFor) && !beyondShare(*ready.step))
        return {};
    const auto expectedRun =
        std::chrono::duration_cast<duration>(ready.step->expectedDuration * backfillSafetyFactor);
    return m_now + expectedRun + orderLatency > worker.reservedStart ? worker.reservedCapacity
                                                                     : resources {};
}

bool dispatcher::hasRunOf(kind_set kinds, const worker &worker) const
{
    return kinds != 0 && std::ranges::any_of(worker.runs, [&](const task_run *run) {
               return m_scheduler.m_interference.contains(
                   kinds, job_scheduler::interferenceKindOf(*run->step));
           });
}

// Best fit: the worker with the least capacity left, so that large free blocks remain for large
// tasks. Long-running tasks are spread instead. Workers in the rack of the data are preferred, then
// those without tasks of kinds that slow each other down with the step's; those that are
// quarantined and not due for a probe, are slow or failed the step come last.
worker *dispatcher::chooseWorker(const ready_step &ready,
                                 const std::vector<worker *> &workers) const
{
    const auto &definition = *ready.step->definition;
    const auto apart =
        m_scheduler.m_interference.apartFrom(job_scheduler::interferenceKindOf(*ready.step));
    worker *best = nullptr;
    auto bestRank =
        std::make_tuple(true, true, true, true, true, std::int64_t {0}, std::int64_t {0});
    for (auto *worker : workers) {
        if (freeTaskSlots(ready, *worker) == 0)
            continue;
        const bool remote = !definition.dataRack.empty() && worker->rack != definition.dataRack;
        const auto left = worker->free() - effectiveDemand(definition);
        const auto spread = definition.longRunning ? -left.milliCores : left.milliCores;
        const auto rank = std::make_tuple(!worker->usable(m_now), stepFailedOn(ready, *worker),
                                          worker->speed.slow(), remote, hasRunOf(apart, *worker),
                                          spread, left.memoryMib);
        if (!best || rank < bestRank) {
            best = worker;
            bestRank = rank;
        }
    }
    return best;
}

void dispatcher::assign(task_run &task, worker &worker, std::uint32_t attempt)
{
    auto &step = *task.step;
    m_scheduler.allocate(task, worker);
    task.attempt = attempt;
    task.phase = task_phase::Recording;
    task.ticket.clear();
    if (const auto *held = validTicket(step, worker))
        task.ticket = held->text;
    auto &job = *step.occurrence->job;
    m_scheduler.m_effects[job.definition.id].push_back({&task, attempt, {}, 0, 0});
    m_scheduler.markChanged(job);
}

void dispatcher::placeIndividually(const ready_step &ready)
{
    auto &step = *ready.step;
    auto workers = allowedWorkers(ready);
    if (workers.empty())
        return;
    for (auto &task : step.tasks) {
        if (task.phase != task_phase::Waiting)
            continue;
        if (withinLimit(ready, 1) == 0) {
            step.heldByLimit = true;
            return;
        }
        if (task.crashes.suspected()) {
            placeIsolated(ready, task, workers);
            continue;
        }
        auto *worker = chooseWorker(ready, workers);
        if (!worker)
            return;
        assign(task, *worker, task.attempt + 1);
        if (!ready.failing || !worker->health.quarantined())
            continue;
        // The next probe goes to another failing step, if there is one.
        step.probedAt = m_now;
        --m_failingProbesLeft;
        std::erase_if(workers, [](const auto *other) { return other->health.quarantined(); });
    }
}

} // namespace plantaingap::jobs
