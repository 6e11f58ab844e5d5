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

// Whether a job is taken on. Load pattern that it answers: bursts of one kind well above what the
// fleet can do, in which jobs that can no longer be of use to their callers would take the room of
// those that can.
namespace plantaingap::jobs {

using job_map = std::map<std::string, std::unique_ptr<job_run>, std::less<>>;

// Seconds after which the caller should come again, when the job is to be refused; none to accept.
// Jobs of quick queues are placed before all others.
std::optional<std::uint32_t>
admissionRetryDelay(const job_definition &job, const queue_definition &queue,
                    const std::set<std::string> &topPriorityQueues, const job_map &jobs,
                    const fleet &workers, const duration_estimator &durations, time_point now);

} // namespace plantaingap::jobs

#endif
