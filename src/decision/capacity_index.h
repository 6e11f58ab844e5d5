#ifndef PLANTAINGAP_DECISION_CAPACITY_INDEX_H
#define PLANTAINGAP_DECISION_CAPACITY_INDEX_H

#include <array>
#include <bit>
#include <plantaingap/resources.h>
#include <vector>

// Finds workers with enough free capacity without scanning all of them.
namespace plantaingap::decision {

// A grid over accelerators, processors and memory. Each cell lists the workers whose free capacity
// falls into its range; the ranges grow by half octaves. A search starts at the cell of the demand
// and goes up, so that the tightest workers come first and workers with accelerators come last for
// tasks that need none. Only the cells at the lower bound can contain workers that are too small.
class capacity_index
{
public:
    capacity_index();

    // Adds the worker or updates its free capacity. Workers are dense indexes.
    void set(std::uint32_t worker, const resources &free);

    void remove(std::uint32_t worker);

    // Calls visit(worker) for workers that fit the demand, tightest first, until it returns false.
    template<class Visit>
    void visitFitting(const resources &demand, Visit visit) const;

private:
    static constexpr std::uint32_t noWorker = ~0U;
    static constexpr int levels = 32;
    static constexpr int acceleratorLevels = 5;

    struct worker_entry
    {
        resources free;
        std::uint32_t cell = noWorker;
        std::uint32_t next = noWorker;
        std::uint32_t previous = noWorker;
    };

    // Half octaves starting at 64: 0..63, 64..95, 96..127, 128..191 and so on.
    static int level(std::int64_t amount)
    {
        const auto units = static_cast<std::uint64_t>(amount < 0 ? 0 : amount) >> 5;
        if (units < 2)
            return 0;
        const int octave = std::bit_width(units) - 1;
        const int half = static_cast<int>((units >> (octave - 1)) & 1U);
        const int uncapped = 2 * octave + half - 1;
        return uncapped < levels ? uncapped : levels - 1;
    }

    static int acceleratorLevel(std::int64_t count)
    {
        const int uncapped = std::bit_width(static_cast<std::uint64_t>(count < 0 ? 0 : count));
        return uncapped < acceleratorLevels ? uncapped : acceleratorLevels - 1;
    }

    static std::uint32_t cellOf(const resources &free)
    {
        const int row = acceleratorLevel(free.accelerators) * levels + level(free.milliCores);
        const int cell = row * levels + level(free.memoryMib);
        return static_cast<std::uint32_t>(cell);
    }

    void unlink(std::uint32_t worker);

    std::vector<worker_entry> m_entries;
    std::array<std::uint32_t, acceleratorLevels * levels * levels> m_heads {};
    // Bit set of the memory levels that have workers, for each pair of the other two levels.
    std::array<std::uint32_t, acceleratorLevels * levels> m_filled {};
};

template<class Visit>
void capacity_index::visitFitting(const resources &demand, Visit visit) const
{
    const std::uint32_t memoryMask = ~0U << level(demand.memoryMib);
    for (int a = acceleratorLevel(demand.accelerators); a < acceleratorLevels; ++a) {
        for (int c = level(demand.milliCores); c < levels; ++c) {
            const auto row = static_cast<std::size_t>(a) * levels + static_cast<std::size_t>(c);
            for (std::uint32_t bits = m_filled[row] & memoryMask; bits != 0; bits &= bits - 1) {
                const auto cell = row * levels + static_cast<std::size_t>(std::countr_zero(bits));
                for (auto worker = m_heads[cell]; worker != noWorker;
                     worker = m_entries[worker].next) {
                    if (demand.fitsIn(m_entries[worker].free) && !visit(worker))
                        return;
                }
            }
        }
    }
}

} // namespace plantaingap::decision

#endif
