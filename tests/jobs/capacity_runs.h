#ifndef PLANTAINGAP_TESTS_JOBS_CAPACITY_RUNS_H
#define PLANTAINGAP_TESTS_JOBS_CAPACITY_RUNS_H

#include "jobs/capacity_world.h"

namespace plantaingap::tests {

// Plays seeded random runs with each kind of fault and checks their invariants. The environment
// overrides what is played: CAPACITY_SEED is the first seed, CAPACITY_SEEDS how many (some rows
// play more), CAPACITY_STEPS the steps of each run; CAPACITY_TRACE prints the last lines with this
// word.
void checkCapacityRuns(stopping_report stopping);

} // namespace plantaingap::tests

#endif
