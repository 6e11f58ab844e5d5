#include "jobs/dispatcher.h"

#include "jobs/task_capacity.h"

#include <algorithm>

// Gangs: when and where all members will find room, the room kept for them, and their placement.
namespace plantaingap::jobs {

namespace {

// Of all cores, the share that may be kept for gangs that wait; more would idle too much.
constexpr double mostReserved = 0.25;
// Room is kept only for gangs that will begin within this: what comes free first idles until then.
constexpr std::chrono::milliseconds longestReserved {1200};
// Kept room is given up unless it is planned anew within this; a few reviews.
constexpr std::chrono::milliseconds reservation {400};
constexpr std::chrono::milliseconds reviewEvery {100};
// Of a gang's members, as many more find room on workers for which tickets are asked too: some runs
// end later than expected.
constexpr double spareShare = 0.5;
// A run that has passed its expected end is expected to end after this.
constexpr std::chrono::milliseconds overrun {200};

} // namespace

void dispatcher::serveGang(const candidate &one)
{
    if (placeGang(one))
        return;
    if (one.step->gang.reviewAt <= m_now)
        planGang(one);
    askForGang(one);
}

// All members or none, on as few workers as will do.
bool dispatcher::placeGang(const candidate &one)
{
    auto &step = *one.step;
    std::vector<gang_place> places;
    std::uint32_t total = 0;
    for (auto *at : allowed(one)) {
        const auto count = room(one, *at);
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
    dropReservation(step);
    step.gang = {};
    return true;
}

void dispatcher::dropReservation(const step_run &step)
{
    for (auto &[id, at] : m_owner.m_fleet.all()) {
        if (at->reservedFor != &step)
            continue;
        at->reservedFor = nullptr;
        m_reservedRoom -= at->reservedRoom;
    }
}

// Room for members on one worker, now and as the runs there end.
void dispatcher::addOpenings(const candidate &one, worker &at, std::vector<opening> &found) const
{
    const auto demand = effectiveDemand(*one.step->definition);
    auto count = room(one, at);
    if (count > 0)
        found.push_back({m_now, count, &at});
    const auto most = emptyRoom(one, at);
    std::vector<std::pair<time_point, const task_run *>> ends;
    for (const auto *run : at.runs) {
        const bool started =
            run->phase == task_phase::Running || run->phase == task_phase::Stopping;
        const auto end = started ? expectedEnd(*run) : m_now + run->step->expected;
        if (!run->step->definition->longRunning)
            ends.emplace_back(std::max(end, m_now + overrun), run);
    }
    std::ranges::stable_sort(ends, {}, &std::pair<time_point, const task_run *>::first);
    auto free = at.free();
    for (const auto &[end, run] : ends) {
        if (count >= most)
            return;
        free += effectiveDemand(*run->step->definition);
        const auto then = std::min(fits(demand, free), most);
        if (then > count)
            found.push_back({end, then - count, &at});
        count = std::max(count, then);
    }
}

// Room on the workers known to be allowed that no other gang waits for, in order of time.
std::vector<dispatcher::opening> dispatcher::openings(const candidate &one) const
{
    std::vector<opening> found;
    for (auto *at : m_usable) {
        const bool good = !one.queue->advisor || one.step->advice.good.contains(at->entry.id);
        if (good && eligible(one, *at) && !at->reservedFor && !at->speed.slow())
            addOpenings(one, *at, found);
    }
    std::ranges::stable_sort(found, {}, &opening::from);
    return found;
}

// Finds the earliest moment at which the workers known to be allowed have room for all, and keeps
// others off that room when it is near.
void dispatcher::planGang(const candidate &one)
{
    auto &step = *one.step;
    auto &plan = step.gang;
    dropReservation(step);
    plan = {std::nullopt, m_now + reviewEvery, plan.discoverAt, {}, {}, false};
    gang_places places;
    auto missing = static_cast<std::uint32_t>(step.tasks.size());
    auto spare = static_cast<std::uint32_t>(static_cast<double>(missing) * spareShare);
    time_point startAt {};
    for (const auto &each : openings(one)) {
        if (missing == 0 && spare == 0)
            break;
        const auto known = std::ranges::find(places, each.at, &gang_places::value_type::first);
        if (missing == 0) {
            spare -= std::min(each.tasks, spare);
            const auto &id = each.at->entry.id;
            if (known == places.end() && std::ranges::find(plan.spares, id) == plan.spares.end())
                plan.spares.push_back(id);
            continue;
        }
        const auto taken = std::min(each.tasks, missing);
        missing -= taken;
        startAt = each.from;
        if (known == places.end())
            places.emplace_back(each.at, taken);
        else
            known->second += taken;
    }
    if (missing > 0)
        return;
    plan.startAt = startAt;
    for (const auto &[at, members] : places)
        plan.places.push_back(at->entry.id);
    const bool onTime = startAt + step.chainLeft <= step.onTime;
    const bool alone = one.band <= 1 && m_reservedRoom.milliCores == 0;
    if (startAt <= m_now + longestReserved && (onTime || alone))
        reserve(one, places);
}

// One gang may always wait, however small the fleet.
bool dispatcher::mayReserveMore(std::int64_t milliCores) const
{
    const auto bound = mostReserved * static_cast<double>(m_usableRoom.milliCores);
    return m_reservedRoom.milliCores == 0
           || static_cast<double>(m_reservedRoom.milliCores + milliCores) <= bound;
}

void dispatcher::reserve(const candidate &one, const gang_places &places)
{
    auto &plan = one.step->gang;
    const auto demand = effectiveDemand(*one.step->definition);
    const auto wanted = demand.milliCores * static_cast<std::int64_t>(one.step->tasks.size());
    if (!mayReserveMore(wanted))
        return;
    for (const auto &[at, members] : places) {
        at->reservedFor = one.step;
        at->reservedRoom = demand * members;
        at->reservedUntil = m_now + reservation;
        at->reservedStart = *plan.startAt;
        m_reservedRoom += at->reservedRoom;
    }
    plan.reserved = true;
}

} // namespace plantaingap::jobs
