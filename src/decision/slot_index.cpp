#include "decision/slot_index.h"

#include <algorithm>
#include <plantaingap/invariant.h>
#include <plantaingap/mutation.h>

namespace plantaingap::decision {

std::uint32_t slot_index::worker_slots::free() const
{
    if (mutated("requests.skip_slot_check"))
        return slots;
    // A worker may report more than it should hold, so the difference is not taken unchecked.
    return slots - std::min(slots, own + foreign);
}

template<class Change>
void slot_index::update(worker_id worker, Change change)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    unlink(worker, found->second);
    change(found->second);
    link(worker, found->second);
}

void slot_index::add(worker_id worker, rack_id rack, std::uint32_t slots)
{
    m_workers.try_emplace(worker, worker_slots {rack, 0, 0, 0, false, m_turn});
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

void slot_index::setForeign(worker_id worker, std::uint32_t occupied)
{
    update(worker, [&](worker_slots &state) { state.foreign = occupied; });
}

void slot_index::setAvailable(worker_id worker, bool available)
{
    update(worker, [&](worker_slots &state) { state.available = available; });
}

void slot_index::occupy(worker_id worker)
{
    update(worker, [&](worker_slots &state) {
        PLANTAINGAP_INVARIANT(state.own + state.foreign < state.slots, "worker slots exceeded");
        ++state.own;
        state.turn = --m_turn;
    });
}

void slot_index::release(worker_id worker)
{
    update(worker, [&](worker_slots &state) {
        PLANTAINGAP_INVARIANT(state.own > 0, "slot released twice");
        --state.own;
    });
}

bool slot_index::hasFreeSlot(worker_id worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.free() > 0;
}

std::optional<worker_id> slot_index::pick(std::optional<worker_id> avoid) const
{
    std::optional<worker_id> avoided;
    for (auto rank = m_ranked.rbegin(); rank != m_ranked.rend(); ++rank) {
        const auto &[rackFree, rackTurn, rack] = *rank;
        if (rackFree == 0)
            break;
        const auto &workers = m_racks.at(rack).workers;
        for (auto each = workers.rbegin(); each != workers.rend(); ++each) {
            const auto &[free, turn, worker] = *each;
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
        m_ranked.emplace(rack.free, rack.turn, state.rack);
    rack.workers.emplace(state.free(), state.turn, worker);
    rank(state.rack, rack, rack.free + state.free(), m_turn);
    m_slots += state.slots;
    m_free += state.free();
}

void slot_index::unlink(worker_id worker, const worker_slots &state)
{
    if (!state.available)
        return;
    auto &rack = m_racks[state.rack];
    rack.workers.erase({state.free(), state.turn, worker});
    rank(state.rack, rack, rack.free - state.free(), rack.turn);
    m_slots -= state.slots;
    m_free -= state.free();
    if (rack.workers.empty()) {
        m_ranked.erase({rack.free, rack.turn, state.rack});
        m_racks.erase(state.rack);
    }
}

void slot_index::rank(rack_id id, rack_slots &rack, std::uint32_t free, std::uint64_t turn)
{
    if (free == rack.free && turn == rack.turn)
        return;
    m_ranked.erase({rack.free, rack.turn, id});
    m_ranked.emplace(free, turn, id);
    rack.free = free;
    rack.turn = turn;
}

} // namespace plantaingap::decision
