#ifndef PLANTAINGAP_DECISION_WORKER_POOL_H
#define PLANTAINGAP_DECISION_WORKER_POOL_H

#include "decision/slot_index.h"
#include "decision/worker_health.h"

#include <plantaingap/request_scheduler.h>
#include <set>

namespace plantaingap::decision {

// The workers of one service: their slots, whether they are in service, and their health.
class worker_pool
{
public:
    // A slot that was taken.
    struct placement
    {
        worker_id worker {};
        std::uint64_t stay = 0;
        bool probe = false;
    };

    void add(const worker_added &event);
    void confirm(worker_id worker, std::uint32_t occupied);
    void leave(worker_id worker);
    void remove(worker_id worker);

    // Takes a slot on a worker in service, another than the avoided one if possible.
    std::optional<placement> place(std::optional<worker_id> avoid);
    // Takes a slot on a quarantined worker whose probe is due.
    std::optional<placement> placeProbe(time_point now);

    // Gives the slot back and learns from the outcome.
    void release(const placement &held, kind_id kind, send_outcome outcome, time_point now);

    std::uint32_t slots() const { return m_index.slots(); }
    std::uint32_t free() const { return m_index.free(); }
    std::size_t quarantined() const { return m_quarantined; }

private:
    struct worker_entry
    {
        std::uint64_t stay = 0;
        bool leaving = false;
        worker_health health;
    };

    void judge(worker_id worker, worker_entry &entry, time_point now);
    void judgeProbe(worker_id worker, worker_entry &entry, bool failed, time_point now);
    void endQuarantine(worker_id worker, worker_entry &entry);
    bool mayQuarantineOneMore() const;

    slot_index m_index;
    std::unordered_map<worker_id, worker_entry> m_workers;
    kind_failures m_kinds;
    // Quarantined workers that have no probe under way, by the time of the next.
    std::set<std::pair<time_point, worker_id>> m_probes;
    std::size_t m_quarantined = 0;
    std::uint64_t m_stays = 0;
};

} // namespace plantaingap::decision

#endif
