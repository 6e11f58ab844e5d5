#ifndef PLANTAINGAP_MUTATION_H
#define PLANTAINGAP_MUTATION_H

#include <string_view>

// Mutation testing. In builds with PLANTAINGAP_MUTATIONS each protocol guard and each invariant has
// a named switch that disables it; tests set one switch and expect a check to fail. In all other
// builds mutated() is a constant false and costs nothing.
//     if (order.epoch < m_epoch && !mutated("worker.skip_epoch_check"))
//         return refuse(errc::StaleEpoch);
namespace plantaingap {

#ifdef PLANTAINGAP_MUTATIONS

// Name of the active mutation; empty for none. Only set by tests, between runs.
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
