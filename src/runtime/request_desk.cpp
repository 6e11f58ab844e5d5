#include "runtime/request_desk.h"

#include "support/log.h"

#include <array>
#include <plantaingap/invariant.h>

namespace plantaingap::runtime {

using namespace decision;
using support::stableId;

namespace {

// From the admission here to the sending to a worker.
const std::string waitName = "plantaingap_request_wait_seconds";
const std::string endedName = "plantaingap_requests_ended_total";

// Labels are made once: this runs for every request.
const std::string &classLabel(const service_request &request)
{
    static const std::array<std::string, 3> labels = {"class=\"quick\"", "class=\"normal\"",
                                                      "class=\"long\""};
    return labels.at(static_cast<std::size_t>(request.declared));
}

// Kinds beyond this share one estimate of sizes.
constexpr std::size_t kindLimit = 4096;
constexpr std::chrono::seconds retryAfterRefusal {1};

run_state runStateOf(errc code)
{
    const bool unknown = code == errc::OutcomeUnknown || code == errc::InvalidResponse;
    return unknown ? run_state::Unknown : run_state::NotRun;
}

} // namespace

request_desk::request_desk(boost::asio::io_context &context, instance_id self,
                           const desk_limits &limits, platform::platform_client *platform,
                           desk_outlets outlets)
    : m_context(context)
    , m_self(self)
    , m_limits(limits)
    , m_platform(platform)
    , m_outlets(std::move(outlets))
    , m_router(limits.router, number(self))
    , m_kinds(kindLimit)
    , m_timer(context)
    , m_publishTimer(context)
{ }

void request_desk::start()
{
    boost::asio::post(m_context, [this] { publish(); });
}

void request_desk::addService(std::string_view name)
{
    m_services.emplace(name);
}

// --- What this instance owns

void request_desk::note(const control_note &note)
{
    std::visit([this](const auto &typed) { on(typed); }, note);
}

group_tenure *request_desk::tenure(group_id group)
{
    const auto found = m_tenures.find(group);
    return found == m_tenures.end() ? nullptr : found->second.get();
}

void request_desk::on(const group_owned &note)
{
    const auto group = stableId<group_id>(note.group);
    if (tenure(group))
        on(group_given_up {note.group});
    auto owned = std::make_unique<group_tenure>(note.group, note.authority, m_limits.requests);
    if (m_platform) {
        owned->keys = std::make_shared<group_keys>(
            m_context, *m_platform, note.group, note.authority,
            group_keys::outlets {[this](request_id request) { schedule(request); },
                                 [this](const refuse_key &refused) { refuseKey(refused); }});
        owned->keys->start();
    }
    m_tenures[group] = std::move(owned);
    support::log_event(support::log_level::Info, "group.owned")
        .field("group", note.group)
        .field("epoch", note.authority.generation)
        .field("rank", note.authority.rank);
}

void request_desk::on(const group_given_up &note)
{
    const auto group = stableId<group_id>(note.group);
    auto node = m_tenures.extract(group);
    if (node.empty())
        return;
    support::log_event(support::log_level::Info, "group.given_up").field("group", note.group);
    m_router.removeGroup(group);
    // Refuses what waits for its key, while the requests are still open.
    if (node.mapped()->keys)
        node.mapped()->keys->stop();
    std::vector<request_id> unsent;
    for (auto &[id, open] : m_open) {
        if (open.heldBy != holder::Tenure || open.group != group)
            continue;
        if (open.sent)
            open.heldBy = holder::FormerTenure;
        else
            unsent.push_back(id);
    }
    for (const auto id : unsent)
        tryElsewhere(m_open.find(id), errc::NotReady, clock::now() + retryAfterRefusal);
}

void request_desk::on(const worker_usable &note)
{
    auto *owned = tenure(stableId<group_id>(note.group));
    if (!owned || owned->authority() != note.authority || note.worker.slots == 0)
        return;
    const auto worker = stableId<worker_id>(note.worker.name);
    const auto service = stableId<service_id>(note.worker.service);
    m_services.insert(note.worker.service);
    if (owned->knows(worker))
        return;
    const auto endpoint = support::parseEndpoint(note.worker.address);
    if (endpoint.has_error()) {
        support::log_event(support::log_level::Error, "worker.bad_address")
            .field("worker", note.worker.name)
            .field("address", note.worker.address);
        return;
    }
    m_outlets.addWorker({worker, note.worker.name, *endpoint, note.worker.slots});
    owned->addSlots(worker, service, note.worker.slots);
    const auto occupied = std::min(note.busySlots, note.worker.slots);
    step(*owned, worker_added {worker, service, stableId<rack_id>(note.group), note.worker.slots,
                               occupied});
    if (note.worker.leaving)
        step(*owned, worker_leaving {worker});
}

void request_desk::on(const worker_unusable &note)
{
    auto *owned = tenure(stableId<group_id>(note.group));
    const auto worker = stableId<worker_id>(note.worker);
    if (!owned || !owned->knows(worker))
        return;
    owned->removeSlots(worker);
    step(*owned, worker_removed {worker});
}

void request_desk::on(const worker_is_leaving &note)
{
    const auto worker = stableId<worker_id>(note.worker);
    for (auto &[group, owned] : m_tenures) {
        if (owned->knows(worker))
            step(*owned, worker_leaving {worker});
    }
}

void request_desk::on(const worker_slots_held &note)
{
    auto *owned = tenure(stableId<group_id>(note.group));
    const auto worker = stableId<worker_id>(note.worker);
    if (owned && owned->knows(worker))
        step(*owned, worker_slots_confirmed {worker, note.busySlots});
}

void request_desk::on(const service_groups &note)
{
    m_groupsOf.clear();
    for (const auto &[service, groups] : note.groups) {
        m_services.insert(service);
        for (const auto &group : groups)
            m_groupsOf[service].push_back(stableId<group_id>(group));
    }
}

// --- Requests on their way in

void request_desk::admit(const service_request_ptr &request)
{
    open_request open;
    open.request = request;
    admit(std::move(open));
}

void request_desk::admitForwarded(const service_request_ptr &request, group_id group)
{
    open_request open;
    open.request = request;
    open.group = group;
    open.forwarded = true;
    admit(std::move(open));
}

void request_desk::admit(open_request &&open)
{
    const auto id = open.request->id;
    open.admittedAt = clock::now();
    open.parkedUntil = std::min(open.request->deadline, clock::now() + m_limits.parkAtMost);
    const auto found = m_open.emplace(id, std::move(open)).first;
    auto &stored = found->second;
    if (!m_services.contains(stored.request->service))
        return refuse(found, errc::NoSuchService, run_state::NotRun, clock::now());
    if (!stored.forwarded)
        return place(stored);
    if (auto *owned = tenure(stored.group))
        return placeHere(stored, *owned);
    refuse(found, errc::NotReady, run_state::NotRun, clock::now() + retryAfterRefusal);
}

void request_desk::place(open_request &open)
{
    const auto route = chooseRoute(*open.request);
    if (route)
        place(open, *route);
    else
        park(open);
}

void request_desk::place(open_request &open, const route &route)
{
    open.group = route.group;
    if (route.owner != m_self) {
        open.heldBy = holder::Peer;
        m_router.recordForwarded(route.group, stableId<service_id>(open.request->service),
                                 open.request->declared, clock::now());
        m_outlets.forward({route.owner, route.group, open.request});
        return;
    }
    auto *owned = tenure(route.group);
    PLANTAINGAP_INVARIANT(owned != nullptr, "the router names us only for groups that we own");
    placeHere(open, *owned);
}

void request_desk::placeHere(open_request &open, group_tenure &owned)
{
    open.heldBy = holder::Tenure;
    open.group = owned.group();
    if (open.request->idempotent || !owned.keys)
        schedule(open.request->id);
    else
        owned.keys->arrived(*open.request);
}

void request_desk::schedule(request_id request)
{
    const auto found = m_open.find(request);
    if (found == m_open.end())
        return;
    const auto &open = found->second;
    auto *owned = tenure(open.group);
    PLANTAINGAP_INVARIANT(owned != nullptr, "requests are scheduled in groups that we own");
    request_arrived arrived;
    arrived.request = request;
    arrived.service = stableId<service_id>(open.request->service);
    arrived.kind = m_kinds.idOf(open.request->kind);
    arrived.declared = open.request->declared;
    arrived.idempotent = open.request->idempotent;
    arrived.deadline = open.request->deadline;
    step(*owned, arrived);
}

std::optional<route> request_desk::chooseRoute(const service_request &request)
{
    refreshSummaries();
    const auto service = stableId<service_id>(request.service);
    const auto now = clock::now();
    if (request.idempotent)
        return m_router.choose(service, request.declared, now);
    const auto groups = m_groupsOf.find(request.service);
    if (groups == m_groupsOf.end())
        return std::nullopt;
    const auto hash = support::nameDigest(request.service + "/" + request.key);
    return m_router.chooseForKey(service, hash, groups->second, now);
}

// The request came back as not run by its group, or may be run again.
void request_desk::tryElsewhere(open_table::iterator found, errc code, time_point retryAt)
{
    auto &open = found->second;
    open.sent = false;
    const auto now = clock::now();
    const bool mayWait = !open.forwarded && now < open.parkedUntil;
    // Its key was not released: whoever owns the key's group by then takes it.
    const bool unreleased = code == errc::NotReady || code == errc::StoreUnavailable;
    if (mayWait && !open.request->idempotent && unreleased && !open.mayHaveRun)
        return park(open);
    const bool mayMove = mayWait && open.request->idempotent;
    if (mayMove) {
        const auto service = stableId<service_id>(open.request->service);
        refreshSummaries();
        const auto other =
            m_router.chooseAlternative(service, open.request->declared, open.group, now);
        if (other)
            return place(open, *other);
        return park(open);
    }
    const auto honest = open.mayHaveRun ? errc::OutcomeUnknown : code;
    refuse(found, honest, runStateOf(honest), retryAt);
}

void request_desk::park(open_request &open)
{
    const auto id = open.request->id;
    open.heldBy = holder::Parked;
    if (m_parked.size() < m_limits.parked) {
        m_parked.push_back(id);
        return;
    }
    const auto code = open.mayHaveRun ? errc::OutcomeUnknown : errc::Overloaded;
    refuse(m_open.find(id), code, runStateOf(code), clock::now() + retryAfterRefusal);
}

void request_desk::retryParked()
{
    const auto now = clock::now();
    auto parked = std::move(m_parked);
    m_parked.clear();
    for (const auto id : parked) {
        const auto found = m_open.find(id);
        if (found == m_open.end())
            continue;
        auto &open = found->second;
        if (now < open.parkedUntil) {
            place(open);
            continue;
        }
        const bool late = open.request->deadline <= now;
        const auto code = late ? errc::DeadlinePassed : errc::NoWorker;
        const auto honest = open.mayHaveRun ? errc::OutcomeUnknown : code;
        refuse(found, honest, runStateOf(honest), now + retryAfterRefusal);
    }
}

// --- Requests on their way out

void request_desk::sendEnded(backend::send_finished &&ended)
{
    const auto found = m_open.find(ended.request);
    PLANTAINGAP_INVARIANT(found != m_open.end(), "an ended send belongs to an open request");
    auto &open = found->second;
    open.sent = false;
    m_sent.erase({open.request->deadline, ended.request});
    open.mayHaveRun = open.mayHaveRun || ended.outcome == send_outcome::Unknown;
    const auto group = open.group;
    const bool former = open.heldBy == holder::FormerTenure;
    const bool again = open.request->idempotent || !open.mayHaveRun;
    if (ended.response)
        answer(found, std::move(ended.response));
    else if (former && again)
        return tryElsewhere(found, errc::NotReady, clock::now() + retryAfterRefusal);
    else if (former)
        return refuse(found, errc::OutcomeUnknown, run_state::Unknown, clock::now());
    if (former)
        return;
    auto *owned = tenure(group);
    PLANTAINGAP_INVARIANT(owned != nullptr, "a request of a tenure ends in it");
    step(*owned, request_ended {ended.request, ended.outcome});
}

void request_desk::forwardEnded(peer::forward_result &&ended)
{
    const auto found = m_open.find(ended.request);
    PLANTAINGAP_INVARIANT(found != m_open.end(), "an ended forward belongs to an open request");
    auto &open = found->second;
    const auto retryAt = clock::now() + retryAfterRefusal;
    if (!ended.response) {
        m_router.markSuspected(ended.owner);
        open.mayHaveRun = open.mayHaveRun || !ended.notSent;
        if (open.request->idempotent || !open.mayHaveRun)
            return tryElsewhere(found, errc::NotReady, retryAt);
        return refuse(found, errc::OutcomeUnknown, run_state::Unknown, retryAt);
    }
    const auto &told = *ended.response;
    const bool moved = told.code == errc::NotReady || told.code == errc::NoWorker
                       || told.code == errc::Stopping || told.code == errc::Overloaded
                       || told.code == errc::StoreUnavailable;
    if (moved && told.run == run_state::NotRun)
        return tryElsewhere(found, told.code, told.retryAt);
    if (told.code != errc::Ok && told.run == run_state::NotRun && open.mayHaveRun)
        return refuse(found, errc::OutcomeUnknown, run_state::Unknown, retryAt);
    answer(found, std::move(ended.response));
}

void request_desk::answer(open_table::iterator found, service_response_ptr answer)
{
    const auto &open = found->second;
    auto *owned = open.heldBy == holder::Tenure ? tenure(open.group) : nullptr;
    const bool keyed = owned && owned->keys && !open.request->idempotent;
    if (keyed && answer->code == errc::Ok)
        owned->keys->answered(*open.request, answer->status);
    const bool told = open.told;
    const auto outcome = make_error_code(answer->code).message();
    ++m_metrics.counter(endedName, classLabel(*open.request) + ",outcome=\"" + outcome + "\"");
    m_open.erase(found);
    if (!told)
        m_outlets.answer(std::move(answer));
}

void request_desk::refuse(open_table::iterator found, errc code, run_state run, time_point retryAt)
{
    const auto &request = *found->second.request;
    support::log_event(support::log_level::Debug, "request.refused")
        .field("request", request.name)
        .field("code", make_error_code(code).message());
    auto refusal = std::make_shared<service_response>();
    refusal->id = request.id;
    refusal->code = code;
    refusal->run = run;
    refusal->retryAt = retryAt;
    answer(found, std::move(refusal));
}

std::string request_desk::metricsText()
{
    m_metrics.gauge("plantaingap_requests_open", "") = static_cast<std::int64_t>(m_open.size());
    m_metrics.gauge("plantaingap_groups_owned", "") = static_cast<std::int64_t>(m_tenures.size());
    return m_metrics.text();
}

void request_desk::refuseKey(const refuse_key &refused)
{
    const auto found = m_open.find(refused.request);
    if (found == m_open.end())
        return;
    if (refused.code != errc::DuplicateKey)
        return tryElsewhere(found, refused.code, clock::now() + retryAfterRefusal);
    const auto run = refused.status ? run_state::Run : run_state::Unknown;
    refuse(found, refused.code, run, clock::now() + retryAfterRefusal);
}

void request_desk::step(group_tenure &owned, const request_event &event)
{
    // A list of its own: carrying out an action may lead to another step.
    std::vector<request_action> actions = std::move(m_actions);
    actions.clear();
    owned.scheduler.step(event, clock::now(), actions);
    owned.changed = true;
    for (const auto &action : actions)
        std::visit([&](const auto &typed) { carryOut(owned, typed); }, action);
    m_actions = std::move(actions);
    armTimer(owned);
}

void request_desk::carryOut(group_tenure &owned, const send_request &action)
{
    auto &open = m_open.at(action.request);
    PLANTAINGAP_INVARIANT(tenure(open.group) == &owned, "only the owner of a group sends");
    open.sent = true;
    m_metrics.histogram(waitName, classLabel(*open.request))
        .observe(clock::now() - open.admittedAt);
    m_sent.emplace(open.request->deadline, action.request);
    armTimerAt(open.request->deadline);
    m_outlets.sendToWorker({open.request, action.worker, owned.name(), owned.authority()});
}

void request_desk::carryOut(group_tenure &, const refuse_request &action)
{
    const auto found = m_open.find(action.request);
    PLANTAINGAP_INVARIANT(found != m_open.end(), "a refused request is open");
    if (action.code == errc::NoWorker)
        return tryElsewhere(found, action.code, action.retryAt);
    refuse(found, action.code, runStateOf(action.code), action.retryAt);
}

// --- What other instances are told, and tell

void request_desk::learn(const std::vector<group_summary> &summaries)
{
    for (const auto &summary : summaries) {
        m_router.clearSuspicion(summary.owner);
        if (!tenure(summary.group))
            m_router.updateSummary(summary);
    }
    if (!m_parked.empty())
        retryParked();
}

void request_desk::refreshSummaries()
{
    const auto now = clock::now();
    for (auto &[id, owned] : m_tenures) {
        if (!owned->changed)
            continue;
        owned->changed = false;
        for (const auto &summary : owned->summaries(m_self, m_limits.router.region, now))
            m_router.updateSummary(summary);
    }
}

void request_desk::publish()
{
    const auto now = clock::now();
    std::vector<group_summary> own;
    for (auto &[id, owned] : m_tenures) {
        // Kept fresh in the router too, where nothing else happens.
        owned->changed = true;
        const auto told = owned->summaries(m_self, m_limits.router.region, now);
        own.insert(own.end(), told.begin(), told.end());
    }
    m_outlets.summaries(std::move(own));
    retryParked();
    m_publishTimer.expires_at(now + m_limits.summaryEvery);
    m_publishTimer.async_wait([this](const auto &error) {
        if (!error)
            publish();
    });
}

void request_desk::armTimer(const group_tenure &owned)
{
    if (const auto next = owned.scheduler.nextDeadline())
        armTimerAt(*next);
}

void request_desk::armTimerAt(time_point next)
{
    if (m_armedFor && *m_armedFor <= next)
        return;
    m_armedFor = next;
    m_timer.expires_at(next);
    m_timer.async_wait([this](const auto &error) {
        if (!error)
            expire();
    });
}

// Tells callers whose deadline passes while their request is on a worker. The slot is not free
// before the worker has answered, or the transport has given up on it.
void request_desk::tellLate(time_point now)
{
    while (!m_sent.empty() && m_sent.begin()->first <= now) {
        const auto id = m_sent.begin()->second;
        m_sent.erase(m_sent.begin());
        auto &open = m_open.at(id);
        open.told = true;
        auto late = std::make_shared<service_response>();
        late->id = id;
        late->code = errc::OutcomeUnknown;
        late->run = run_state::Unknown;
        late->retryAt = now;
        m_outlets.answer(std::move(late));
    }
    if (!m_sent.empty())
        armTimerAt(m_sent.begin()->first);
}

void request_desk::expire()
{
    m_armedFor.reset();
    tellLate(clock::now());
    for (auto &entry : m_tenures) {
        auto &owned = *entry.second;
        std::vector<request_action> actions;
        const auto now = clock::now();
        const auto next = owned.scheduler.nextDeadline();
        if (next && *next <= now)
            owned.scheduler.expire(now, actions);
        owned.changed = owned.changed || !actions.empty();
        for (const auto &action : actions)
            std::visit([&](const auto &typed) { carryOut(owned, typed); }, action);
        armTimer(owned);
    }
}

} // namespace plantaingap::runtime
