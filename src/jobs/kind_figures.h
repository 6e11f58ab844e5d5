#ifndef PLANTAINGAP_JOBS_KIND_FIGURES_H
#define PLANTAINGAP_JOBS_KIND_FIGURES_H

#include "jobs/step_wait.h"

#include <array>
#include <cstdint>
#include <map>
#include <plantaingap/time.h>
#include <string>

namespace plantaingap::jobs {

// Figures about the steps of one kind. No decision depends on them.
struct kind_figures
{
    // Since the start of the term: calls to the placement advisor and the workers named in them,
    // tickets granted, and those of them that a start has used or that ended without one.
    std::uint64_t adviceCalls = 0;
    std::uint64_t workersNamed = 0;
    std::uint64_t ticketsGranted = 0;
    std::uint64_t ticketsUsed = 0;
    std::uint64_t ticketsUnused = 0;
    // Runs of gangs that ended before they were done, by cause.
    std::array<std::uint64_t, runEndCauses> gangsBroken {};
    // Total time for which steps were waiting with nothing running.
    duration waited {0};
    // As of the last observation: steps that wait with nothing running, those of them that cannot
    // end within their objective any more, and steps that could ask for advice while all instances
    // for calls of that length are busy.
    std::uint64_t waiting = 0;
    std::uint64_t late = 0;
    std::uint64_t awaitingInstance = 0;

    bool operator==(const kind_figures &) const = default;
};

struct queue_figures
{
    // Of steps whose tasks start one by one.
    kind_figures tasks;
    kind_figures gangs;

    bool operator==(const queue_figures &) const = default;
};

// By the name of the queue.
using figures_by_queue = std::map<std::string, queue_figures, std::less<>>;

} // namespace plantaingap::jobs

#endif
