#ifndef PLANTAINGAP_JOBS_START_ESTIMATE_H
#define PLANTAINGAP_JOBS_START_ESTIMATE_H

#include "jobs/duration_estimator.h"
#include "jobs/fleet.h"
#include "jobs/job_progress.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

// Estimates when the steps of a new job start, from the work that is placed before them, the runs
// at work and the capacity that they leave. It targets backlogs of wide gangs: a gang needs whole
// workers together out of the few that the advisor allows it, so a backlog of gangs drains more
// slowly than the cores of the fleet suggest, and a narrow step fits beside it.
namespace plantaingap::jobs {

using job_map = std::map<std::string, std::unique_ptr<job_run>, std::less<>>;

// Counts the runs that gangs of each queue need, of which some break as a member fails.
class gang_history
{
public:
    // A gang was started, for the first time or after a failed run.
    void runStarted(const std::string &queue, bool afterFailure);
    // Average number of runs of a gang.
    double runsPerGang(const std::string &queue) const;

private:
    // Sums with exponential decay.
    struct counts
    {
        double gangs = 0;
        double repeatedRuns = 0;
    };
    std::map<std::string, counts, std::less<>> m_queues;
};

// What the estimate needs to know about a queue.
struct queue_outlook
{
    std::string service;
    bool topPriority = false;
    // Share of the workers that the advisor allows for a step; 1 without an advisor.
    double allowedShare = 1;
    double runsPerGang = 1;
};

using queue_outlooks = std::map<std::string, queue_outlook, std::less<>>;

// State from which starts are estimated.
struct estimate_inputs
{
    const job_map &jobs;
    const fleet &workers;
    const duration_estimator &durations;
    queue_outlooks queues;
    time_point now;
};

// Estimated times of a new job from now on.
struct job_estimate
{
    // Start of each step.
    std::vector<milliseconds> starts;
    milliseconds end {0};
    // End of the objective.
    milliseconds objective {0};
    // Time until the gangs that are placed before the job have started, and the number of these.
    milliseconds gangBacklog {0};
    std::size_t gangsAhead = 0;
    // Time until the single tasks that are placed before the job have started.
    milliseconds taskBacklog {0};
};

// Duration of the advisor call that the objective of a job includes for each step.
milliseconds adviceInObjective(const queue_definition &queue);

// Jobs of top priority are placed before all others. Late gangs are served in the order of their
// age, so they are placed before the job, but for those that need more workers at the same moment,
// beside which it fits. Late single tasks yield to a job that can be on time.
job_estimate estimateJob(const job_definition &job, const queue_definition &queue,
                         const estimate_inputs &inputs);

} // namespace plantaingap::jobs

#endif
