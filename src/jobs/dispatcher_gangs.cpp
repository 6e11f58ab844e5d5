#include "jobs/dispatcher.h"

#include "jobs/task_capacity.h"

#include <algorithm>

// Gang scheduling: finds when and where all members fit, reserves that capacity and places the
// members.
namespace plantaingap::jobs {

namespace {

// Share of all cores that waiting gangs may claim however busy the fleet is; a larger share leaves
// too many cores idle. Of a fleet that is not busy the idle share may be claimed.
constexpr double maxReservedShare = 0.25;
// Share of used cores below which the gang that is longest overdue may take what others claim.
constexpr double maxLoadForOverdueGang = 0.65;
// A gang that waits for longer goes before younger ones, whatever its declared duration.
constexpr std::chrono::seconds maxGangWait {10};
// A reservation expires after this time, a few review intervals, unless planning renews it.
constexpr std::chrono::milliseconds reservationDuration {400};
constexpr std::chrono::milliseconds reviewInterval {100};
// A claim whose start is farther off than this moves to allowed workers that have room now.
constexpr std::chrono::milliseconds longClaimWait {1000};
// Gangs that are planned in one pass.
constexpr std::size_t maxPlans = 16;
// Tickets are also requested for spare workers that could hold this share of the members, because
// some runs end later than expected.
constexpr double spareShare = 0.5;
// A run past its expected end is assumed to end after this time.
constexpr std::chrono::milliseconds overrunAllowance {200};

} // namespace

void dispatcher::scheduleGang(const ready_step &ready)
{
    if (placeGang(ready))
        return;
    const auto &plan = ready.step->gang;
    // A claim keeps capacity from all others.
    const bool mayKeep = !beyondShare(*ready.step) || fleetHasRoom();
    if (plan.nextReviewAt <= m_now && !(plan.reserved && mayKeep && renewClaim(ready))) {
        m_gangsToPlan.push_back(ready);
        return;
    }
    if (plan.result == gang_plan_result::NoShareLeft)
        m_firstWithoutShare = std::min(m_firstWithoutShare, claimOrder(ready));
    requestAdviceForGang(ready);
}

dispatcher::claim_order dispatcher::claimOrder(const ready_step &ready)
{
    if (beyondShare(*ready.step))
        return {2, ready.step->occurrence->due};
    return {ready.queue->priority == 0 ? 0 : 1, ready.step->occurrence->due};
}

// The longest accepted goes first, and while it finds no share left, none after it claims anything,
// so that wide gangs wait for a bounded number of others.
void dispatcher::planGangs()
{
    std::ranges::stable_sort(m_gangsToPlan, {}, claimOrder);
    std::size_t plans = 0;
    for (const auto &ready : m_gangsToPlan) {
        if (plans++ < maxPlans) {
            const auto order = claimOrder(ready);
            const bool mayClaim = !beyondShare(*ready.step) || fleetHasRoom();
            planGang(ready, mayClaim && order <= m_firstWithoutShare);
            if (ready.step->gang.result == gang_plan_result::NoShareLeft)
                m_firstWithoutShare = std::min(m_firstWithoutShare, order);
        }
        requestAdviceForGang(ready);
    }
}

std::optional<time_point> dispatcher::freeAt(const worker &worker, const resources &wanted) const
{
    auto free = worker.free();
    if (wanted.fitsIn(free))
        return m_now;
    std::vector<std::pair<time_point, const task_run *>> ends;
    for (const auto *run : worker.runs) {
        if (!run->step->definition->longRunning)
            ends.emplace_back(runEnd(*run), run);
    }
    std::ranges::sort(ends, {}, &std::pair<time_point, const task_run *>::first);
    for (const auto &[end, run] : ends) {
        free += effectiveDemand(*run->step->definition);
        if (wanted.fitsIn(free))
            return end;
    }
    return std::nullopt;
}

// A claim is kept from review to review: one that lapsed whenever the gang was late or its start
// far off would lose its workers to younger steps each time.
bool dispatcher::renewClaim(const ready_step &ready)
{
    auto &plan = ready.step->gang;
    auto startAt = m_now;
    for (const auto &ref : plan.workers) {
        const auto *worker = m_scheduler.m_fleet.find(ref);
        if (!worker || worker->reservedFor != ready.step || !isAvailable(ready, *worker)
            || !eligible(ready, *worker))
            return false;
        const auto free = freeAt(*worker, worker->reservedCapacity);
        if (!free || *free > plan.claimedStart + overrunAllowance)
            return false;
        startAt = std::max(startAt, *free);
    }
    if (startAt > m_now + longClaimWait && hasRoomElsewhere(ready))
        return false;
    plan.startAt = startAt;
    plan.nextReviewAt = m_now + reviewInterval;
    plan.plannedAt = m_now;
    for (const auto &ref : plan.workers) {
        auto *worker = m_scheduler.m_fleet.find(ref);
        worker->reservedUntil = m_now + reservationDuration;
        worker->reservedStart = startAt;
    }
    return true;
}

// A run of a long tail may keep a claimed worker for many seconds after others have come free.
bool dispatcher::hasRoomElsewhere(const ready_step &ready) const
{
    std::size_t slots = 0;
    for (const auto *worker : knownWorkers(ready)) {
        const bool available = !worker->reservedFor || worker->reservedFor == ready.step;
        if (available && !worker->speed.slow() && eligible(ready, *worker))
            slots += freeTaskSlots(ready, *worker);
        if (slots >= ready.step->tasks.size())
            return true;
    }
    return false;
}

time_point dispatcher::runEnd(const task_run &run) const
{
    const bool started = run.phase == task_phase::Running || run.phase == task_phase::Stopping
                         || run.phase == task_phase::Done;
    const auto end = started ? expectedEnd(run) : m_now + run.step->expectedDuration;
    return std::max(end, m_now + overrunAllowance);
}

// Workers on which the gang may run according to the advisor, with a valid ticket or without.
std::vector<worker *> dispatcher::knownWorkers(const ready_step &ready) const
{
    std::vector<worker *> found;
    if (!ready.queue->advisor) {
        std::ranges::copy_if(m_reachableWorkers, std::back_inserter(found),
                             [&](const worker *worker) { return isAvailable(ready, *worker); });
        return found;
    }
    for (const auto &allowed : ready.step->advice.allowed()) {
        auto *worker = m_scheduler.m_fleet.find(allowed.worker);
        if (worker && isAvailable(ready, *worker))
            found.push_back(worker);
    }
    return found;
}

bool dispatcher::couldHoldGang(const ready_step &ready) const
{
    std::size_t slots = 0;
    for (const auto *worker : knownWorkers(ready)) {
        if (!worker->speed.slow() && eligible(ready, *worker))
            slots += totalTaskSlots(ready, *worker);
        if (slots >= ready.step->tasks.size())
            return true;
    }
    return false;
}

// A gang whose few allowed workers others claim in turn would wait for ever. Only the oldest may
// take what others have claimed, so that no two hold parts of each other's capacity.
void dispatcher::prioritizeOverdueGang(std::vector<ready_step> &ready)
{
    if (!fleetHasRoom())
        return;
    // A declared duration that is far too long must not keep a gang on time for ever.
    const auto overdueFrom = [](const step_run &step) {
        return std::min(step.onTimeUntil - step.remainingChain, step.occurrence->due + maxGangWait);
    };
    std::vector<std::vector<ready_step>::iterator> late;
    for (auto it = ready.begin(); it != ready.end(); ++it) {
        const auto &definition = *it->step->definition;
        const bool held =
            beyondShare(*it->step) || withinLimit(*it, it->step->waiting) < it->step->waiting;
        if (definition.gang && !definition.longRunning && !held && overdueFrom(*it->step) < m_now)
            late.push_back(it);
    }
    std::ranges::sort(late, {}, [&](auto it) { return overdueFrom(*it->step); });
    const auto oldest = std::ranges::find_if(late, [this](auto it) {
        // Workers that are reserved for others count only for the overdue gang.
        m_overdueGang = it->step;
        return couldHoldGang(*it);
    });
    if (oldest == late.end()) {
        m_overdueGang = nullptr;
        return;
    }
    std::rotate(ready.begin(), *oldest, *oldest + 1);
}

bool dispatcher::fleetHasRoom() const
{
    return m_scheduler.m_fleetLoad < maxLoadForOverdueGang;
}

// Places all members or none, on as few workers as possible.
bool dispatcher::placeGang(const ready_step &ready)
{
    auto &step = *ready.step;
    if (withinLimit(ready, step.waiting) < step.waiting)
        return false;
    std::vector<gang_slot> slots;
    std::uint32_t total = 0;
    const auto apart =
        m_scheduler.m_interference.apartFrom(job_scheduler::interferenceKindOf(step));
    for (auto *worker : allowedWorkers(ready)) {
        const auto count = freeTaskSlots(ready, *worker);
        if (count == 0)
            continue;
        // A gang is as slow as its slowest member, and a failed member ends it.
        const bool leastPreferred = worker->speed.slow() || worker->health.quarantined()
                                    || stepFailedOn(ready, *worker)
                                    || stepCrashedAt(ready, *worker);
        slots.push_back({leastPreferred, hasRunOf(apart, *worker), count, worker});
        total += count;
    }
    if (total < step.tasks.size())
        return false;
    std::ranges::stable_sort(slots, [](const gang_slot &a, const gang_slot &b) {
        const auto rank = [](const gang_slot &slot) {
            return std::make_tuple(slot.leastPreferred, slot.interfering,
                                   -std::int64_t {slot.count});
        };
        return rank(a) < rank(b);
    });
    if (ready.isolated) {
        std::uint32_t members = 0;
        const auto last = std::ranges::find_if(slots, [&](const gang_slot &slot) {
            members += slot.count;
            return members >= step.tasks.size();
        });
        const auto workers = static_cast<std::size_t>(last - slots.begin()) + 1;
        if (!mayIsolateGang(workers))
            return false;
        m_isolationSites += workers;
    }
    std::uint32_t attempt = 0;
    std::string checkpoint;
    for (const auto &task : step.tasks) {
        attempt = std::max(attempt, task.attempt);
        if (!task.checkpoint.empty())
            checkpoint = task.checkpoint;
    }
    std::size_t next = 0;
    for (const auto &[leastPreferred, interfering, count, worker] : slots) {
        for (std::uint32_t i = 0; i < count && next < step.tasks.size(); ++i) {
            auto &task = step.tasks[next++];
            task.checkpoint = checkpoint;
            assign(task, *worker, attempt + 1);
            if (ready.isolated)
                m_scheduler.isolate(task);
        }
    }
    dropReservation(step);
    step.gang = {};
    return true;
}

void dispatcher::dropReservation(const step_run &step)
{
    for (auto *worker : m_workers) {
        if (worker->reservedFor != &step)
            continue;
        worker->reservedFor = nullptr;
        m_reservedCapacity -= worker->reservedCapacity;
    }
}

// Adds the slots for members on one worker, now and as its runs end.
void dispatcher::addCapacityReleases(const ready_step &ready, worker &worker,
                                     std::vector<capacity_release> &found) const
{
    const auto demand = effectiveDemand(*ready.step->definition);
    auto count = freeTaskSlots(ready, worker);
    if (count > 0)
        found.push_back({m_now, count, &worker});
    const auto maxSlots = totalTaskSlots(ready, worker);
    std::vector<std::pair<time_point, const task_run *>> ends;
    for (const auto *run : worker.runs) {
        if (!run->step->definition->longRunning)
            ends.emplace_back(runEnd(*run), run);
    }
    std::ranges::stable_sort(ends, {}, &std::pair<time_point, const task_run *>::first);
    auto free = worker.free();
    for (const auto &[end, run] : ends) {
        if (count >= maxSlots)
            return;
        free += effectiveDemand(*run->step->definition);
        const auto slotsThen = std::min(tasksThatFit(demand, free), maxSlots);
        if (slotsThen > count)
            found.push_back({end, slotsThen - count, &worker});
        count = std::max(count, slotsThen);
    }
}

// Slots on allowed workers, ordered by time; those with a reservation for another gang are left to
// it, except by the overdue gang.
std::vector<dispatcher::capacity_release>
dispatcher::capacityReleases(const ready_step &ready) const
{
    std::vector<capacity_release> found;
    const auto workers = knownWorkers(ready);
    m_scheduler.m_passes.workersExamined += workers.size();
    for (auto *worker : workers) {
        const bool available = !worker->reservedFor || ready.step == m_overdueGang;
        if (available && eligible(ready, *worker) && !worker->speed.slow())
            addCapacityReleases(ready, *worker, found);
    }
    std::ranges::stable_sort(found, {}, &capacity_release::from);
    return found;
}

// Finds the earliest time at which the allowed workers have capacity for all members, and claims
// that capacity.
void dispatcher::planGang(const ready_step &ready, bool mayClaim)
{
    auto &step = *ready.step;
    auto &plan = step.gang;
    // A gang whose claim no longer stands goes on with another one, whoever waits for the share.
    const bool heldClaim = plan.reserved && (!beyondShare(step) || fleetHasRoom());
    dropReservation(step);
    const auto nextDiscoveryAt = plan.nextDiscoveryAt;
    plan = {};
    plan.nextReviewAt = m_now + reviewInterval;
    plan.nextDiscoveryAt = nextDiscoveryAt;
    plan.plannedAt = m_now;
    gang_assignment assignment;
    auto missing = static_cast<std::uint32_t>(step.tasks.size());
    auto spare = static_cast<std::uint32_t>(static_cast<double>(missing) * spareShare);
    time_point startAt {};
    for (const auto &release : capacityReleases(ready)) {
        if (missing == 0 && spare == 0)
            break;
        const auto assigned =
            std::ranges::find(assignment, release.target, &gang_assignment::value_type::first);
        if (missing == 0) {
            spare -= std::min(release.tasks, spare);
            const auto &ref = release.target->ref;
            if (assigned == assignment.end()
                && std::ranges::find(plan.spareWorkers, ref) == plan.spareWorkers.end())
                plan.spareWorkers.push_back(ref);
            continue;
        }
        const auto taken = std::min(release.tasks, missing);
        missing -= taken;
        startAt = release.from;
        if (assigned == assignment.end())
            assignment.emplace_back(release.target, taken);
        else
            assigned->second += taken;
    }
    plan.missing = missing;
    if (missing > 0) {
        plan.result = gang_plan_result::TooFewSlots;
        return;
    }
    plan.startAt = startAt;
    for (const auto &[worker, members] : assignment)
        plan.workers.push_back(worker->ref);
    plan.claimedStart = startAt;
    const bool exempt = heldClaim || ready.step == m_overdueGang;
    if (exempt || (mayClaim && canReserveMore(claimOf(step))))
        reserve(ready, assignment);
    else
        plan.result = gang_plan_result::NoShareLeft;
}

std::int64_t dispatcher::claimOf(const step_run &gang)
{
    return effectiveDemand(*gang.definition).milliCores
           * static_cast<std::int64_t>(gang.tasks.size());
}

// One claim is always allowed, however small the fleet.
bool dispatcher::canReserveMore(std::int64_t milliCores) const
{
    const auto load = m_scheduler.m_fleetLoad;
    const auto share = std::max(1.0 - load, maxReservedShare);
    const auto bound = share * static_cast<double>(m_usableCapacity.milliCores);
    return m_reservedCapacity.milliCores == 0
           || static_cast<double>(m_reservedCapacity.milliCores + milliCores) <= bound;
}

void dispatcher::reserve(const ready_step &ready, const gang_assignment &assignment)
{
    auto &plan = ready.step->gang;
    const auto demand = effectiveDemand(*ready.step->definition);
    for (const auto &[worker, members] : assignment) {
        if (worker->reservedFor)
            m_reservedCapacity -= worker->reservedCapacity;
        worker->reservedFor = ready.step;
        worker->reservedCapacity = demand * members;
        worker->reservedUntil = m_now + reservationDuration;
        worker->reservedStart = *plan.startAt;
        m_reservedCapacity += worker->reservedCapacity;
    }
    plan.reserved = true;
    plan.result = gang_plan_result::Reserved;
}

} // namespace plantaingap::jobs
