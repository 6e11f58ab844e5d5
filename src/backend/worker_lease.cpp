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

// The time by the owner's clock after which a lease of a worker's clock has certainly expired.
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

bool worker_leases::allTasksKnown() const
{
    return std::ranges::all_of(m_workers, [this](const auto &entry) {
        const auto &worker = entry.second;
        return worker.leasesExpired || (worker.repliedUnder && worker.repliedUnder == m_authority);
    });
}

errc worker_leases::checkStart(const start_requested &request, time_point now) const
{
    const auto found = m_workers.find(request.worker);
    if (!m_authority || found == m_workers.end())
        return errc::NotReady;
    const auto &worker = found->second;
    if (worker.leaving && !mutated("lease.skip_leaving"))
        return errc::Stopping;
    const bool replied = worker.ready || mutated("lease.place_before_answer");
    if (!replied || !worker.stamp)
        return errc::NotReady;
    // The worker would refuse the order as stale.
    if (now - worker.stampedAt >= m_limits.startWindow)
        return errc::NotReady;
    if (isRunningOrStarting(keyOf(request.task)))
        return errc::DuplicateKey;
    const bool neverStarted = request.origin == task_origin::Accepted && m_authority->rank == 0;
    if (!neverStarted && !allTasksKnown() && !mutated("lease.skip_restart_certainty"))
        return errc::OutcomeUnknown;
    return errc::Ok;
}

bool worker_leases::isRunningOrStarting(const task_key &key) const
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
    m_previousOwners = {event.previousOwners.begin(), event.previousOwners.end()};
    m_previousLeasesEnd.reset();
    // A successor that acts by rank has no recorded generation: the store doesn't inform its
    // rivals, so no waiting time proves that their leases have expired.
    if (event.recordedAt)
        m_previousLeasesEnd =
            *event.recordedAt
            + withDriftMargin(m_limits.storeGrace + m_limits.lease, m_limits.driftPpm);
    for (auto &[id, worker] : m_workers) {
        markUnready(id, worker, actions);
        worker.repliedUnder.reset();
        worker.leasesExpired = false;
        worker.running.clear();
        worker.stopping.clear();
        // Under a higher epoch the workers refuse orders still in flight from earlier terms.
        if (!sameEpoch)
            worker.starting.clear();
        query(id, worker, now, actions);
    }
}

void worker_leases::on(const authority_confirmed &event, time_point /*now*/,
                       std::vector<lease_action> &actions)
{
    m_exclusiveAt = std::max(m_exclusiveAt, event.exclusiveAt);
    if (!m_authority)
        return;
    for (auto &[id, worker] : m_workers)
        updateReady(id, worker, actions);
}

void worker_leases::on(const authority_lost & /*event*/, time_point /*now*/,
                       std::vector<lease_action> &actions)
{
    m_authority.reset();
    for (auto &[id, worker] : m_workers)
        markUnready(id, worker, actions);
}

void worker_leases::on(const worker_listed &event, time_point now,
                       std::vector<lease_action> &actions)
{
    const auto [entry, added] = m_workers.try_emplace(event.worker);
    if (added && m_authority)
        query(event.worker, entry->second, now, actions);
}

void worker_leases::on(const worker_unlisted &event, time_point /*now*/,
                       std::vector<lease_action> &actions)
{
    const auto found = m_workers.find(event.worker);
    if (found == m_workers.end())
        return;
    markUnready(event.worker, found->second, actions);
    reportAllStopped(event.worker, found->second, actions);
    m_workers.erase(found);
}

void worker_leases::on(const worker_marked_leaving &event, time_point /*now*/,
                       std::vector<lease_action> &actions)
{
    const auto found = m_workers.find(event.worker);
    if (found == m_workers.end())
        return;
    found->second.leaving = true;
    markUnready(event.worker, found->second, actions);
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
    if (!acceptTimestamp(event, worker, now, actions) || !m_authority)
        return;
    if (event.highest != *m_authority) {
        // The worker has recorded a higher epoch, or lost its recorded epoch in a restart.
        markUnready(event.worker, worker, actions);
        worker.repliedUnder.reset();
        if (event.highest < *m_authority)
            query(event.worker, worker, now, actions);
        return;
    }
    const bool firstReply = worker.repliedUnder != m_authority;
    worker.repliedUnder = m_authority;
    worker.leasesExpired = false;
    updateRunning(event, worker, now, actions);
    updateReady(event.worker, worker, actions);
    // The lease of tasks started by a previous owner may be about to expire.
    if (firstReply)
        renew(event.worker, worker, now, actions);
}

// Records the worker's timestamp, unless the reply is older than the recorded one.
bool worker_leases::acceptTimestamp(const worker_reply &event, worker_state &worker, time_point now,
                                    std::vector<lease_action> &actions)
{
    const bool older = worker.stamp && event.stamp <= *worker.stamp;
    const bool beforeExpiry = event.askedAt < worker.leasesExpiredAt;
    if ((older || beforeExpiry) && !mutated("lease.skip_answer_order"))
        return false;
    if (worker.stamp && event.stamp.boot != worker.stamp->boot) {
        // The restart ended all tasks, and the worker refuses orders with the earlier boot number.
        reportAllStopped(event.worker, worker, actions);
        markUnready(event.worker, worker, actions);
    }
    worker.stamp = event.stamp;
    worker.stampedAt = now;
    return true;
}

// Another worker's report may predate the task's end there, so only overlapping intervals in which
// the task certainly ran on both workers prove that it ran in two places at once.
bool worker_leases::ranConcurrently(const task_key &key, const running_task &task,
                                    worker_id except) const
{
    return std::ranges::any_of(m_workers, [&](const auto &entry) {
        const auto other = entry.second.running.find(key);
        if (entry.first == except || other == entry.second.running.end())
            return false;
        return std::max(task.since, other->second.since)
               < std::min(task.until, other->second.until);
    });
}

