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

// The slots of one service's workers, ordered so that the emptiest worker of the emptiest rack is
// found without a scan; of equals, the one that was used longest ago. A change costs the logarithm
// of the racks and of the rack's workers.
class slot_index
{
public:
    // Adds a worker, or changes the slots of one that is there.
    void add(worker_id worker, rack_id rack, std::uint32_t slots);
    void remove(worker_id worker);

    // Slots that requests of a former owner hold.
    void setForeign(worker_id worker, std::uint32_t occupied);

    // An unavailable worker is not picked and its slots do not count.
    void setAvailable(worker_id worker, bool available);

    void occupy(worker_id worker);
    void release(worker_id worker);

    // An available worker with a free slot; the given one only when there is no other.
    std::optional<worker_id> pick(std::optional<worker_id> avoid) const;

    bool hasFreeSlot(worker_id worker) const;

    // Slots and free slots of the available workers.
    std::uint32_t slots() const { return m_slots; }
    std::uint32_t free() const { return m_free; }
    std::size_t workers() const { return m_workers.size(); }

private:
    struct worker_slots
    {
        rack_id rack {};
        std::uint32_t slots = 0;
        std::uint32_t own = 0;
        std::uint32_t foreign = 0;
        bool available = true;
        std::uint64_t turn = 0;

        std::uint32_t free() const;
    };

    // Ordered by free slots, then by turn: the longer ago something was used, the higher.
    template<class Id>
    using ranking = std::set<std::tuple<std::uint32_t, std::uint64_t, Id>>;

    struct rack_slots
    {
        ranking<worker_id> workers;
        std::uint32_t free = 0;
        std::uint64_t turn = 0;
    };

    // Takes the worker out of the order, changes it and puts it back.
    template<class Change>
    void update(worker_id worker, Change change);
    void link(worker_id worker, const worker_slots &state);
    void unlink(worker_id worker, const worker_slots &state);
    void rank(rack_id id, rack_slots &rack, std::uint32_t free, std::uint64_t turn);

    std::unordered_map<worker_id, worker_slots> m_workers;
    std::map<rack_id, rack_slots> m_racks;
    ranking<rack_id> m_ranked;
    // Counts down, so that later turns rank lower.
    std::uint64_t m_turn = std::numeric_limits<std::uint64_t>::max();
    std::uint32_t m_slots = 0;
    std::uint32_t m_free = 0;
};

} // namespace plantaingap::decision

#endif
