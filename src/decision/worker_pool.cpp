#include "decision/worker_pool.h"

namespace plantaingap::decision {

namespace {

// At most one worker in so many is quarantined at once: when more fail, it is hardly the workers.
constexpr std::size_t quarantinePart = 4;
constexpr int probesLookedAt = 8;

} // namespace

void worker_pool::add(const worker_added &event)
{
    const auto [found, isNew] = m_workers.try_emplace(event.worker);
    if (isNew)
        found->second.stay = ++m_stays;
    found->second.leaving = false;
    m_index.add(event.worker, event.rack, event.slots);
    m_index.setForeign(event.worker, event.occupied);
    m_index.setAvailable(event.worker, !found->second.health.quarantined());
}

void worker_pool::confirm(worker_id worker, std::uint32_t occupied)
{
    m_index.setForeign(worker, occupied);
}

void worker_pool::leave(worker_id worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    found->second.leaving = true;
    endQuarantine(worker, found->second);
    m_index.setAvailable(worker, false);
}

void worker_pool::remove(worker_id worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    endQuarantine(worker, found->second);
    m_workers.erase(found);
    m_index.remove(worker);
}

// A worker that goes is no longer judged; should it come back, it starts afresh.
void worker_pool::endQuarantine(worker_id worker, worker_entry &entry)
{
    if (!entry.health.quarantined())
        return;
    m_probes.erase({entry.health.probeAt(), worker});
    --m_quarantined;
    entry.health = {};
}

std::optional<worker_pool::placement> worker_pool::place(std::optional<worker_id> avoid)
{
    const auto worker = m_index.pick(avoid);
    if (!worker)
        return std::nullopt;
    m_index.occupy(*worker);
    return placement {*worker, m_workers.at(*worker).stay, false};
}

std::optional<worker_pool::placement> worker_pool::placeProbe(time_point now)
{
    int looked = 0;
    for (auto due = m_probes.begin(); due != m_probes.end() && due->first <= now; ++due) {
        // A full worker keeps no other from its probe, but a step looks at a few only.
        if (++looked > probesLookedAt)
            break;
        const auto worker = due->second;
        if (!m_index.hasFreeSlot(worker))
            continue;
        m_probes.erase(due);
        m_index.occupy(worker);
        return placement {worker, m_workers.at(worker).stay, true};
    }
    return std::nullopt;
}

void worker_pool::release(const placement &held, kind_id kind, send_outcome outcome, time_point now)
{
    const bool failed = outcome != send_outcome::Answered;
    // A refusal by the worker says nothing of the kind.
    if (outcome != send_outcome::NotRun)
        m_kinds.observe(kind, failed);
    const auto found = m_workers.find(held.worker);
    if (found == m_workers.end() || found->second.stay != held.stay)
        return;
    m_index.release(held.worker);
    auto &entry = found->second;
    entry.health.observe(failed, m_kinds.rate(kind));
    if (held.probe)
        judgeProbe(held.worker, entry, failed, now);
    else
        judge(held.worker, entry, now);
}

void worker_pool::judge(worker_id worker, worker_entry &entry, time_point now)
{
    if (entry.health.quarantined() || !entry.health.suspect() || !mayQuarantineOneMore())
        return;
    entry.health.quarantine(now);
    ++m_quarantined;
    m_probes.emplace(entry.health.probeAt(), worker);
    m_index.setAvailable(worker, false);
}

void worker_pool::judgeProbe(worker_id worker, worker_entry &entry, bool failed, time_point now)
{
    // It left while the probe ran.
    if (!entry.health.quarantined())
        return;
    // It may have come back and been quarantined anew meanwhile.
    m_probes.erase({entry.health.probeAt(), worker});
    if (failed) {
        entry.health.quarantine(now);
    } else if (entry.health.probeAnswered()) {
        --m_quarantined;
        m_index.setAvailable(worker, !entry.leaving);
        return;
    }
    m_probes.emplace(entry.health.probeAt(), worker);
}

bool worker_pool::mayQuarantineOneMore() const
{
    const auto workers = m_workers.size();
    const auto bound = workers < 2 ? 0 : std::max<std::size_t>(1, workers / quarantinePart);
    return m_quarantined < bound;
}

} // namespace plantaingap::decision
