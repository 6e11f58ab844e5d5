#ifndef PLANTAINGAP_DECISION_WORKER_POOL_H
#define PLANTAINGAP_DECISION_WORKER_POOL_H

#include "decision/slot_index.h"
#include "decision/worker_health.h"

#include <plantaingap/request_scheduler.h>
#include <set>

namespace plantaingap::decision {

// The workers of one service with their slots, availability and health.
class worker_pool
{
public:
    // A slot held by a request.
    struct placement
    {
        worker_id worker {};
        // Distinguishes a worker that was removed and added again from its earlier registration.
        std::uint64_t registration = 0;
        bool probe = false;
    };

    void add(const worker_added &event);
    void setPreviousOwnerSlots(worker_id worker, std::uint32_t occupied);
    void markLeaving(worker_id worker);
    void remove(worker_id worker);

    // Takes a slot on an available worker; on the avoided one only when there is no other.
    std::optional<placement> occupySlot(std::optional<worker_id> avoid);
    // Takes a slot on a quarantined worker whose next probe is due.
    std::optional<placement> occupyProbeSlot(time_point now);

    // Frees the slot and records the outcome for the health of the worker.
    void release(const placement &slot, kind_id kind, send_outcome outcome, time_point now);

    std::uint32_t slots() const { return m_index.slots(); }
    std::uint32_t free() const { return m_index.free(); }
    std::size_t quarantined() const { return m_quarantined; }

private:
    struct worker_entry
    {
        std::uint64_t registration = 0;
        bool leaving = false;
        worker_health health;
    };

    void checkHealth(worker_id worker, worker_entry &entry, time_point now);
    void handleProbeResult(worker_id worker, worker_entry &entry, bool failed, time_point now);
    void endQuarantine(worker_id worker, worker_entry &entry);
    bool canQuarantineAnother() const;

    slot_index m_index;
    std::unordered_map<worker_id, worker_entry> m_workers;
    kind_failures m_kindFailures;
    // Quarantined workers without a running probe, by the time of their next probe.
    std::set<std::pair<time_point, worker_id>> m_probes;
    std::size_t m_quarantined = 0;
    std::uint64_t m_lastRegistration = 0;
};

} // namespace plantaingap::decision

#endif
