#include "jobs/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

// Gangs that keep room for themselves at one time; more would leave too little for the rest.
constexpr std::uint32_t mostReservations = 3;
constexpr std::chrono::milliseconds reservation {1000};
// Room named in a call for advice, as a multiple of what the step needs.
constexpr double namedRoom = 1.4;
// An empty worker's room counts this much towards a gang that may wait for it.
constexpr double laterRoom = 0.5;
// A gang looks for more workers until those allowed could hold it this many times over when empty.
constexpr double gangReach = 1.5;
// From the advisor's answer to the placement that uses it.
constexpr std::chrono::milliseconds adviceWay {80};
constexpr std::size_t fewestNamed = 3;
// The platform's bound on one call.
constexpr std::size_t mostNamed = 100;
// A gang's call names room for this many times its tasks: few of the workers are allowed, and one
// that is missing costs another call.
constexpr double namedForGang = 2.2;

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
        if (at->usable(m_now))
            m_usable.push_back(at.get());
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
    if (one.step->definition->gang) {
        serveGang(one);
        return;
    }
    placeSingly(one);
    if (one.step->waiting > 0 && mayAsk(one))
        askForRoom(one);
}

void dispatcher::serveGang(const candidate &one)
{
    if (placeGang(one))
        return;
    reserve(one);
    if (mayAsk(one))
        askForGang(one);
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
    if (!definition.filler && !servesUsers(definition))
        return true;
    // Served tasks and fillers disturb each other; they are kept apart.
    return std::ranges::none_of(at.runs, [&](const task_run *run) {
        const auto &other = *run->step->definition;
        return (definition.filler && servesUsers(other))
               || (servesUsers(definition) && other.filler);
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
    auto count = fits(effectiveNeed(definition), at.free());
    if (definition.mostPerWorker > 0) {
        const auto there = tasksOn(*one.step, at);
        count = std::min(count,
                         definition.mostPerWorker > there ? definition.mostPerWorker - there : 0U);
    }
    return count;
}

std::uint32_t dispatcher::emptyRoom(const candidate &one, const worker &at)
{
    const auto &definition = *one.step->definition;
    const auto count = fits(effectiveNeed(definition), at.entry.capacity);
    return definition.mostPerWorker > 0 ? std::min(count, definition.mostPerWorker) : count;
}

std::uint32_t dispatcher::soonRoom(const candidate &one, const worker &at) const
{
    const auto &definition = *one.step->definition;
    const auto until = m_now + one.queue->advisor->decide + adviceWay;
    auto free = at.free();
    for (const auto *run : at.runs) {
        const auto &other = *run->step->definition;
        if (run->phase == task_phase::Running && expectedEnd(*run, other.estimate) <= until)
            free += effectiveNeed(other);
    }
    auto count = fits(effectiveNeed(definition), free);
    if (definition.mostPerWorker > 0)
        count = std::min(count, definition.mostPerWorker);
    return count;
}

bool dispatcher::failedThere(const candidate &one, const worker &at)
{
    const auto &failed = one.step->failedOn;
    return std::ranges::find(failed, at.entry.id) != failed.end();
}

bool dispatcher::keptForOther(const candidate &one, const worker &at)
{
    return at.reservedFor && at.reservedFor != one.step;
}

// The tightest worker that has room, so that wide holes stay for wide tasks; data's rack first.
worker *dispatcher::choose(const candidate &one, const std::vector<worker *> &among,
                           bool intoReserved) const
{
    const auto &definition = *one.step->definition;
    worker *best = nullptr;
    auto bestRank = std::make_tuple(true, true, true, std::int64_t {0}, std::int64_t {0});
    for (auto *at : among) {
        if (room(one, *at) == 0 || (!intoReserved && keptForOther(one, *at)))
            continue;
        const bool far = !definition.dataRack.empty() && at->rack != definition.dataRack;
        const auto left = at->free() - effectiveNeed(definition);
        const auto spread = definition.lasting ? -left.milliCores : left.milliCores;
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
    const bool urgent = one.queue->priority == 0 && one.band == 0;
    for (auto &task : step.tasks) {
        if (task.phase != task_phase::Waiting)
            continue;
        auto *at = choose(one, among, false);
        if (!at && urgent)
            at = choose(one, among, true);
        if (!at)
            return;
        assign(task, *at, task.attempt + 1);
    }
}

// All members or none, on as few workers as will do.
bool dispatcher::placeGang(const candidate &one)
{
    auto &step = *one.step;
    std::vector<gang_place> places;
    std::uint32_t total = 0;
    for (auto *at : allowed(one)) {
        const auto count = keptForOther(one, *at) ? 0 : room(one, *at);
        if (count == 0)
            continue;
        // The slowest member holds up a gang, and a failed one ends it.
        const bool poor = at->speed.slow() || failedThere(one, *at);
        places.push_back({poor, count, at});
        total += count;
    }
    if (total < step.tasks.size())
        return false;
    std::ranges::stable_sort(places, [](const gang_place &a, const gang_place &b) {
        return std::make_pair(a.poor, -std::int64_t {a.count})
               < std::make_pair(b.poor, -std::int64_t {b.count});
    });
    std::uint32_t attempt = 0;
    std::string checkpoint;
    for (const auto &task : step.tasks) {
        attempt = std::max(attempt, task.attempt);
        if (!task.checkpoint.empty())
            checkpoint = task.checkpoint;
    }
    std::size_t next = 0;
    for (const auto &[poor, count, at] : places) {
        for (std::uint32_t i = 0; i < count && next < step.tasks.size(); ++i) {
            auto &task = step.tasks[next++];
            task.checkpoint = checkpoint;
            assign(task, *at, attempt + 1);
        }
    }
    for (auto *at : m_usable) {
        if (at->reservedFor == &step)
            at->reservedFor = nullptr;
    }
    return true;
}

// Keeps others off workers on which the gang may run, those nearest to being free first, until it
// fits.
void dispatcher::reserve(const candidate &one)
{
    if (one.band > 1 || m_reservations >= mostReservations)
        return;
    std::vector<worker *> options;
    for (auto *at : m_usable) {
        const bool good = !one.queue->advisor || one.step->advice.good.contains(at->entry.id);
        if (good && eligible(one, *at) && !keptForOther(one, *at) && !at->speed.slow())
            options.push_back(at);
    }
    if (options.empty())
        return;
    ++m_reservations;
    std::ranges::stable_sort(options, [](const worker *a, const worker *b) {
        return a->free().milliCores > b->free().milliCores;
    });
    const auto wanted = static_cast<double>(one.step->tasks.size());
    double expected = 0;
    for (auto *at : options) {
        if (expected >= wanted)
            break;
        const double now = room(one, *at);
        expected += now + laterRoom * (emptyRoom(one, *at) - now);
        at->reservedFor = one.step;
        at->reservedUntil = m_now + reservation;
    }
}

// Advice.

bool dispatcher::mayAsk(const candidate &one) const
{
    if (!one.queue->advisor)
        return false;
    const auto &advice = one.step->advice;
    if (advice.asking || advice.askAgain > m_now)
        return false;
    const bool shortCall = one.queue->advisor->decide <= shortAdvice;
    return (shortCall ? m_lanes.shortCalls : m_lanes.longCalls) > 0;
}

// Workers that may be asked about: those known to be allowed, or those not asked about before.
std::vector<dispatcher::prospect> dispatcher::prospects(const candidate &one, bool known,
                                                        room_kind kind) const
{
    const auto &advice = one.step->advice;
    const auto salt = std::hash<std::string> {}(one.step->occurrence->job->definition.id);
    const double share = known ? 1.0 : m_owner.goodShare(one.queue->name);
    std::vector<prospect> found;
    for (auto *at : m_usable) {
        if (!eligible(one, *at) || keptForOther(one, *at))
            continue;
        // While there is time for better ones.
        if (at->speed.slow() && one.band == 0)
            continue;
        if (advice.good.contains(at->entry.id) != known)
            continue;
        if (!known && std::ranges::find(advice.bad, at->entry.id) != advice.bad.end())
            continue;
        double tasks = kind == room_kind::Now ? room(one, *at) : soonRoom(one, *at);
        if (kind == room_kind::Later)
            tasks += laterRoom * (emptyRoom(one, *at) - tasks);
        if (tasks <= 0)
            continue;
        const auto mix = (std::hash<std::string> {}(at->entry.id) ^ salt) * 0x9E3779B97F4A7C15U;
        found.push_back({at, tasks * share, mix});
    }
    std::ranges::sort(found, [](const prospect &a, const prospect &b) {
        return std::make_pair(-a.tasks, a.mix) < std::make_pair(-b.tasks, b.mix);
    });
    return found;
}

// Tasks that can start one by one: asked about only where there is room for one at least.
void dispatcher::askForRoom(const candidate &one)
{
    auto found = prospects(one, true, room_kind::Now);
    std::erase_if(found, [&](const prospect &each) { return validTicket(*one.step, *each.at); });
    const double wanted = namedRoom * one.step->waiting;
    double expected = 0;
    for (const auto &each : found)
        expected += each.tasks;
    if (expected < wanted) {
        auto unknown = prospects(one, false, room_kind::Now);
        std::ranges::move(unknown, std::back_inserter(found));
    }
    ask(one, found, wanted);
}

// A gang asks about so many workers with room that one call should do. Where that fails it knows
// more, keeps room there, and asks again when there is enough of it.
void dispatcher::askForGang(const candidate &one)
{
    const auto tasks = static_cast<double>(one.step->tasks.size());
    const auto sum = [](const std::vector<prospect> &found) {
        double all = 0;
        for (const auto &each : found)
            all += each.tasks;
        return all;
    };
    auto known = prospects(one, true, room_kind::Soon);
    if (sum(known) >= tasks) {
        ask(one, known, tasks);
        return;
    }
    auto unknown = prospects(one, false, room_kind::Soon);
    if (sum(known) + sum(unknown) >= tasks) {
        std::ranges::move(unknown, std::back_inserter(known));
        ask(one, known, namedForGang * tasks);
        return;
    }
    double reach = 0;
    for (const auto &[id, held] : one.step->advice.good) {
        const auto *at = m_owner.m_fleet.find(id);
        reach += at && at->usable(m_now) ? emptyRoom(one, *at) : 0;
    }
    if (reach < gangReach * tasks)
        ask(one, prospects(one, false, room_kind::Later), gangReach * tasks - reach);
}

void dispatcher::ask(const candidate &one, const std::vector<prospect> &found, double wanted)
{
    auto &step = *one.step;
    advice_request request;
    double expected = 0;
    for (const auto &each : found) {
        const bool enough = expected >= wanted && request.workers.size() >= fewestNamed;
        if (enough || request.workers.size() >= mostNamed)
            break;
        request.workers.push_back(each.at->entry.id);
        expected += each.tasks;
    }
    if (request.workers.empty())
        return;
    const auto &cost = *one.queue->advisor;
    --(cost.decide <= shortAdvice ? m_lanes.shortCalls : m_lanes.longCalls);
    const task_name name {step.occurrence->job->definition.id, step.occurrence->number, step.number,
                          0};
    const auto text = name.text();
    request.step = text.substr(0, text.rfind('.'));
    request.queue = one.queue->name;
    request.decide = cost.decide;
    request.cost = cost.decide + cost.perWorker * static_cast<int>(request.workers.size());
    step.advice.asking = true;
    m_orders.advice.push_back(std::move(request));
}

} // namespace plantaingap::jobs
