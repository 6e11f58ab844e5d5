#include "runtime/request_desk.h"

#include "support/log.h"

#include <functional>
#include <plantaingap/invariant.h>

namespace plantaingap::runtime {

using namespace decision;

namespace {

constexpr std::size_t serviceLimit = 4096;
// Kinds beyond this share one estimate of sizes.
constexpr std::size_t kindLimit = 4096;
constexpr std::chrono::seconds retryAfterRefusal {1};

run_state runStateOf(errc code)
{
    const bool unknown = code == errc::OutcomeUnknown || code == errc::BadAnswer;
    return unknown ? run_state::Unknown : run_state::NotRun;
}

} // namespace

request_desk::request_desk(boost::asio::io_context &context, instance_id self,
                           const router_limits &limits, desk_outlets outlets)
    : m_context(context)
    , m_self(self)
    , m_outlets(std::move(outlets))
    , m_router(limits, number(self))
    , m_services(serviceLimit)
    , m_kinds(kindLimit)
    , m_timer(context)
{ }

void request_desk::addService(std::string_view name)
{
    m_services.idOf(name);
}

void request_desk::addGroup(const desk_group &group)
{
    m_groups.try_emplace(group.group, group, request_limits {});
}

void request_desk::addWorker(const desk_worker &worker)
{
    const auto service = m_services.idOf(worker.service);
    auto &group = m_groups.at(worker.group);
    if (!m_workers.emplace(worker.worker, worker).second)
        return;
    if (group.slots[service] == 0)
        m_groupsOf[service].push_back(worker.group);
    group.slots[service] += worker.slots;
    if (group.authority)
        step(group, worker_added {worker.worker, service, worker.rack, worker.slots, 0});
}

void request_desk::markLeaving(worker_id worker)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        step(m_groups.at(found->second.group), worker_leaving {worker});
}

void request_desk::gainGroup(group_id group, const epoch &authority)
{
    auto &state = m_groups.at(group);
    state.authority = authority;
    for (const auto &[id, worker] : m_workers) {
        if (worker.group != group)
            continue;
        const auto service = m_services.idOf(worker.service);
        step(state, worker_added {id, service, worker.rack, worker.slots, 0});
    }
}

void request_desk::admit(const service_request_ptr &request)
{
    const auto service = m_services.find(request->service);
    if (!service)
        return refuse(*request, errc::NoSuchService, run_state::NotRun, clock::now());
    const auto route = chooseRoute(*request, *service);
    if (!route) {
        const auto retryAt = clock::now() + retryAfterRefusal;
        return refuse(*request, errc::NoWorker, run_state::NotRun, retryAt);
    }
    auto &group = m_groups.at(route->group);
    m_open.emplace(request->id, open_request {request, route->group});
    request_arrived arrived;
    arrived.request = request->id;
    arrived.service = *service;
    arrived.kind = m_kinds.idOf(request->kind);
    arrived.declared = request->declared;
    arrived.idempotent = request->idempotent;
    arrived.deadline = request->deadline;
    step(group, arrived);
}

void request_desk::sendEnded(backend::send_ended &&ended)
{
    const auto found = m_open.find(ended.request);
    PLANTAINGAP_INVARIANT(found != m_open.end(), "an ended send belongs to an open request");
    auto &group = m_groups.at(found->second.group);
    if (ended.answer) {
        m_outlets.answer(std::move(ended.answer));
        m_open.erase(found);
    }
    step(group, request_ended {ended.request, ended.outcome});
}

std::optional<route> request_desk::chooseRoute(const service_request &request, service_id service)
{
    refreshSummaries();
    const auto now = clock::now();
    if (request.idempotent)
        return m_router.choose(service, request.declared, now);
    const auto hash = std::hash<std::string> {}(request.key);
    return m_router.chooseByKey(service, hash, m_groupsOf[service], now);
}

void request_desk::refreshSummaries()
{
    const auto now = clock::now();
    for (auto &[id, group] : m_groups) {
        if (!group.authority || !group.changed)
            continue;
        group.changed = false;
        for (const auto &[service, slots] : group.slots) {
            group_summary summary;
            summary.group = id;
            summary.owner = m_self;
            summary.region = group.about.region;
            summary.service = service;
            summary.slots = slots;
            summary.freeSlots = group.scheduler.freeSlots(service);
            for (const auto name : {work_class::Quick, work_class::Normal, work_class::Long}) {
                const auto waiting = group.scheduler.waiting(service, name);
                summary.waiting[static_cast<std::size_t>(name)] =
                    static_cast<std::uint32_t>(waiting);
            }
            summary.asOf = now;
            m_router.learn(summary);
        }
    }
}

void request_desk::step(group_state &group, const request_event &event)
{
    group.scheduler.step(event, clock::now(), m_actions);
    carryOut(group);
}

void request_desk::carryOut(group_state &group)
{
    group.changed = true;
    for (const auto &action : m_actions)
        std::visit([&](const auto &typed) { carryOut(group, typed); }, action);
    m_actions.clear();
    armTimer(group);
}

void request_desk::carryOut(group_state &group, const send_request &action)
{
    PLANTAINGAP_INVARIANT(group.authority.has_value(), "only an owner sends requests");
    const auto &open = m_open.at(action.request);
    m_outlets.sendToWorker({open.request, action.worker, group.about.name, *group.authority});
}

void request_desk::carryOut(group_state &, const refuse_request &action)
{
    const auto found = m_open.find(action.request);
    PLANTAINGAP_INVARIANT(found != m_open.end(), "a refused request is open");
    refuse(*found->second.request, action.code, runStateOf(action.code), action.retryAt);
    m_open.erase(found);
}

void request_desk::refuse(const service_request &request, errc code, run_state run,
                          time_point retryAt)
{
    support::log_event(support::log_level::Debug, "request.refused")
        .field("request", request.name)
        .field("code", make_error_code(code).message());
    auto answer = std::make_shared<service_answer>();
    answer->id = request.id;
    answer->code = code;
    answer->run = run;
    answer->retryAt = retryAt;
    m_outlets.answer(std::move(answer));
}

void request_desk::armTimer(const group_state &group)
{
    const auto next = group.scheduler.nextDeadline();
    if (!next || (m_armedFor && *m_armedFor <= *next))
        return;
    m_armedFor = next;
    m_timer.expires_at(*next);
    m_timer.async_wait([this](const auto &error) {
        if (!error)
            expire();
    });
}

void request_desk::expire()
{
    m_armedFor.reset();
    for (auto &[id, group] : m_groups) {
        const auto now = clock::now();
        const auto next = group.scheduler.nextDeadline();
        if (!next)
            continue;
        if (*next <= now)
            group.scheduler.expire(now, m_actions);
        carryOut(group);
    }
}

} // namespace plantaingap::runtime
