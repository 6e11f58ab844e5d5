#include "jobs/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

// Gangs that keep room for themselves at one time; more would leave too little for the rest.
constexpr std::uint32_t mostReservations = 3;
// Part of the workers asked about that an advisor is taken to allow.
constexpr double expectedGoodShare = 0.4;
// Room named in a call for advice, as a multiple of what the step needs.
constexpr double namedRoom = 1.6;
constexpr std::size_t fewestNamed = 4;
// The platform's bound on one call.
constexpr std::size_t mostNamed = 100;

// The worth of a step now: 0 on time, 1 late but of use, 2 of no use to its caller any more.
int bandOf(const step_run &step, time_point now)
{
    const auto end = now + step.chainLeft;
    if (step.definition->lasting || end <= step.onTime)
        return 0;
    return end <= step.lateUntil ? 1 : 2;
}

std::uint32_t fits(const resources &need, const resources &free)
{
    std::int64_t most = 1'000'000;
    if (need.milliCores > 0)
        most = std::min(most, free.milliCores / need.milliCores);
    if (need.memoryMib > 0)
        most = std::min(most, free.memoryMib / need.memoryMib);
    if (need.accelerators > 0)
        most = std::min(most, free.accelerators / need.accelerators);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(most, 0));
}

resources effectiveNeed(const step_definition &step)
{
    auto need = step.need;
    if (step.filler)
        need.milliCores = 0;
    return need;
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
    , m_lanes(owner.m_lanes)
{ }

void dispatcher::run()
{
    for (auto &[id, at] : m_owner.m_fleet.all()) {
        if (at->reservedFor && at->reservedUntil <= m_now)
            at->reservedFor = nullptr;
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
            return std::make_tuple(!one.step->definition->lasting, one.band,
                                   one.queue->priority == 0 ? 0 : 1, latestStart);
        };
        return rank(left) < rank(right);
    });
    return ready;
}

void dispatcher::serve(const candidate &one)
{
    auto &step = *one.step;
    if (one.queue->advisor) {
        const bool any = std::ranges::any_of(step.advice.good, [&](const auto &entry) {
            return entry.second.expires > m_now;
        });
        if (!any) {
            askAdvice(one);
            return;
        }
    }
    if (!step.definition->gang) {
        placeSingly(one);
        if (step.waiting > 0 && one.queue->advisor)
            askAdvice(one);
        return;
    }
    if (placeGang(one))
        return;
    reserve(one);
    if (one.queue->advisor)
        askAdvice(one);
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
    if (!at.usable(m_now) || at.entry.service != one.queue->service
        || !at.hasLabel(definition.label)) {
        return false;
    }
    // Served tasks and fillers disturb each other; they are kept apart.
    const bool clash = std::ranges::any_of(at.runs, [&](const task_run *run) {
        const auto &other = *run->step->definition;
        return (definition.filler && servesUsers(other))
               || (servesUsers(definition) && other.filler);
    });
    return !clash;
}

std::uint32_t dispatcher::tasksOn(const step_run &step, const worker &at) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        at.runs, [&step](const task_run *run) { return run->step == &step; }));
}

std::uint32_t dispatcher::room(const candidate &one, const worker &at) const
{
    const auto &definition = *one.step->definition;
    auto count = fits(effectiveNeed(definition), at.free());
    if (definition.mostPerWorker > 0) {
        const auto there = tasksOn(*one.step, at);
        count = std::min(count, definition.mostPerWorker > there
                                    ? definition.mostPerWorker - there
                                    : 0U);
    }
    return count;
}

bool dispatcher::keptForOther(const candidate &one, const worker &at) const
{
    return at.reservedFor && at.reservedFor != one.step;
}

