#include "jobs/dispatcher.h"

#include <algorithm>

// What the placement advisor is asked, about which workers, and when.
namespace plantaingap::jobs {

namespace {

// Room named in a call for advice, as a multiple of what the step needs.
constexpr double namedRoom = 1.4;
// Room that will come free counts this much towards a step that may wait for it.
constexpr double laterRoom = 0.5;
constexpr std::size_t fewestNamed = 3;
// A call names more workers until they take this part of its fixed time: another call would cost
// more than they do.
constexpr int namedShare = 4;
// The platform's bound on one call.
constexpr std::size_t mostNamed = 100;
// A gang's calls name workers until those allowed could hold it this many times over when they are
// half empty, and further ones up to the second figure while it would have to wait long.
constexpr double firstReach = 2.6;
constexpr double widestReach = 4.0;
// A gang that would wait longer than this looks for further workers, this long after it last did.
constexpr std::chrono::milliseconds longWait {800};
constexpr std::chrono::milliseconds discoverEvery {400};
// Tickets are asked for so early that they are there when the room is: the ways to the advisor and
// back, and the advisor's other callers.
constexpr std::chrono::milliseconds ticketWay {150};
// A renewal names also the places whose tickets would end this soon after the start: it may slip.
constexpr std::chrono::milliseconds startSlip {400};

std::size_t callClass(std::chrono::microseconds length)
{
    return static_cast<std::size_t>(advisor_call_router::classOf(length));
}

} // namespace

bool dispatcher::mayAsk(const candidate &one) const
{
    const auto &advice = one.step->advice;
    if (!one.queue->advisor || advice.asking || advice.askAgain > m_now)
        return false;
    return !m_callersBusy[callClass(lengthOfCall(one, fewestNamed))];
}

std::chrono::microseconds dispatcher::lengthOfCall(const candidate &one, std::size_t workers)
{
    const auto &cost = *one.queue->advisor;
    return cost.perCall + cost.perWorker * static_cast<int>(workers);
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
        if (!eligible(one, *at))
            continue;
        // While there is time for better ones.
        if (at->speed.slow() && one.band == 0)
            continue;
        if (advice.good.contains(at->entry.id) != known)
            continue;
        if (!known && std::ranges::find(advice.bad, at->entry.id) != advice.bad.end())
            continue;
        double tasks = room(one, *at);
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
    if (!mayAsk(one))
        return;
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

// A gang first finds workers that could hold it. Their tickets are renewed when its room is about
// to come free; if that is far off, it looks for further workers.
void dispatcher::askForGang(const candidate &one)
{
    if (!mayAsk(one))
        return;
    const auto &plan = one.step->gang;
    if (plan.startAt) {
        if (renewTickets(one) || *plan.startAt <= m_now + longWait)
            return;
    }
    discover(one);
}

// Asks for the tickets that the planned places lack, when it is time to; false when it is not.
bool dispatcher::renewTickets(const candidate &one)
{
    const auto &plan = one.step->gang;
    const auto length = lengthOfCall(one, plan.places.size() + plan.spares.size());
    // Room that others may take meanwhile is asked about only when it is there.
    const auto ahead = plan.reserved ? duration(length) + ticketWay : duration(0);
    if (*plan.startAt > m_now + ahead)
        return false;
    const auto start = std::max(*plan.startAt, m_now);
    std::vector<prospect> named;
    bool lacking = false;
    for (const auto &id : plan.places) {
        auto *at = m_owner.m_fleet.find(id);
        const auto *held = at ? validTicket(*one.step, *at) : nullptr;
        if (at && (!held || held->expires <= start + startSlip))
            named.push_back({at, 0, 0});
        lacking = lacking || !held || held->expires <= start;
    }
    if (!lacking)
        return true;
    for (const auto &id : plan.spares) {
        if (auto *at = m_owner.m_fleet.find(id))
            named.push_back({at, 0, 0});
    }
    ask(one, named, 1);
    return true;
}

void dispatcher::discover(const candidate &one)
{
    auto &plan = one.step->gang;
    if (plan.discoverAt > m_now)
        return;
    const auto tasks = static_cast<double>(one.step->tasks.size());
    double reach = 0;
    for (const auto &each : prospects(one, true, room_kind::Later))
        reach += each.tasks;
    // More workers help no gang while all room that may be kept is kept.
    const bool widely = reach >= firstReach * tasks && mayReserveMore(0);
    const auto target = (widely ? widestReach : firstReach) * tasks;
    if (reach >= target)
        return;
    plan.discoverAt = m_now + discoverEvery;
    ask(one, prospects(one, false, room_kind::Later), target - reach);
}

// Names workers until the room that can be hoped for there is enough; found is sorted.
void dispatcher::ask(const candidate &one, const std::vector<prospect> &found, double wanted)
{
    auto &step = *one.step;
    advice_request request;
    double expected = 0;
    const auto &cost = *one.queue->advisor;
    const auto cheap = one.step->definition->gang && cost.perWorker.count() > 0
                           ? static_cast<std::size_t>(cost.perCall / cost.perWorker / namedShare)
                           : 0;
    const auto fewest = std::max(fewestNamed, cheap);
    for (const auto &each : found) {
        const bool enough = expected >= wanted && request.workers.size() >= fewest;
        if (enough || request.workers.size() >= mostNamed)
            break;
        request.workers.push_back(each.at->entry.id);
        expected += each.tasks;
    }
    if (request.workers.empty())
        return;
    request.length = lengthOfCall(one, request.workers.size());
    const auto caller = m_owner.m_callers.chooseInstance(request.length, m_now);
    if (!caller) {
        m_callersBusy[callClass(request.length)] = true;
        return;
    }
    request.caller = *caller;
    request.servedAt = m_owner.m_callers.callStarted(*caller, request.length, m_now);
    const task_name name {step.occurrence->job->definition.id, step.occurrence->number, step.number,
                          0};
    const auto text = name.text();
    request.step = text.substr(0, text.rfind('.'));
    request.queue = one.queue->name;
    step.advice.asking = true;
    m_orders.advice.push_back(std::move(request));
}

} // namespace plantaingap::jobs
