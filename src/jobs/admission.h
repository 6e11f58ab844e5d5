#ifndef PLANTAINGAP_JOBS_ADMISSION_H
#define PLANTAINGAP_JOBS_ADMISSION_H

#include "jobs/duration_estimator.h"
#include "jobs/fleet.h"
#include "jobs/job_progress.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

// Admission control. It targets bursts of one kind of job well above the capacity of the fleet,
// where jobs that can no longer finish in useful time would take capacity from those that can.
namespace plantaingap::jobs {

using job_map = std::map<std::string, std::unique_ptr<job_run>, std::less<>>;

// Retry delay, in seconds, for a job that cannot run in any state of the present fleet; only a
// change of the fleet helps.
inline constexpr std::uint32_t unsatisfiableRetrySeconds = 10;

// Whether all gangs of the job fit into that share of the listed workers. It targets gangs so wide
// that the workers on which they may run could not hold them even when empty; such a job would wait
// for ever once it is accepted.
bool gangsFit(const job_definition &job, const fleet &workers, double share);

// Returns the seconds after which the caller should retry when the job must be refused, or nothing
// when it can be accepted. Jobs of topPriorityQueues (priority 0) are placed before all others.
std::optional<std::uint32_t>
admissionRetryDelay(const job_definition &job, const queue_definition &queue,
                    const std::set<std::string> &topPriorityQueues, const job_map &jobs,
                    const fleet &workers, const duration_estimator &durations, time_point now);

} // namespace plantaingap::jobs

#endif
