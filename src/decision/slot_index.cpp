#include "decision/slot_index.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

std::uint32_t slot_index::worker_slots::free() const
{
    if (mutated("requests.skip_slot_check"))
        return slots;
    // A worker may report more occupied slots than it has, so the subtraction must not underflow.
    return slots - std::min(slots, occupied + previousOwnerSlots);
}

template<class Change>
void slot_index::update(worker_id worker, Change change)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return;
    unlink(worker, it->second);
    change(it->second);
    link(worker, it->second);
}

void slot_index::add(worker_id worker, rack_id rack, std::uint32_t slots)
{
    m_workers.try_emplace(worker, worker_slots {rack, 0, 0, 0, false, m_useOrder});
    update(worker, [&](worker_slots &state) {
        state.rack = rack;
        state.slots = slots;
        state.available = true;
    });
}

void slot_index::remove(worker_id worker)
{
    setAvailable(worker, false);
    m_workers.erase(worker);
}

void slot_index::setPreviousOwnerSlots(worker_id worker, std::uint32_t occupied)
{
    update(worker, [&](worker_slots &state) { state.previousOwnerSlots = occupied; });
}

void slot_index::setAvailable(worker_id worker, bool available)
{
    update(worker, [&](worker_slots &state) { state.available = available; });
}

void slot_index::occupy(worker_id worker)
{
    update(worker, [&](worker_slots &state) {
        PLANTAINGAP_INVARIANT(state.occupied + state.previousOwnerSlots < state.slots,
                              "worker slots exceeded");
        ++state.occupied;
        state.useOrder = --m_useOrder;
    });
}

void slot_index::release(worker_id worker)
{
    update(worker, [&](worker_slots &state) {
        PLANTAINGAP_INVARIANT(state.occupied > 0, "slot released twice");
        --state.occupied;
    });
}

bool slot_index::hasFreeSlot(worker_id worker) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second.free() > 0;
}

std::optional<worker_id> slot_index::pick(std::optional<worker_id> avoid) const
{
    std::optional<worker_id> avoided;
    for (auto rackEntry = m_rankedRacks.rbegin(); rackEntry != m_rankedRacks.rend(); ++rackEntry) {
        const auto &[rackFree, rackUseOrder, rack] = *rackEntry;
        if (rackFree == 0)
            break;
        const auto &workers = m_racks.at(rack).workers;
        for (auto entry = workers.rbegin(); entry != workers.rend(); ++entry) {
            const auto &[free, useOrder, worker] = *entry;
            if (free == 0)
                break;
            if (worker != avoid)
                return worker;
            avoided = worker;
        }
    }
    return avoided;
}

void slot_index::link(worker_id worker, const worker_slots &state)
{
    if (!state.available)
        return;
    auto &rack = m_racks[state.rack];
    if (rack.workers.empty())
        m_rankedRacks.emplace(rack.free, rack.useOrder, state.rack);
    rack.workers.emplace(state.free(), state.useOrder, worker);
    rerank(state.rack, rack, rack.free + state.free(), m_useOrder);
    m_slots += state.slots;
    m_free += state.free();
}

void slot_index::unlink(worker_id worker, const worker_slots &state)
{
    if (!state.available)
        return;
    auto &rack = m_racks[state.rack];
    rack.workers.erase({state.free(), state.useOrder, worker});
    rerank(state.rack, rack, rack.free - state.free(), rack.useOrder);
    m_slots -= state.slots;
    m_free -= state.free();
    if (rack.workers.empty()) {
        m_rankedRacks.erase({rack.free, rack.useOrder, state.rack});
        m_racks.erase(state.rack);
    }
}

void slot_index::rerank(rack_id id, rack_slots &rack, std::uint32_t free, std::uint64_t useOrder)
{
    if (free == rack.free && useOrder == rack.useOrder)
        return;
    m_rankedRacks.erase({rack.free, rack.useOrder, id});
    m_rankedRacks.emplace(free, useOrder, id);
    rack.free = free;
    rack.useOrder = useOrder;
}

} // namespace plantaingap::decision
