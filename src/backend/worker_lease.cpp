#include "backend/worker_lease.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::backend {

namespace {

std::pair<job_id, std::uint32_t> keyOf(const task_id &task)
{
    return {task.job, task.index};
}

// How long to wait by our clock until a lease of a worker's clock has certainly lapsed.
duration leaseMargin(const lease_limits &limits)
{
    const auto drift = mutated("lease.skip_drift_margin") ? 0 : limits.driftPpm;
    return withDriftMargin(limits.lease, drift);
}

} // namespace

worker_leases::worker_leases(const lease_limits &limits)
    : m_limits(limits)
{ }

void worker_leases::step(const lease_event &event, time_point now,
                         std::vector<lease_action> &actions)
{
    std::visit([&](const auto &typed) { on(typed, now, actions); }, event);
}

bool worker_leases::ready(worker_id worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.ready && !found->second.leaving;
}

bool worker_leases::allSettled() const
{
    return std::ranges::all_of(m_workers, [this](const auto &entry) {
        const auto &worker = entry.second;
        return worker.lapsed || (worker.answered && worker.answered == m_authority);
    });
}

errc worker_leases::startCheck(const start_requested &request, time_point now) const
{
    const auto found = m_workers.find(request.worker);
    if (!m_authority || found == m_workers.end())
        return errc::NotReady;
    const auto &worker = found->second;
    if (worker.leaving && !mutated("lease.skip_leaving"))
        return errc::Stopping;
    const bool answered = worker.ready || mutated("lease.place_before_answer");
    if (!answered || !worker.stamp)
        return errc::NotReady;
    // An order that is stale on arrival would only cost the worker time.
    if (now - worker.stampedAt >= m_limits.startWindow)
        return errc::NotReady;
    if (known(keyOf(request.task)))
        return errc::DuplicateKey;
    const bool fresh = request.origin == task_origin::Accepted && m_authority->rank == 0;
    if (!fresh && !allSettled() && !mutated("lease.skip_restart_certainty"))
        return errc::OutcomeUnknown;
    return errc::Ok;
}

bool worker_leases::known(const task_key &key) const
{
    return std::ranges::any_of(m_workers, [&](const auto &entry) {
        const auto &worker = entry.second;
        return worker.running.contains(key) || worker.starting.contains(key);
    });
}

void worker_leases::on(const authority_gained &event, time_point now,
                       std::vector<lease_action> &actions)
{
    const bool sameEpoch = event.authority == m_lastEpoch;
    PLANTAINGAP_INVARIANT(event.authority >= m_lastEpoch, "lease.epoch_never_falls");
    m_authority = event.authority;
    m_lastEpoch = event.authority;
    m_exclusiveAt = event.exclusiveAt;
    m_formers = {event.previousOwners.begin(), event.previousOwners.end()};
    m_formersLapse.reset();
    // Rivals that act by rank are not told by the store: for them no time is ever long enough.
    if (event.recordedAt)
        m_formersLapse = *event.recordedAt
                         + withDriftMargin(m_limits.storeGrace + m_limits.lease, m_limits.driftPpm);
    for (auto &[id, worker] : m_workers) {
        unready(id, worker, actions);
        worker.answered.reset();
        worker.lapsed = false;
        worker.running.clear();
        worker.stopping.clear();
        // Under a higher epoch the workers refuse what is still on the wire from before.
        if (!sameEpoch)
            worker.starting.clear();
        ask(id, worker, now, actions);
    }
}

void worker_leases::on(const authority_confirmed &event, time_point /*now*/,
                       std::vector<lease_action> &actions)
{
    m_exclusiveAt = std::max(m_exclusiveAt, event.exclusiveAt);
    if (!m_authority)
        return;
    for (auto &[id, worker] : m_workers)
        review(id, worker, actions);
}

void worker_leases::on(const authority_lost & /*event*/, time_point /*now*/,
                       std::vector<lease_action> &actions)
{
    m_authority.reset();
    for (auto &[id, worker] : m_workers)
        unready(id, worker, actions);
}

void worker_leases::on(const worker_listed &event, time_point now,
                       std::vector<lease_action> &actions)
{
    const auto [entry, added] = m_workers.try_emplace(event.worker);
    if (added && m_authority)
        ask(event.worker, entry->second, now, actions);
}

void worker_leases::on(const worker_unlisted &event, time_point /*now*/,
                       std::vector<lease_action> &actions)
{
    const auto found = m_workers.find(event.worker);
    if (found == m_workers.end())
        return;
    unready(event.worker, found->second, actions);
    endAll(event.worker, found->second, actions);
    m_workers.erase(found);
}

void worker_leases::on(const worker_marked_leaving &event, time_point /*now*/,
                       std::vector<lease_action> &actions)
{
    const auto found = m_workers.find(event.worker);
    if (found == m_workers.end())
        return;
    found->second.leaving = true;
    unready(event.worker, found->second, actions);
}