// The tightest worker that has room, so that wide holes stay for wide tasks; data's rack first.
worker *dispatcher::choose(const candidate &one, bool intoReserved) const
{
    const auto &definition = *one.step->definition;
    worker *best = nullptr;
    auto bestRank = std::make_tuple(true, std::int64_t {0}, std::int64_t {0});
    for (auto &[id, at] : m_owner.m_fleet.all()) {
        if (!eligible(one, *at) || room(one, *at) == 0)
            continue;
        if (one.queue->advisor && !validTicket(*one.step, *at))
            continue;
        if (!intoReserved && keptForOther(one, *at))
            continue;
        const bool far = !definition.dataRack.empty() && at->rack != definition.dataRack;
        const auto left = at->free() - effectiveNeed(definition);
        const auto spread = definition.lasting ? -left.milliCores : left.milliCores;
        const auto rank = std::make_tuple(far, spread, left.memoryMib);
        if (!best || rank < bestRank) {
            best = at.get();
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
    const bool urgent = one.queue->priority == 0 && one.band == 0;
    for (auto &task : step.tasks) {
        if (task.phase != task_phase::Waiting)
            continue;
        auto *at = choose(one, false);
        if (!at && urgent)
            at = choose(one, true);
        if (!at)
            return;
        assign(task, *at, task.attempt + 1);
    }
}

// All members or none, on as few workers as will do.
bool dispatcher::placeGang(const candidate &one)
{
    auto &step = *one.step;
    std::vector<std::pair<std::uint32_t, worker *>> places;
    std::uint32_t total = 0;
    for (auto &[id, at] : m_owner.m_fleet.all()) {
        if (!eligible(one, *at) || keptForOther(one, *at))
            continue;
        if (one.queue->advisor && !validTicket(step, *at))
            continue;
        if (const auto count = room(one, *at); count > 0) {
            places.emplace_back(count, at.get());
            total += count;
        }
    }
    if (total < step.tasks.size())
        return false;
    std::ranges::stable_sort(places, [](const auto &a, const auto &b) { return a.first > b.first; });
    std::uint32_t attempt = 0;
    for (const auto &task : step.tasks)
        attempt = std::max(attempt, task.attempt);
    std::string checkpoint;
    for (const auto &task : step.tasks) {
        if (!task.checkpoint.empty())
            checkpoint = task.checkpoint;
    }
    std::size_t next = 0;
    for (auto &[count, at] : places) {
        for (std::uint32_t i = 0; i < count && next < step.tasks.size(); ++i) {
            auto &task = step.tasks[next++];
            task.checkpoint = checkpoint;
            assign(task, *at, attempt + 1);
        }
    }
    for (auto &[id, at] : m_owner.m_fleet.all()) {
        if (at->reservedFor == &step)
            at->reservedFor = nullptr;
    }
    return true;
}

// Keeps others off the workers on which the gang could run, until it fits.
void dispatcher::reserve(const candidate &one)
{
    constexpr std::chrono::milliseconds reservation {1000};
    if (one.band > 0 || m_reservations >= mostReservations)
        return;
    ++m_reservations;
    std::uint32_t total = 0;
    const auto wanted = static_cast<std::uint32_t>(one.step->tasks.size());
    for (auto &[id, at] : m_owner.m_fleet.all()) {
        if (total >= wanted)
            break;
        if (!eligible(one, *at) || keptForOther(one, *at))
            continue;
        if (one.queue->advisor && !one.step->advice.good.contains(id))
            continue;
        at->reservedFor = one.step;
        at->reservedUntil = m_now + reservation;
        total += fits(effectiveNeed(*one.step->definition), at->entry.capacity);
    }
}

void dispatcher::askAdvice(const candidate &one)
{
    auto &step = *one.step;
    auto &advice = step.advice;
    if (advice.asking || advice.askAgain > m_now)
        return;
    const bool shortCall = one.queue->advisor->decide <= shortAdvice;
    auto &lanes = shortCall ? m_lanes.shortCalls : m_lanes.longCalls;
    if (lanes == 0)
        return;
    std::vector<std::pair<double, const worker *>> options;
    for (const auto &[id, at] : m_owner.m_fleet.all()) {
        if (!eligible(one, *at))
            continue;
        if (std::ranges::find(advice.bad, id) != advice.bad.end())
            continue;
        const bool known = advice.good.contains(id);
        // A worker that is busy now may have room when the answer is there.
        const auto now = static_cast<double>(room(one, *at));
        const auto later = fits(effectiveNeed(*step.definition), at->entry.capacity);
        const auto weight = now + 0.2 * static_cast<double>(later);
        options.emplace_back(weight * (known ? 1.0 / expectedGoodShare : 1.0), at.get());
    }
    // Equal workers in an order of the step's own, so that steps do not crowd the same ones.
    const auto salt = std::hash<std::string> {}(step.occurrence->job->definition.id);
    std::ranges::sort(options, [salt](const auto &left, const auto &right) {
        const auto mix = [salt](const worker *at) {
            return std::hash<std::string> {}(at->entry.id) ^ salt;
        };
        if (left.first != right.first)
            return left.first > right.first;
        return mix(left.second) * 0x9E3779B97F4A7C15U < mix(right.second) * 0x9E3779B97F4A7C15U;
    });
    advice_request request;
    double expected = 0;
    for (const auto &[weight, at] : options) {
        const bool enough = expected >= namedRoom * static_cast<double>(step.waiting);
        if (request.workers.size() >= mostNamed || (enough && request.workers.size() >= fewestNamed))
            break;
        request.workers.push_back(at->entry.id);
        expected += weight * expectedGoodShare;
    }
    if (request.workers.empty())
        return;
    --lanes;
    const task_name name {step.occurrence->job->definition.id, step.occurrence->number, step.number,
                          0};
    const auto text = name.text();
    request.step = text.substr(0, text.rfind('.'));
    request.queue = one.queue->name;
    request.decide = one.queue->advisor->decide;
    request.cost = one.queue->advisor->decide
                   + one.queue->advisor->perWorker * static_cast<int>(request.workers.size());
    advice.asking = true;
    m_orders.advice.push_back(std::move(request));
}

} // namespace plantaingap::jobs
