#include "decision/worker_pool.h"

namespace plantaingap::decision {

namespace {

// At most one worker in this many is quarantined at a time: when more of them fail, the cause is
// unlikely to be the workers.
constexpr std::size_t workersPerQuarantined = 4;
constexpr int maxProbesChecked = 8;

} // namespace

void worker_pool::add(const worker_added &event)
{
    const auto [it, isNew] = m_workers.try_emplace(event.worker);
    if (isNew)
        it->second.registration = ++m_lastRegistration;
    it->second.leaving = false;
    m_index.add(event.worker, event.rack, event.slots);
    m_index.setPreviousOwnerSlots(event.worker, event.occupied);
    m_index.setAvailable(event.worker, !it->second.health.quarantined());
}

void worker_pool::setPreviousOwnerSlots(worker_id worker, std::uint32_t occupied)
{
    m_index.setPreviousOwnerSlots(worker, occupied);
}

void worker_pool::markLeaving(worker_id worker)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return;
    it->second.leaving = true;
    endQuarantine(worker, it->second);
    m_index.setAvailable(worker, false);
}

void worker_pool::remove(worker_id worker)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return;
    endQuarantine(worker, it->second);
    m_workers.erase(it);
    m_index.remove(worker);
}

// Resets the health of a worker that leaves or is removed; if it returns, it starts without
// evidence.
void worker_pool::endQuarantine(worker_id worker, worker_entry &entry)
{
    if (!entry.health.quarantined())
        return;
    m_probes.erase({entry.health.probeAt(), worker});
    --m_quarantined;
    entry.health = {};
}

std::optional<worker_pool::placement> worker_pool::occupySlot(std::optional<worker_id> avoid)
{
    const auto worker = m_index.pick(avoid);
    if (!worker)
        return std::nullopt;
    m_index.occupy(*worker);
    return placement {*worker, m_workers.at(*worker).registration, false};
}

std::optional<worker_pool::placement> worker_pool::occupyProbeSlot(time_point now)
{
    int checked = 0;
    for (auto due = m_probes.begin(); due != m_probes.end() && due->first <= now; ++due) {
        // A worker without a free slot must not block the probes of others; bounds the cost of a
        // step.
        if (++checked > maxProbesChecked)
            break;
        const auto worker = due->second;
        if (!m_index.hasFreeSlot(worker))
            continue;
        m_probes.erase(due);
        m_index.occupy(worker);
        return placement {worker, m_workers.at(worker).registration, true};
    }
    return std::nullopt;
}

void worker_pool::release(const placement &slot, kind_id kind, send_outcome outcome, time_point now)
{
    const bool failed = outcome != send_outcome::Completed;
    // A request that was not run says nothing about the failure rate of its kind.
    if (outcome != send_outcome::NotRun)
        m_kindFailures.observe(kind, failed);
    const auto it = m_workers.find(slot.worker);
    if (it == m_workers.end() || it->second.registration != slot.registration)
        return;
    m_index.release(slot.worker);
    auto &entry = it->second;
    entry.health.observe(failed, m_kindFailures.rate(kind));
    if (slot.probe)
        handleProbeResult(slot.worker, entry, failed, now);
    else
        checkHealth(slot.worker, entry, now);
}

void worker_pool::checkHealth(worker_id worker, worker_entry &entry, time_point now)
{
    if (entry.health.quarantined() || !entry.health.isSuspect() || !canQuarantineAnother())
        return;
    entry.health.quarantine(now);
    ++m_quarantined;
    m_probes.emplace(entry.health.probeAt(), worker);
    m_index.setAvailable(worker, false);
}

void worker_pool::handleProbeResult(worker_id worker, worker_entry &entry, bool failed,
                                    time_point now)
{
    // The worker left while the probe was running.
    if (!entry.health.quarantined())
        return;
    // The worker may have returned and been quarantined again since the probe started.
    m_probes.erase({entry.health.probeAt(), worker});
    if (failed) {
        entry.health.quarantine(now);
    } else if (entry.health.recordProbeSuccess()) {
        --m_quarantined;
        m_index.setAvailable(worker, !entry.leaving);
        return;
    }
    m_probes.emplace(entry.health.probeAt(), worker);
}

bool worker_pool::canQuarantineAnother() const
{
    const auto workers = m_workers.size();
    const auto limit = workers < 2 ? 0 : std::max<std::size_t>(1, workers / workersPerQuarantined);
    return m_quarantined < limit;
}

} // namespace plantaingap::decision
