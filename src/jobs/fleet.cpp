#include "jobs/fleet.h"

#include <algorithm>

namespace plantaingap::jobs {

namespace {

// Longest time from a reading of a worker's clock until the reply with it arrives.
constexpr milliseconds maxReadingDelay {1000};

} // namespace

// Rack labels such as "r1-2" contain a dash; worker classes are single words.
std::string rackOf(const std::vector<std::string> &labels)
{
    const auto found = std::ranges::find_if(
        labels, [](const std::string &label) { return label.find('-') != std::string::npos; });
    return found == labels.end() ? std::string() : *found;
}

std::int64_t worker::estimatedClock(time_point now) const
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - clockAt).count();
    return clockMs + elapsed;
}

std::int64_t worker::certainlyPastAt(time_point now) const
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - clockAt).count();
    return clockMs + elapsed * (1000 - maxClockDriftPerMille) / 1000;
}

bool worker::continuesClock(std::int64_t readingMs, time_point now) const
{
    return readingMs >= certainlyPastAt(now) - maxReadingDelay.count()
           && readingMs <= estimatedClock(now) + maxReadingDelay.count();
}

bool worker::leasesEnded(time_point now) const
{
    if (reports == 0)
        return now >= previousLeaderLeaseEnd;
    return certainlyPastAt(now) > leaseEndMs;
}

bool worker::entryIsCurrent() const
{
    return entry.incarnationMs == 0 || entry.incarnationMs == incarnationMs;
}

bool worker::reachable(time_point now) const
{
    return listed && responsive && clockKnown && !entry.draining && entryIsCurrent()
           && now >= startsPausedUntil;
}

bool worker::usable(time_point now) const
{
    return reachable(now) && (!health.quarantined() || now >= health.probeAt());
}

bool worker::hasLabel(std::string_view label) const
{
    return label.empty() || std::ranges::find(entry.labels, label) != entry.labels.end();
}

std::vector<std::string> fleet::updateList(const std::vector<worker_entry> &entries,
                                           time_point previousLeaderLeaseEnd)
{
    std::vector<std::string> added;
    for (auto &[id, worker] : m_workers)
        worker->listed = false;
    for (const auto &entry : entries) {
        if (!m_workers.contains(entry.id))
            added.push_back(entry.id);
        auto &worker = require(entry.id, previousLeaderLeaseEnd);
        worker.entry = entry;
        worker.fullCapacity = greatest(worker.fullCapacity, entry.capacity);
        worker.rack = rackOf(entry.labels);
        worker.listed = true;
    }
    return added;
}

worker *fleet::find(std::string_view id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : found->second.get();
}

worker *fleet::find(worker_ref ref) const
{
    auto *found = ref.slot < m_slots.size() ? m_slots[ref.slot] : nullptr;
    return found && found->ref == ref ? found : nullptr;
}

worker &fleet::require(const std::string &id, time_point previousLeaderLeaseEnd)
{
    auto &slot = m_workers[id];
    if (!slot) {
        slot = std::make_unique<worker>();
        slot->entry.id = id;
        slot->idHash = std::hash<std::string> {}(id);
        if (m_freeSlots.empty()) {
            m_freeSlots.push_back(static_cast<std::uint32_t>(m_slots.size()));
            m_slots.push_back(nullptr);
        }
        slot->ref = {m_freeSlots.back(), ++m_lastNumber};
        m_freeSlots.pop_back();
        m_slots[slot->ref.slot] = slot.get();
        slot->previousLeaderLeaseEnd = previousLeaderLeaseEnd;
    }
    return *slot;
}

std::vector<std::string> fleet::sweep(time_point now)
{
    std::vector<std::string> removed;
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        const auto &worker = *it->second;
        if (!worker.listed && worker.runs.empty() && worker.orphans.empty()
            && (!worker.responsive || worker.leasesEnded(now))
            && (worker.unresolvedLosses.empty() || worker.unresolvedUntil <= now)) {
            removed.push_back(it->first);
            m_slots[worker.ref.slot] = nullptr;
            m_freeSlots.push_back(worker.ref.slot);
            it = m_workers.erase(it);
        } else {
            ++it;
        }
    }
    return removed;
}

resources fleet::capacity() const
{
    resources sum;
    for (const auto &[id, worker] : m_workers) {
        if (worker->listed && !worker->entry.draining)
            sum += worker->entry.capacity;
    }
    return sum;
}

resources fleet::used() const
{
    resources sum;
    for (const auto &[id, worker] : m_workers) {
        if (worker->listed && !worker->entry.draining)
            sum += worker->used;
    }
    return sum;
}

} // namespace plantaingap::jobs
