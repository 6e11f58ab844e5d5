#ifndef PLANTAINGAP_JOBS_START_ESTIMATE_H
#define PLANTAINGAP_JOBS_START_ESTIMATE_H

#include "jobs/duration_estimator.h"
#include "jobs/fleet.h"
#include "jobs/job_progress.h"
#include "jobs/waiting_work.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Estimates when the steps of a new job start, from the work that is placed before them, the runs
// at work and the capacity that they leave. It targets backlogs of wide gangs: a gang needs whole
// workers together out of the few that the advisor allows it, so a backlog of gangs drains more
// slowly than the cores of the fleet suggest, and a narrow step fits beside it.
namespace plantaingap::jobs {

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

// State from which starts are estimated.
struct estimate_inputs
{
    const waiting_work_index &waiting;
    const fleet &workers;
    const duration_estimator &durations;
    admission_counts &counts;
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
    // Whole workers that its gangs that have room now occupy.
    double widthWithRoom = 0;
    // Time until the single tasks that are placed before the job have started.
    milliseconds taskBacklog {0};
};

// Duration of the advisor call that the objective of a job includes for each step.
milliseconds adviceInObjective(const queue_definition &queue);

// Jobs of top priority are placed before all others. Gangs are served in the order of acceptance,
// so all that wait are placed before a gang of the job, unless it has room now.
// Late single tasks yield to a job that can be on time.
job_estimate estimateJob(const job_definition &job, const queue_definition &queue,
                         const estimate_inputs &inputs);

} // namespace plantaingap::jobs

#endif
