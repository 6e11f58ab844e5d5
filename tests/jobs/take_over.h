#ifndef PLANTAINGAP_TESTS_JOBS_TAKE_OVER_H
#define PLANTAINGAP_TESTS_JOBS_TAKE_OVER_H

#include "jobs/scheduler_world.h"

namespace plantaingap::tests {

// Starts a new leader, in `next`, from the stored rows and the current workers of `world`.
inline void takeOver(const scheduler_world &world, scheduler_world &next)
{
    next.elapsed = world.elapsed;
    next.fleet = world.fleet;
    next.term = world.term + 1;
    next.advanceStep = world.advanceStep;
    next.deadly = world.deadly;
    next.newIdAfterCrash = world.newIdAfterCrash;
    next.crashes = world.crashes;
    next.startsOf = world.startsOf;
    next.crashesUnder = world.crashesUnder;
    next.scheduler.startTerm(next.term, next.now());
    for (const auto &[job, definition] : world.definitions) {
        std::optional<jobs::recorded_progress> progress;
        if (world.progress.contains(job))
            progress = *jobs::decodeProgress(world.progress.at(job));
        next.scheduler.restore(*jobs::decodeJob(definition), progress, next.now(), next.wall());
    }
    next.definitions = world.definitions;
    next.progress = world.progress;
    next.finished = world.finished;
    next.begin();
}

} // namespace plantaingap::tests

#endif
