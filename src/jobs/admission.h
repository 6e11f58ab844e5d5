#ifndef PLANTAINGAP_JOBS_ADMISSION_H
#define PLANTAINGAP_JOBS_ADMISSION_H

#include "jobs/start_estimate.h"

#include <cstdint>
#include <optional>

// Admission control. It targets bursts of one kind of job well above the capacity of the fleet,
// where jobs that can no longer finish in useful time would take capacity from those that can. The
// callers of refused jobs retry at little cost, while an accepted job that is not served in time is
// lost to its caller.
namespace plantaingap::jobs {

// Retry delay, in seconds, for a job that cannot run in any state of the present fleet; only a
// change of the fleet helps.
inline constexpr std::uint32_t unsatisfiableRetrySeconds = 10;

// Whether all gangs of the job fit into that share of the listed workers. It targets gangs so wide
// that the workers on which they may run could not hold them even when empty; such a job would wait
// for ever once it is accepted.
bool gangsFit(const job_definition &job, const fleet &workers, double share);

struct admission_decision
{
    // Seconds after which the caller should retry a refused job; none if it can be accepted.
    std::optional<std::uint32_t> retryAfterSeconds;
    // Empty for scheduled jobs and where a step fits no worker.
    job_estimate estimate;
    // Time from now until the latest end with which a job is accepted.
    milliseconds latestEnd {0};
};

// Refuses a job that fits no worker or that is not expected to end in useful time.
admission_decision decideAdmission(const job_definition &job, const queue_definition &queue,
                                   const estimate_inputs &inputs);

} // namespace plantaingap::jobs

#endif