void worker_leases::on(const worker_reply &event, time_point now,
                       std::vector<lease_action> &actions)
{
    const auto found = m_workers.find(event.worker);
    if (found == m_workers.end())
        return;
    auto &worker = found->second;
    if (event.highest > m_lastEpoch)
        actions.emplace_back(epoch_received {event.highest});
    if (!accept(event, worker, now, actions) || !m_authority)
        return;
    if (event.highest != *m_authority) {
        // A higher epoch has it, or a restart made it forget ours.
        unready(event.worker, worker, actions);
        worker.answered.reset();
        if (event.highest < *m_authority)
            ask(event.worker, worker, now, actions);
        return;
    }
    const bool first = worker.answered != m_authority;
    worker.answered = m_authority;
    worker.lapsed = false;
    compare(event, worker, now, actions);
    review(event.worker, worker, actions);
    // What a former owner left running may be close to its lapse.
    if (first)
        renew(event.worker, worker, now, actions);
}

// Takes the worker's clock from the answer, unless it is older than what is known.
bool worker_leases::accept(const worker_reply &event, worker_state &worker, time_point now,
                           std::vector<lease_action> &actions)
{
    const bool older = worker.stamp && event.stamp <= *worker.stamp;
    const bool beforeLapse = event.askedAt < worker.lapsedAt;
    if ((older || beforeLapse) && !mutated("lease.skip_answer_order"))
        return false;
    if (worker.stamp && event.stamp.boot != worker.stamp->boot) {
        // The tasks ended with the former run, and orders for it are refused.
        endAll(event.worker, worker, actions);
        unready(event.worker, worker, actions);
    }
    worker.stamp = event.stamp;
    worker.stampedAt = now;
    return true;
}

// Another worker's report may be older than the task's end there; only times that were certainly
// spent running on both prove a task in two places.
bool worker_leases::ranAtOnce(const task_key &key, const running_task &task, worker_id except) const
{
    return std::ranges::any_of(m_workers, [&](const auto &entry) {
        const auto other = entry.second.running.find(key);
        if (entry.first == except || other == entry.second.running.end())
            return false;
        return std::max(task.since, other->second.since)
               < std::min(task.until, other->second.until);
    });
}

void worker_leases::compare(const worker_reply &event, worker_state &worker, time_point now,
                            std::vector<lease_action> &actions)
{
    std::map<task_key, running_task> running;
    for (const auto &task : event.running)
        running.emplace(keyOf(task), running_task {task, now, event.askedAt});
    for (const auto &[key, former] : worker.running) {
        const auto still = running.find(key);
        if (still != running.end() && still->second.task == former.task) {
            still->second.since = former.since;
            continue;
        }
        worker.stopping.erase(former.task);
        actions.emplace_back(task_stopped {event.worker, former.task});
    }
    worker.running = std::move(running);
    for (const auto &[key, task] : worker.running)
        PLANTAINGAP_INVARIANT(!ranAtOnce(key, task, event.worker), "lease.task_in_one_place");
    resolveStarts(event, worker, actions);
    // An earlier stop was lost, or overtook the start.
    for (const auto &task : worker.stopping)
        actions.emplace_back(send_order {stop_order {event.worker, *m_authority, task}});
}

// A start that the worker does not know of may still be on its way until it is stale.
void worker_leases::resolveStarts(const worker_reply &event, worker_state &worker,
                                  std::vector<lease_action> &actions)
{
    std::erase_if(worker.starting, [&](const auto &entry) {
        const auto &[key, started] = entry;
        if (worker.running.contains(key))
            return true;
        const bool stale = event.stamp > started.latestStart;
        if (!stale && !mutated("lease.skip_start_in_flight"))
            return false;
        worker.stopping.erase(started.task);
        actions.emplace_back(task_stopped {event.worker, started.task});
        return true;
    });
}

void worker_leases::endAll(worker_id id, worker_state &worker, std::vector<lease_action> &actions)
{
    for (const auto &[key, running] : worker.running)
        actions.emplace_back(task_stopped {id, running.task});
    for (const auto &[key, started] : worker.starting) {
        if (!worker.running.contains(key))
            actions.emplace_back(task_stopped {id, started.task});
    }
    worker.running.clear();
    worker.starting.clear();
    worker.stopping.clear();
}

void worker_leases::review(worker_id id, worker_state &worker, std::vector<lease_action> &actions)
{
    const bool ready =
        worker.answered && worker.answered == m_authority && covered(worker) && !worker.leaving;
    if (!ready) {
        unready(id, worker, actions);
        return;
    }
    if (worker.ready)
        return;
    worker.ready = true;
    worker_ready message {id, {}};
    for (const auto &[key, task] : worker.running)
        message.running.push_back(task.task);
    actions.emplace_back(std::move(message));
}

