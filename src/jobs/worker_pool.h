#ifndef PLANTAINGAP_JOBS_WORKER_POOL_H
#define PLANTAINGAP_JOBS_WORKER_POOL_H

#include "jobs/fleet.h"
#include "jobs/job.h"

#include <map>
#include <string>

// The workers of a service as if they were alike, for estimates.
namespace plantaingap::jobs {

struct worker_pool
{
    double workers = 0;
    // Mean capacity of a worker without its long-running tasks.
    resources capacity;
};

// By service.
using worker_pools = std::map<std::string, worker_pool, std::less<>>;

// Whether the worker takes tasks of the service.
bool serves(const worker &worker, const std::string &service);

worker_pools poolsOf(const fleet &workers);

// Tasks of the step that an empty worker holds, at least 1.
double tasksPerWorker(const step_definition &step, const worker_pool &pool);

// Part of a worker that a task occupies, by the resource of which it needs the largest part.
double partOfWorker(const step_definition &step, const worker_pool &pool);

// Whole workers that a gang occupies.
double widthOf(const step_definition &gang, const worker_pool &pool);

// Workers that must be free when a gang starts: it may use its own random share of the workers, and
// needs `width` free ones among these.
double freeWorkersFor(double width, double share, const worker_pool &pool);

// Number of gangs of that width that run side by side while many of them wait. The workers that
// need not be free when the next one starts may all be occupied.
double gangsSideBySide(double width, double share, const worker_pool &pool);

} // namespace plantaingap::jobs

#endif
