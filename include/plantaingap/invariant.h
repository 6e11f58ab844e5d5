#ifndef PLANTAINGAP_INVARIANT_H
#define PLANTAINGAP_INVARIANT_H

#include <atomic>
#include <cstdio>
#include <cstdlib>

// Invariants are checked in production as in tests. A daemon that violates one aborts: its
// successor rebuilds the state from the workers and the table, which is safer than continuing with
// an inconsistent state.
namespace plantaingap {

// Called with the name and source location of the violated invariant. Must not return normally.
using invariant_handler = void (*)(const char *name, const char *file, int line);

[[noreturn]] inline void abortOnInvariant(const char *name, const char *file, int line)
{
    std::fprintf(stderr, "event=invariant.broken name=%s file=%s line=%d\n", name, file, line);
    std::abort();
}

// Tests replace the handler by one that throws, to record the violated invariant.
inline std::atomic<invariant_handler> invariantHandler = abortOnInvariant;

inline void checkInvariant(bool holds, const char *name, const char *file, int line)
{
    if (!holds) [[unlikely]]
        invariantHandler.load()(name, file, line);
}

} // namespace plantaingap

#define PLANTAINGAP_INVARIANT(condition, name) \
    ::plantaingap::checkInvariant((condition), (name), __FILE__, __LINE__)

#endif
