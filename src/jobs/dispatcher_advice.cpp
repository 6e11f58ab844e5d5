#include "jobs/dispatcher.h"

#include <algorithm>

// What the placement advisor is asked, about which workers, and when.
namespace plantaingap::jobs {

namespace {

// Room named in a call for advice, as a multiple of what the step needs.
constexpr double requestedCapacityFactor = 1.4;
// Room that will come free counts this much towards a step that may wait for it.
constexpr double occupiedCapacityWeight = 0.5;
constexpr std::size_t minWorkersPerCall = 3;
// A call names more workers until they take this part of its fixed time: another call would cost
// more than they do.
constexpr int perCallCostDivisor = 4;
// The platform's bound on one call.
constexpr std::size_t maxWorkersPerCall = 100;
// A gang's calls name workers until those allowed could hold it this many times over when they are
// half empty, and further ones up to the second figure while it would have to wait long.
constexpr double baseCapacityFactor = 2.6;
constexpr double maxCapacityFactor = 4.0;
// A gang that would wait longer than this looks for further workers, this long after it last did.
constexpr std::chrono::milliseconds longGangWait {800};
constexpr std::chrono::milliseconds discoveryInterval {400};
// Tickets are asked for so early that they are there when the room is: the ways to the advisor and
// back, and the advisor's other callers.
constexpr std::chrono::milliseconds ticketLatency {150};
// A renewal names also the places whose tickets would end this soon after the start: it may slip.
constexpr std::chrono::milliseconds startDelayMargin {400};

std::size_t callClass(std::chrono::microseconds callLength)
{
    return static_cast<std::size_t>(advisor_call_router::classOf(callLength));
}

} // namespace

bool dispatcher::canRequestAdvice(const ready_step &ready) const
{
    const auto &advice = ready.step->advice;
    if (!ready.queue->advisor || advice.callPending || advice.retryAt > m_now)
        return false;
    return !m_callClassBusy[callClass(callDuration(ready, minWorkersPerCall))];
}

std::chrono::microseconds dispatcher::callDuration(const ready_step &ready, std::size_t workers)
{
    const auto &cost = *ready.queue->advisor;
    return cost.perCall + cost.perWorker * static_cast<int>(workers);
}

// Workers that may be asked about: those known to be allowed, or those not asked about before.
std::vector<dispatcher::advice_candidate>
dispatcher::adviceCandidates(const ready_step &ready, bool allowedBefore, capacity_kind kind) const
{
    const auto &advice = ready.step->advice;
    const auto salt = std::hash<std::string> {}(ready.step->occurrence->job->definition.id);
    const double share = allowedBefore ? 1.0 : m_owner.allowedShare(ready.queue->name);
    std::vector<advice_candidate> found;
    for (auto *worker : m_usableWorkers) {
        if (!eligible(ready, *worker))
            continue;
        // While there is time for better ones.
        if (worker->speed.slow() && ready.lateness == 0)
            continue;
        if (advice.allowed.contains(worker->entry.id) != allowedBefore)
            continue;
        if (!allowedBefore
            && std::ranges::find(advice.rejected, worker->entry.id) != advice.rejected.end())
            continue;
        double tasks = freeTaskSlots(ready, *worker);
        if (kind == capacity_kind::Later)
            tasks += occupiedCapacityWeight * (totalTaskSlots(ready, *worker) - tasks);
        if (tasks <= 0)
            continue;
        const auto tieBreaker =
            (std::hash<std::string> {}(worker->entry.id) ^ salt) * 0x9E3779B97F4A7C15U;
        found.push_back({worker, tasks * share, tieBreaker});
    }
    std::ranges::sort(found, [](const advice_candidate &a, const advice_candidate &b) {
        return std::make_pair(-a.tasks, a.tieBreaker) < std::make_pair(-b.tasks, b.tieBreaker);
    });
    return found;
}

// Tasks that can start one by one: asked about only where there is room for one at least.
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

// A gang first finds workers that could hold it. Their tickets are renewed when its room is about
// to come free; if that is far off, it looks for further workers.
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

// Asks for the tickets that the planned places lack, when it is time to; false when it is not.
bool dispatcher::renewTickets(const ready_step &ready)
{
    const auto &plan = ready.step->gang;
    const auto callLength = callDuration(ready, plan.workers.size() + plan.spareWorkers.size());
    // Room that others may take meanwhile is asked about only when it is there.
    const auto leadTime = plan.reserved ? duration(callLength) + ticketLatency : duration(0);
    if (*plan.startAt > m_now + leadTime)
        return false;
    const auto start = std::max(*plan.startAt, m_now);
    std::vector<advice_candidate> requested;
    bool ticketMissing = false;
    for (const auto &id : plan.workers) {
        auto *worker = m_owner.m_fleet.find(id);
        const auto *held = worker ? validTicket(*ready.step, *worker) : nullptr;
        if (worker && (!held || held->expires <= start + startDelayMargin))
            requested.push_back({worker, 0, 0});
        ticketMissing = ticketMissing || !held || held->expires <= start;
    }
    if (!ticketMissing)
        return true;
    for (const auto &id : plan.spareWorkers) {
        if (auto *worker = m_owner.m_fleet.find(id))
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
    // More workers help no gang while all room that may be kept is kept.
    const bool widenSearch = knownTasks >= baseCapacityFactor * tasks && canReserveMore(0);
    const auto target = (widenSearch ? maxCapacityFactor : baseCapacityFactor) * tasks;
    if (knownTasks >= target)
        return;
    plan.nextDiscoveryAt = m_now + discoveryInterval;
    requestAdvice(ready, adviceCandidates(ready, false, capacity_kind::Later), target - knownTasks);
}

// Names workers until the room that can be hoped for there is enough; found is sorted.
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
    request.length = callDuration(ready, request.workers.size());
    const auto instance = m_owner.m_callRouter.chooseInstance(request.length, m_now);
    if (!instance) {
        m_callClassBusy[callClass(request.length)] = true;
        return;
    }
    request.instance = *instance;
    request.servedAt = m_owner.m_callRouter.callStarted(*instance, request.length, m_now);
    const task_name name {step.occurrence->job->definition.id, step.occurrence->number, step.number,
                          0};
    const auto text = name.text();
    request.step = text.substr(0, text.rfind('.'));
    request.queue = ready.queue->name;
    step.advice.callPending = true;
    m_orders.advice.push_back(std::move(request));
}

} // namespace plantaingap::jobs
