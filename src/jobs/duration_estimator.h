#ifndef PLANTAINGAP_JOBS_DURATION_ESTIMATOR_H
#define PLANTAINGAP_JOBS_DURATION_ESTIMATOR_H

#include <chrono>
#include <map>
#include <string>

namespace plantaingap::jobs {

// How long tasks take, from what is declared and what was seen in their queue. Load pattern that it
// answers: declarations that are off by a third in one queue and tell next to nothing in another.
// A line through the logarithms of declared and seen times, drawn to "as declared" until runs tell.
class duration_estimator
{
public:
    void observe(const std::string &queue, std::chrono::milliseconds declared,
                 std::chrono::milliseconds actual);
    std::chrono::milliseconds estimate(const std::string &queue,
                                       std::chrono::milliseconds declared) const;

private:
    // Sums over the runs seen, older ones fading.
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