void worker_leases::updateRunning(const worker_reply &event, worker_state &worker, time_point now,
                                  std::vector<lease_action> &actions)
{
    std::map<task_key, running_task> running;
    for (const auto &task : event.running)
        running.emplace(keyOf(task), running_task {task, now, event.askedAt});
    for (const auto &[key, previous] : worker.running) {
        const auto reported = running.find(key);
        if (reported != running.end() && reported->second.task == previous.task) {
            reported->second.since = previous.since;
            continue;
        }
        worker.stopping.erase(previous.task);
        actions.emplace_back(task_stopped {event.worker, previous.task});
    }
    worker.running = std::move(running);
    for (const auto &[key, task] : worker.running)
        PLANTAINGAP_INVARIANT(!ranConcurrently(key, task, event.worker), "lease.task_in_one_place");
    resolveStarts(event, worker, actions);
    // Resends stop orders, since earlier ones may have been lost or have arrived before the start.
    for (const auto &task : worker.stopping)
        actions.emplace_back(send_order {stop_order {event.worker, *m_authority, task}});
}

// A start that the worker doesn't report may still be in flight until its latest start time.
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

void worker_leases::reportAllStopped(worker_id id, worker_state &worker,
                                     std::vector<lease_action> &actions)
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

void worker_leases::updateReady(worker_id id, worker_state &worker,
                                std::vector<lease_action> &actions)
{
    const bool ready = worker.repliedUnder && worker.repliedUnder == m_authority
                       && upSinceExclusive(worker) && !worker.leaving;
    if (!ready) {
        markUnready(id, worker, actions);
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

// True if the worker booted before m_exclusiveAt, when no higher epoch had sent an order yet. It
// has then recorded any higher epoch that has sent it an order since.
bool worker_leases::upSinceExclusive(const worker_state &worker) const
{
    if (mutated("lease.skip_boot_cover"))
        return true;
    const duration uptime = worker.stamp->uptime;
    const duration minUptime = duration(uptime.count() / (1'000'000 + m_limits.driftPpm)
                                        * (1'000'000 - m_limits.driftPpm));
    return worker.stampedAt - minUptime <= m_exclusiveAt;
}

void worker_leases::markUnready(worker_id id, worker_state &worker,
                                std::vector<lease_action> &actions)
{
    if (!worker.ready)
        return;
    worker.ready = false;
    actions.emplace_back(worker_unready {id});
}

void worker_leases::query(worker_id id, worker_state &worker, time_point now,
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
    worker.ownLeasesEnd = std::max(worker.ownLeasesEnd, worker.stampedAt + leaseMargin(m_limits));
    actions.emplace_back(send_order {renew_order {id, *m_authority, until}});
}

void worker_leases::on(const previous_owner_stopped &event, time_point now,
                       std::vector<lease_action> & /*actions*/)
{
    if (!m_previousLeasesEnd || m_previousOwners.erase(event.previousOwner) == 0
        || !m_previousOwners.empty())
        return;
    const duration margin =
        mutated("lease.skip_former_margin") ? duration {} : leaseMargin(m_limits);
    m_previousLeasesEnd = std::min(*m_previousLeasesEnd, now + margin);
}

void worker_leases::on(const start_requested &event, time_point now,
                       std::vector<lease_action> &actions)
{
    const errc code = checkStart(event, now);
    if (code != errc::Ok) {
        actions.emplace_back(start_refused {event.worker, event.task, code});
        return;
    }
    auto &worker = m_workers.at(event.worker);
    const worker_timestamp latest {worker.stamp->boot, worker.stamp->uptime + m_limits.startWindow};
    const worker_timestamp until {worker.stamp->boot, worker.stamp->uptime + m_limits.lease};
    worker.starting[keyOf(event.task)] = {event.task, latest};
    worker.ownLeasesEnd = std::max(worker.ownLeasesEnd, worker.stampedAt + leaseMargin(m_limits));
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
        checkLeaseExpiry(id, worker, now, actions);
        const bool replied = worker.repliedUnder && worker.repliedUnder == m_authority;
        const duration interval = replied ? m_limits.renewInterval : m_limits.queryInterval;
        const bool due = worker.askedAt == time_point::min() || now - worker.askedAt >= interval;
        if (!due)
            continue;
        if (replied)
            renew(id, worker, now, actions);
        else
            query(id, worker, now, actions);
    }
}

// The tasks of an unresponsive worker have certainly stopped when every lease granted by this
// owner, or by a previous owner before it stopped, has expired, and no higher epoch had acted by
// then.
void worker_leases::checkLeaseExpiry(worker_id id, worker_state &worker, time_point now,
                                     std::vector<lease_action> &actions)
{
    if (worker.leasesExpired || !m_previousLeasesEnd)
        return;
    const bool replied = worker.repliedUnder && worker.repliedUnder == m_authority;
    const time_point leasesEnd =
        replied ? worker.ownLeasesEnd : std::max(worker.ownLeasesEnd, *m_previousLeasesEnd);
    const bool excluded = m_exclusiveAt >= leasesEnd || mutated("lease.skip_exclusion");
    if (now <= leasesEnd || !excluded)
        return;
    worker.leasesExpired = true;
    worker.leasesExpiredAt = now;
    worker.repliedUnder.reset();
    markUnready(id, worker, actions);
    reportAllStopped(id, worker, actions);
}

} // namespace plantaingap::backend
