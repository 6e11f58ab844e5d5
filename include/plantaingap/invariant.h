#ifndef PLANTAINGAP_INVARIANT_H
#define PLANTAINGAP_INVARIANT_H

#include <atomic>
#include <cstdio>
#include <cstdlib>

// What must always hold is asserted inside the program, in daemons as in tests. A daemon that finds
// an invariant broken ends at once: its successor rebuilds from the workers and the table, which is
// safer than going on from a state that cannot be.
namespace plantaingap {

// Called with the name of the broken invariant and its place. Does not return normally.
using invariant_handler = void (*)(const char *name, const char *file, int line);

[[noreturn]] inline void abortOnInvariant(const char *name, const char *file, int line)
{
    std::fprintf(stderr, "event=invariant.broken name=%s file=%s line=%d\n", name, file, line);
    std::abort();
}

// Tests replace the handler by one that throws, so that a run can record what broke.
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
