#ifndef PLANTAINGAP_JOBS_WORKER_SPEED_H
#define PLANTAINGAP_JOBS_WORKER_SPEED_H

#include <map>
#include <string>

// Estimates the speed of workers from the progress of their runs. It targets a few workers that
// become several times slower and stay listed, so that all tasks placed there are late.
namespace plantaingap::jobs {

// Duration of a run relative to the mean of its queue, with the variance that weights it as
// evidence.
struct relative_duration
{
    // Natural logarithm of the ratio.
    double logRatio = 0;
    // Variance of these logarithms in the queue.
    double variance = 1;
};

// Per queue, the mean and variance of the ratio of actual to declared task durations over all
// workers. Each queue has its own bias and spread.
class declared_duration_errors
{
public:
    // Adds a run that took `factor` times its declared duration.
    relative_duration observe(const std::string &queue, double factor);

private:
    struct distribution
    {
        double mean = 0;
        double variance = 0.5;
    };
    std::map<std::string, distribution> m_queues;
};

// Slowness of one worker compared with all others, from one observation per run.
class worker_speed
{
public:
    void observe(const relative_duration &run);
    // The worker is significantly slower than the others.
    bool slow() const;

private:
    // Sums weighted by the inverse variance of the observations, with exponential decay.
    double m_sum = 0;
    double m_weight = 0;
};

} // namespace plantaingap::jobs

#endif
