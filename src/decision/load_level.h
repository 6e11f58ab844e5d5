#ifndef PLANTAINGAP_DECISION_LOAD_LEVEL_H
#define PLANTAINGAP_DECISION_LOAD_LEVEL_H

#include <plantaingap/time.h>

namespace plantaingap::decision {

// Mean and deviation over time of the slots that a class holds, over the last half minute. While
// less was seen, over what was seen, so that a new owner knows the load within moments.
class load_level
{
public:
    // The class has held so many slots since the last call.
    void observe(double held, time_point now);

    double mean() const { return m_mean; }
    double deviation() const;

private:
    double m_mean = 0;
    double m_square = 0;
    duration m_observed {};
    time_point m_observedAt {};
};

} // namespace plantaingap::decision

#endif
