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

// Returns the seconds after which the caller should retry when the job must be refused, or nothing
// when it can be accepted. Jobs of topPriorityQueues (priority 0) are placed before all others.
std::optional<std::uint32_t>
admissionRetryDelay(const job_definition &job, const queue_definition &queue,
                    const std::set<std::string> &topPriorityQueues, const job_map &jobs,
                    const fleet &workers, const duration_estimator &durations, time_point now);

} // namespace plantaingap::jobs

#endif
