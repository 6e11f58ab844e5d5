#ifndef PLANTAINGAP_TESTS_JOBS_STARVATION_ROWS_H
#define PLANTAINGAP_TESTS_JOBS_STARVATION_ROWS_H

#include "jobs/starvation_world.h"

#include <span>

// Kinds of steps, kinds of load beside them and behaviours of the advisor, for tests that no step
// waits for ever.
namespace plantaingap::tests {

// A kind of step.
struct step_kind
{
    const char *name;
    const char *queue;
    std::vector<jobs::step_definition> (*steps)();
    // Failures or crashes of the tasks of the job, or null.
    void (*trouble)(starvation_world &world, const std::string &id);
    // Impairments before the job is submitted, or null.
    void (*before)(starvation_world &world);
    std::uint32_t occurrences = 0;
};

// Kinds whose workers are sound, those whose tasks have crashed workers, and those whose workers
// failed or were slow until shortly before.
std::span<const step_kind> soundKinds();
std::span<const step_kind> suspectedKinds();
std::span<const step_kind> quarantinedKinds();
std::span<const step_kind> slowKinds();

// Checks that no step of a job of one of the kinds, and of the load beside it, is left without a
// run, and that all jobs are completed after the load. Each kind meets each load, with one
// behaviour of the advisor after the other. The environment variables STARVATION_FIRST_SEED and
// STARVATION_SEEDS choose the seeds; with the latter each kind and load meets all behaviours of the
// advisor.
void checkStarvation(std::span<const step_kind> kinds);

} // namespace plantaingap::tests

#endif
