#ifndef PLANTAINGAP_JOBS_WORKER_SPEED_H
#define PLANTAINGAP_JOBS_WORKER_SPEED_H

#include <map>
#include <string>

// How fast workers are, from the progress of what runs there. Load pattern that it answers: a few
// workers turn several times slower and stay in the list, and whatever is placed there is late.
namespace plantaingap::jobs {

// How long a run takes against the usual of its queue, and how much that is worth as evidence.
struct relative_duration
{
    // Natural logarithm of the ratio.
    double logRatio = 0;
    // Of such logarithms in the queue.
    double variance = 1;
};

// How much longer tasks of each queue take than declared, over all workers: declarations are off,
// each queue's in its own way and by its own spread.
class declared_duration_errors
{
public:
    // A run took this many times what its declaration says.
    relative_duration observe(const std::string &queue, double factor);

private:
    struct distribution
    {
        double mean = 0;
        double variance = 0.5;
    };
    std::map<std::string, distribution> m_queues;
};

// One worker's slowness against all others, from one observation a run.
class worker_speed
{
public:
    void observe(const relative_duration &run);
    // Clearly slower than the others.
    bool slow() const;

private:
    // Sums weighted by the observations' precision, older ones fading.
    double m_sum = 0;
    double m_weight = 0;
};

} // namespace plantaingap::jobs

#endif
