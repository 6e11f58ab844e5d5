#ifndef PLANTAINGAP_EPOCH_H
#define PLANTAINGAP_EPOCH_H

#include <compare>
#include <cstdint>

namespace plantaingap {

// The authority under which orders to the workers of a group are given. The generation grows with
// each compare-and-set of the group's row in the platform's table. The rank tells the owner (0)
// from the successors that the row names ahead for the time when the table cannot be reached. A
// worker refuses orders below the highest epoch it has seen.
struct epoch
{
    std::uint64_t generation = 0;
    std::uint32_t rank = 0;

    auto operator<=>(const epoch &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace plantaingap

#endif
