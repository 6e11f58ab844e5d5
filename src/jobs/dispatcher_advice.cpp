#include "jobs/dispatcher.h"

#include <algorithm>

// Requests to the placement advisor: when to send them and which workers to name.
namespace plantaingap::jobs {

namespace {

// Capacity of the workers named in a call, as a multiple of the demand of the step.
constexpr double requestedCapacityFactor = 1.4;
// Weight of capacity that becomes free later, for steps that can wait for it.
constexpr double occupiedCapacityWeight = 0.5;
constexpr std::size_t minWorkersPerCall = 3;
// A call for a gang names additional workers up to 1/4 of the fixed call duration, because another
// call would cost more.
constexpr int perCallCostDivisor = 4;
// Platform limit for one call.
constexpr std::size_t maxWorkersPerCall = 100;
// Calls for a gang name workers until the allowed ones could hold the gang 2.6 times when half
// empty, and up to 4 times while the gang would have to wait long.
constexpr double baseCapacityFactor = 2.6;
constexpr double maxCapacityFactor = 4.0;
// A gang that would wait longer than this requests advice about more workers, at this interval.
constexpr std::chrono::milliseconds longGangWait {800};
constexpr std::chrono::milliseconds discoveryInterval {400};
// Interval between looks at whether the known workers still suffice.
constexpr std::chrono::milliseconds reviewInterval {100};
// Tickets are requested this long, plus the call duration, before capacity becomes free. It covers
// the latency to and from the advisor and its other calls.
constexpr std::chrono::milliseconds ticketLatency {150};
// A renewal includes workers whose tickets expire within this time after the planned start, because
// the start may be delayed.
constexpr std::chrono::milliseconds startDelayMargin {400};

std::size_t callClass(std::chrono::microseconds serviceTime)
{
    return static_cast<std::size_t>(advisor_call_router::classOf(serviceTime));
}

} // namespace

bool dispatcher::canRequestAdvice(const ready_step &ready) const
{
    auto &advice = ready.step->advice;
    advice.awaitsInstance = false;
    if (!ready.queue->advisor || advice.callPending || advice.retryAt > m_now)
        return false;
    advice.awaitsInstance = m_callClassBusy[callClass(callDuration(ready, minWorkersPerCall))];
    return !advice.awaitsInstance;
}

std::chrono::microseconds dispatcher::callDuration(const ready_step &ready, std::size_t workers)
{
    const auto &cost = *ready.queue->advisor;
    return cost.perCall + cost.perWorker * static_cast<int>(workers);
}

// Workers to name in a call: those already allowed, or those not yet asked about.
std::vector<dispatcher::advice_candidate>
dispatcher::adviceCandidates(const ready_step &ready, bool allowedBefore, capacity_kind kind) const
{
    const auto &advice = ready.step->advice;
    const auto salt = std::hash<std::string> {}(ready.step->occurrence->job->definition.id);
    const double share = allowedBefore ? 1.0 : m_scheduler.allowedShare(ready.queue->name);
    std::vector<advice_candidate> found;
    const auto add = [&](worker &worker) {
        double tasks = freeTaskSlots(ready, worker);
        if (kind == capacity_kind::Later)
            tasks += occupiedCapacityWeight * (totalTaskSlots(ready, worker) - tasks);
        // Slow workers are skipped while the step is on time.
        if (tasks <= 0 || (worker.speed.slow() && ready.lateness == 0) || !eligible(ready, worker))
            return;
        const auto tieBreaker = (worker.idHash ^ salt) * 0x9E3779B97F4A7C15U;
        found.push_back({&worker, tasks * share, tieBreaker});
    };
    auto &examined = m_scheduler.m_passes.workersExamined;
    if (allowedBefore) {
        examined += advice.allowed().size();
        for (const auto &allowed : advice.allowed()) {
            auto *worker = m_scheduler.m_fleet.find(allowed.worker);
            if (worker && worker->reachable(m_now))
                add(*worker);
        }
    } else {
        examined += m_reachableWorkers.size();
        for (auto *worker : m_reachableWorkers) {
            if (!advice.allows(worker->ref) && !advice.rejects(worker->ref))
                add(*worker);
        }
    }
    std::ranges::sort(found, [](const advice_candidate &a, const advice_candidate &b) {
        return std::make_pair(-a.tasks, a.tieBreaker) < std::make_pair(-b.tasks, b.tieBreaker);
    });
    return found;
}

// Requests advice for individual tasks, about workers that have capacity for at least one.
void dispatcher::requestAdviceForTasks(const ready_step &ready)
{
    if (!canRequestAdvice(ready))
        return;
    auto found = adviceCandidates(ready, true, capacity_kind::Now);
    std::erase_if(found, [&](const advice_candidate &candidate) {
        return validTicket(*ready.step, *candidate.target);
    });
    const double wanted = requestedCapacityFactor * ready.step->waiting;
    double expected = 0;
    for (const auto &candidate : found)
        expected += candidate.tasks;
    if (expected < wanted) {
        auto newCandidates = adviceCandidates(ready, false, capacity_kind::Now);
        std::ranges::move(newCandidates, std::back_inserter(found));
    }
    requestAdvice(ready, found, wanted);
}

// First finds enough workers for the gang. Tickets are renewed shortly before the capacity becomes
// free; if that is far off, more workers are requested.
void dispatcher::requestAdviceForGang(const ready_step &ready)
{
    if (!canRequestAdvice(ready))
        return;
    const auto &plan = ready.step->gang;
    if (plan.startAt) {
        if (renewTickets(ready) || *plan.startAt <= m_now + longGangWait)
            return;
    }
    requestAdviceForNewWorkers(ready);
}

// Which workers are allowed does not change, so a gang that knows them waits only for tickets once
// its turn has come.
void dispatcher::requestAdviceAhead(const ready_step &next)
{
    if (canRequestAdvice(next))
        requestAdviceForNewWorkers(next);
}

// Requests missing tickets of the planned workers. Returns false when it is too early.
bool dispatcher::renewTickets(const ready_step &ready)
{
    const auto &plan = ready.step->gang;
    const auto serviceTime = callDuration(ready, plan.workers.size() + plan.spareWorkers.size());
    // Capacity that is not reserved may be taken by others, so tickets are requested only once it
    // is free.
    const auto leadTime = plan.reserved ? duration(serviceTime) + ticketLatency : duration(0);
    if (*plan.startAt > m_now + leadTime)
        return false;
    const auto start = std::max(*plan.startAt, m_now);
    std::vector<advice_candidate> requested;
    bool ticketMissing = false;
    for (const auto &ref : plan.workers) {
        auto *worker = m_scheduler.m_fleet.find(ref);
        const auto *held = worker ? validTicket(*ready.step, *worker) : nullptr;
        if (worker && (!held || held->expires <= start + startDelayMargin))
            requested.push_back({worker, 0, 0});
        ticketMissing = ticketMissing || !held || held->expires <= start;
    }
    if (!ticketMissing)
        return true;
    for (const auto &ref : plan.spareWorkers) {
        if (auto *worker = m_scheduler.m_fleet.find(ref))
            requested.push_back({worker, 0, 0});
    }
    requestAdvice(ready, requested, 1);
    return true;
}

void dispatcher::requestAdviceForNewWorkers(const ready_step &ready)
{
    auto &plan = ready.step->gang;
    if (plan.nextDiscoveryAt > m_now)
        return;
    const auto tasks = static_cast<double>(ready.step->tasks.size());
    double knownTasks = 0;
    for (const auto &candidate : adviceCandidates(ready, true, capacity_kind::Later))
        knownTasks += candidate.tasks;
    // More workers do not help while all capacity that may be reserved is reserved.
    const bool widenSearch = knownTasks >= baseCapacityFactor * tasks && canReserveMore(0);
    const auto target = (widenSearch ? maxCapacityFactor : baseCapacityFactor) * tasks;
    if (knownTasks >= target) {
        plan.nextDiscoveryAt = m_now + reviewInterval;
        return;
    }
    plan.nextDiscoveryAt = m_now + discoveryInterval;
    requestAdvice(ready, adviceCandidates(ready, false, capacity_kind::Later), target - knownTasks);
}

// Names workers until their expected capacity is enough. `found` is sorted by preference.
void dispatcher::requestAdvice(const ready_step &ready, const std::vector<advice_candidate> &found,
                               double wanted)
{
    auto &step = *ready.step;
    advice_request request;
    double expected = 0;
    const auto &cost = *ready.queue->advisor;
    const auto affordable =
        ready.step->definition->gang && cost.perWorker.count() > 0
            ? static_cast<std::size_t>(cost.perCall / cost.perWorker / perCallCostDivisor)
            : 0;
    const auto minWorkers = std::max(minWorkersPerCall, affordable);
    for (const auto &candidate : found) {
        const bool enough = expected >= wanted && request.workers.size() >= minWorkers;
        if (enough || request.workers.size() >= maxWorkersPerCall)
            break;
        request.workers.push_back(candidate.target->entry.id);
        expected += candidate.tasks;
    }
    if (request.workers.empty())
        return;
    request.serviceTime = callDuration(ready, request.workers.size());
    const auto instance = m_scheduler.m_callRouter.chooseInstance(request.serviceTime, m_now);
    if (!instance) {
        step.advice.awaitsInstance = true;
        m_callClassBusy[callClass(request.serviceTime)] = true;
        return;
    }
    request.instance = *instance;
    request.servedAt = m_scheduler.m_callRouter.callStarted(*instance, request.serviceTime, m_now);
    const task_name name {step.occurrence->job->definition.id, step.occurrence->number, step.number,
                          0};
    const auto text = name.text();
    request.step = text.substr(0, text.rfind('.'));
    request.queue = ready.queue->name;
    step.advice.callPending = true;
    m_orders.advice.push_back(std::move(request));
}

} // namespace plantaingap::jobs
