#ifndef PLANTAINGAP_MUTATION_H
#define PLANTAINGAP_MUTATION_H

#include <string_view>

// A proof that was never seen failing proves nothing. Each guard of a protocol and each invariant
// has a switch that removes it in builds with PLANTAINGAP_MUTATIONS; tests set one switch and
// expect the checks to go red. In all other builds mutated() is false at compile time and costs
// nothing.
//     if (order.epoch < m_epoch && !mutated("worker.skip_epoch_check"))
//         return refuse(errc::StaleEpoch);
namespace plantaingap {

#ifdef PLANTAINGAP_MUTATIONS

// The switch that is on; empty for none. Set between runs, by tests alone.
inline std::string_view activeMutation;

inline bool mutated(std::string_view name)
{
    return activeMutation == name;
}

#else

constexpr bool mutated(std::string_view)
{
    return false;
}

#endif

} // namespace plantaingap

#endif
