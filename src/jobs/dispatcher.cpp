#include "jobs/dispatcher.h"

#include "jobs/task_capacity.h"

#include <algorithm>

// The order of waiting steps, and the placement of tasks that can start one by one.
namespace plantaingap::jobs {

namespace {

// Short work may use a gang's room when it would have ended this many times over before the gang
// begins; expectations are off.
constexpr double backfillReserve = 1.3;
// From a decision to the run at its worker: the record in the store and the order's way.
constexpr std::chrono::milliseconds orderWay {60};

// The worth of a step now: 0 on time, 1 late but of use, 2 of no use to its caller any more.
int bandOf(const step_run &step, time_point now)
{
    const auto end = now + step.chainLeft;
    if (step.definition->longRunning || end <= step.onTime)
        return 0;
    return end <= step.lateUntil ? 1 : 2;
}

bool servesUsers(const step_definition &step)
{
    return step.latencyTarget.count() > 0;
}

} // namespace

dispatcher::dispatcher(job_scheduler &owner, time_point now, scheduler_orders &orders)
    : m_owner(owner)
    , m_now(now)
    , m_orders(orders)
{ }

void dispatcher::run()
{
    for (auto &[id, at] : m_owner.m_fleet.all()) {
        if (at->reservedFor && at->reservedUntil <= m_now)
            at->reservedFor = nullptr;
        if (at->reservedFor)
            m_reservedRoom += at->reservedRoom;
        if (at->usable(m_now)) {
            m_usable.push_back(at.get());
            m_usableRoom += at->entry.capacity;
        }
    }
    for (const auto &one : readySteps())
        serve(one);
}

std::vector<dispatcher::candidate> dispatcher::readySteps()
{
    std::vector<candidate> ready;
    for (auto &[id, job] : m_owner.m_jobs) {
        if (job->state > job_state::Running)
            continue;
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps) {
                if (!step.ready || step.waiting == 0)
                    continue;
                if (step.definition->gang && step.waiting < step.tasks.size())
                    continue;
                ready.push_back({&step, &m_owner.queueOf(*job), bandOf(step, m_now)});
            }
        }
    }
    std::ranges::sort(ready, [](const candidate &left, const candidate &right) {
        const auto rank = [](const candidate &one) {
            const auto latestStart = one.step->onTime - one.step->chainLeft;
            return std::make_tuple(!one.step->definition->longRunning, one.band,
                                   one.queue->priority == 0 ? 0 : 1, latestStart);
        };
        return rank(left) < rank(right);
    });
    return ready;
}

void dispatcher::serve(const candidate &one)
{
    if (one.step->definition->gang) {
        serveGang(one);
        return;
    }
    placeSingly(one);
    if (one.step->waiting > 0)
        askForRoom(one);
}

const ticket *dispatcher::validTicket(const step_run &step, const worker &at) const
{
    const auto found = step.advice.good.find(at.entry.id);
    if (found == step.advice.good.end() || found->second.expires <= m_now)
        return nullptr;
    return &found->second;
}

bool dispatcher::eligible(const candidate &one, const worker &at) const
{
    const auto &definition = *one.step->definition;
    if (at.entry.service != one.queue->service || !at.hasLabel(definition.label))
        return false;
    // A worker that is set aside gets a single run to prove itself.
    if (at.health.quarantined() && (definition.gang || !at.runs.empty()))
        return false;
    if (!definition.bestEffort && !servesUsers(definition))
        return true;
    // Served tasks and fillers disturb each other; they are kept apart.
    return std::ranges::none_of(at.runs, [&](const task_run *run) {
        const auto &other = *run->step->definition;
        return (definition.bestEffort && servesUsers(other))
               || (servesUsers(definition) && other.bestEffort);
    });
}

std::vector<worker *> dispatcher::allowed(const candidate &one) const
{
    std::vector<worker *> found;
    if (!one.queue->advisor) {
        std::ranges::copy_if(m_usable, std::back_inserter(found),
                             [&](const worker *at) { return eligible(one, *at); });
        return found;
    }
    for (const auto &[id, held] : one.step->advice.good) {
        auto *at = held.expires > m_now ? m_owner.m_fleet.find(id) : nullptr;
        if (at && at->usable(m_now) && eligible(one, *at))
            found.push_back(at);
    }
    return found;
}

std::uint32_t dispatcher::tasksOn(const step_run &step, const worker &at)
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        at.runs, [&step](const task_run *run) { return run->step == &step; }));
}

std::uint32_t dispatcher::room(const candidate &one, const worker &at) const
{
    const auto &definition = *one.step->definition;
    const auto count = fits(effectiveDemand(definition), at.free() - keptForOther(one, at));
    if (definition.maxPerWorker == 0)
        return count;
    const auto there = tasksOn(*one.step, at);
    return std::min(count, definition.maxPerWorker > there ? definition.maxPerWorker - there : 0);
}

std::uint32_t dispatcher::emptyRoom(const candidate &one, const worker &at)
{
    const auto &definition = *one.step->definition;
    const auto count = fits(effectiveDemand(definition), at.entry.capacity);
    return definition.maxPerWorker > 0 ? std::min(count, definition.maxPerWorker) : count;
}

bool dispatcher::failedThere(const candidate &one, const worker &at)
{
    const auto &failed = one.step->failedOn;
    return std::ranges::find(failed, at.entry.id) != failed.end();
}

resources dispatcher::keptForOther(const candidate &one, const worker &at) const
{
    if (!at.reservedFor || at.reservedFor == one.step)
        return {};
    const auto takes = std::chrono::duration_cast<duration>(one.step->expected * backfillReserve);
    return m_now + takes + orderWay > at.reservedStart ? at.reservedRoom : resources {};
}

// The tightest worker that has room, so that wide holes stay for wide tasks; data's rack first.
worker *dispatcher::choose(const candidate &one, const std::vector<worker *> &among) const
{
    const auto &definition = *one.step->definition;
    worker *best = nullptr;
    auto bestRank = std::make_tuple(true, true, true, std::int64_t {0}, std::int64_t {0});
    for (auto *at : among) {
        if (room(one, *at) == 0)
            continue;
        const bool far = !definition.dataRack.empty() && at->rack != definition.dataRack;
        const auto left = at->free() - effectiveDemand(definition);
        const auto spread = definition.longRunning ? -left.milliCores : left.milliCores;
        const auto rank =
            std::make_tuple(failedThere(one, *at), at->speed.slow(), far, spread, left.memoryMib);
        if (!best || rank < bestRank) {
            best = at;
            bestRank = rank;
        }
    }
    return best;
}

void dispatcher::assign(task_run &task, worker &at, std::uint32_t attempt)
{
    auto &step = *task.step;
    m_owner.occupy(task, at);
    task.attempt = attempt;
    task.phase = task_phase::Recording;
    task.ticket.clear();
    if (const auto *held = validTicket(step, at))
        task.ticket = held->text;
    auto &job = *step.occurrence->job;
    m_owner.m_effects[job.definition.id].push_back({&task, attempt, {}, 0, 0});
    m_owner.touch(job);
}

void dispatcher::placeSingly(const candidate &one)
{
    auto &step = *one.step;
    const auto among = allowed(one);
    if (among.empty())
        return;
    for (auto &task : step.tasks) {
        if (task.phase != task_phase::Waiting)
            continue;
        auto *at = choose(one, among);
        if (!at)
            return;
        assign(task, *at, task.attempt + 1);
    }
}

} // namespace plantaingap::jobs
