#ifndef PLANTAINGAP_DECISION_SLOT_INDEX_H
#define PLANTAINGAP_DECISION_SLOT_INDEX_H

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <plantaingap/ids.h>
#include <set>
#include <tuple>
#include <unordered_map>

namespace plantaingap::decision {

// Index of the slots of one service's workers. Finds the worker with the most free slots in the
// rack with the most free slots without a scan; ties go to the least recently used one. An update
// takes time logarithmic in the number of racks and of workers in the rack.
class slot_index
{
public:
    // Adds a worker, or changes the rack and slots of an existing one, and makes it available.
    void add(worker_id worker, rack_id rack, std::uint32_t slots);
    void remove(worker_id worker);

    // Sets the number of slots that requests of previous owners hold.
    void setPreviousOwnerSlots(worker_id worker, std::uint32_t occupied);

    // An unavailable worker is not picked, and its slots are not counted.
    void setAvailable(worker_id worker, bool available);

    void occupy(worker_id worker);
    void release(worker_id worker);

    // Returns an available worker with a free slot; the avoided one only when there is no other.
    std::optional<worker_id> pick(std::optional<worker_id> avoid) const;

    bool hasFreeSlot(worker_id worker) const;

    // Total and free slots of the available workers.
    std::uint32_t slots() const { return m_slots; }
    std::uint32_t free() const { return m_free; }
    std::size_t workers() const { return m_workers.size(); }

private:
    struct worker_slots
    {
        rack_id rack {};
        std::uint32_t slots = 0;
        std::uint32_t occupied = 0;
        std::uint32_t previousOwnerSlots = 0;
        bool available = true;
        std::uint64_t useOrder = 0;

        std::uint32_t free() const;
    };

    // Ordered by free slots, then by use order, in which the least recently used is the highest.
    template<class Id>
    using ranking = std::set<std::tuple<std::uint32_t, std::uint64_t, Id>>;

    struct rack_slots
    {
        ranking<worker_id> workers;
        std::uint32_t free = 0;
        std::uint64_t useOrder = 0;
    };

    // Applies a change to the worker and updates the rankings.
    template<class Change>
    void update(worker_id worker, Change change);
    void link(worker_id worker, const worker_slots &state);
    void unlink(worker_id worker, const worker_slots &state);
    void rerank(rack_id id, rack_slots &rack, std::uint32_t free, std::uint64_t useOrder);

    std::unordered_map<worker_id, worker_slots> m_workers;
    std::map<rack_id, rack_slots> m_racks;
    ranking<rack_id> m_rankedRacks;
    // Counts down, so that later uses rank lower.
    std::uint64_t m_useOrder = std::numeric_limits<std::uint64_t>::max();
    std::uint32_t m_slots = 0;
    std::uint32_t m_free = 0;
};

} // namespace plantaingap::decision

#endif
