#ifndef PLANTAINGAP_DECISION_LOAD_ESTIMATE_H
#define PLANTAINGAP_DECISION_LOAD_ESTIMATE_H

#include <plantaingap/time.h>

namespace plantaingap::decision {

// Time-weighted mean and standard deviation of the slots that a class holds, over the last 30 s or
// the time observed so far. The shorter start lets a new owner learn the load quickly.
class load_estimate
{
public:
    // Records that the class has held this many slots since the previous call.
    void observe(double held, time_point now);

    double mean() const { return m_mean; }
    double deviation() const;

private:
    double m_mean = 0;
    double m_meanSquare = 0;
    duration m_window {};
    time_point m_lastObservation {};
};

} // namespace plantaingap::decision

#endif