// True when the worker was already up at a time at which nobody above us had acted: then it
// remembers whoever has since.
bool worker_leases::covered(const worker_state &worker) const
{
    if (mutated("lease.skip_boot_cover"))
        return true;
    const duration upFor = worker.stamp->uptime;
    const duration upForAtLeast =
        duration(upFor.count() / (1'000'000 + m_limits.driftPpm) * (1'000'000 - m_limits.driftPpm));
    return worker.stampedAt - upForAtLeast <= m_exclusiveAt;
}

void worker_leases::unready(worker_id id, worker_state &worker, std::vector<lease_action> &actions)
{
    if (!worker.ready)
        return;
    worker.ready = false;
    actions.emplace_back(worker_unready {id});
}

void worker_leases::ask(worker_id id, worker_state &worker, time_point now,
                        std::vector<lease_action> &actions)
{
    worker.askedAt = now;
    actions.emplace_back(send_order {query_order {id, *m_authority}});
}

void worker_leases::renew(worker_id id, worker_state &worker, time_point now,
                          std::vector<lease_action> &actions)
{
    worker.askedAt = now;
    const duration age = mutated("lease.renew_from_now") ? now - worker.stampedAt : duration {};
    const worker_timestamp until {worker.stamp->boot, worker.stamp->uptime + m_limits.lease + age};
    worker.ownLapse = std::max(worker.ownLapse, worker.stampedAt + leaseMargin(m_limits));
    actions.emplace_back(send_order {renew_order {id, *m_authority, until}});
}

void worker_leases::on(const previous_owner_stopped &event, time_point now,
                       std::vector<lease_action> & /*actions*/)
{
    if (!m_formersLapse || m_formers.erase(event.previousOwner) == 0 || !m_formers.empty())
        return;
    const duration margin =
        mutated("lease.skip_former_margin") ? duration {} : leaseMargin(m_limits);
    m_formersLapse = std::min(*m_formersLapse, now + margin);
}

void worker_leases::on(const start_requested &event, time_point now,
                       std::vector<lease_action> &actions)
{
    const errc code = startCheck(event, now);
    if (code != errc::Ok) {
        actions.emplace_back(start_refused {event.worker, event.task, code});
        return;
    }
    auto &worker = m_workers.at(event.worker);
    const worker_timestamp latest {worker.stamp->boot, worker.stamp->uptime + m_limits.startWindow};
    const worker_timestamp until {worker.stamp->boot, worker.stamp->uptime + m_limits.lease};
    worker.starting[keyOf(event.task)] = {event.task, latest};
    worker.ownLapse = std::max(worker.ownLapse, worker.stampedAt + leaseMargin(m_limits));
    actions.emplace_back(
        send_order {start_order {event.worker, *m_authority, event.task, latest, until}});
}

void worker_leases::on(const stop_requested &event, time_point /*now*/,
                       std::vector<lease_action> &actions)
{
    if (!m_authority)
        return;
    const auto key = keyOf(event.task);
    for (auto &[id, worker] : m_workers) {
        if (!worker.running.contains(key) && !worker.starting.contains(key))
            continue;
        worker.stopping.insert(event.task);
        actions.emplace_back(send_order {stop_order {id, *m_authority, event.task}});
    }
}

void worker_leases::on(const lease_tick & /*event*/, time_point now,
                       std::vector<lease_action> &actions)
{
    if (!m_authority)
        return;
    for (auto &[id, worker] : m_workers) {
        checkLapse(id, worker, now, actions);
        const bool answered = worker.answered && worker.answered == m_authority;
        const duration every = answered ? m_limits.renewInterval : m_limits.queryInterval;
        const bool due = worker.askedAt == time_point::min() || now - worker.askedAt >= every;
        if (!due)
            continue;
        if (answered)
            renew(id, worker, now, actions);
        else
            ask(id, worker, now, actions);
    }
}

// A silent worker's tasks have certainly stopped once every lease has lapsed that we gave, or that
// a former owner gave before it stopped, and nobody above us had acted until then.
void worker_leases::checkLapse(worker_id id, worker_state &worker, time_point now,
                               std::vector<lease_action> &actions)
{
    if (worker.lapsed || !m_formersLapse)
        return;
    const bool answered = worker.answered && worker.answered == m_authority;
    const time_point lapse =
        answered ? worker.ownLapse : std::max(worker.ownLapse, *m_formersLapse);
    const bool excluded = m_exclusiveAt >= lapse || mutated("lease.skip_exclusion");
    if (now <= lapse || !excluded)
        return;
    worker.lapsed = true;
    worker.lapsedAt = now;
    worker.answered.reset();
    unready(id, worker, actions);
    endAll(id, worker, actions);
}

} // namespace plantaingap::backend
