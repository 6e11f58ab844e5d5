#ifndef PLANTAINGAP_JOBS_DURATION_ESTIMATOR_H
#define PLANTAINGAP_JOBS_DURATION_ESTIMATOR_H

#include <chrono>
#include <map>
#include <string>

namespace plantaingap::jobs {

// Estimates task durations from the declared durations and the past runs of the queue. Declarations
// may be off by a third in one queue and nearly meaningless in another. Per queue, fits a line
// through the logarithms of declared and actual durations, with a prior of "as declared" that fades
// as runs are observed.
class duration_estimator
{
public:
    void observe(const std::string &queue, std::chrono::milliseconds declared,
                 std::chrono::milliseconds actual);
    std::chrono::milliseconds estimate(const std::string &queue,
                                       std::chrono::milliseconds declared) const;

private:
    // Sums over the observed runs with exponential decay.
    struct sums
    {
        double count = 0;
        double declared = 0;
        double actual = 0;
        double declaredSquares = 0;
        double products = 0;
    };
    std::map<std::string, sums> m_queues;
};

} // namespace plantaingap::jobs

#endif
