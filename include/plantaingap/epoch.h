#ifndef PLANTAINGAP_EPOCH_H
#define PLANTAINGAP_EPOCH_H

#include <compare>
#include <cstdint>

namespace plantaingap {

// The fencing token of orders to the workers of a group. The generation increases with each
// compare-and-set of the group's row in the platform's table. Rank 0 is the owner; higher ranks are
// the successors that the row designates to act while the table is unreachable. A worker rejects
// orders below the highest epoch that it has received.
struct epoch
{
    std::uint64_t generation = 0;
    std::uint32_t rank = 0;

    auto operator<=>(const epoch &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace plantaingap

#endif
