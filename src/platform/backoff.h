#ifndef PLANTAINGAP_PLATFORM_BACKOFF_H
#define PLANTAINGAP_PLATFORM_BACKOFF_H

#include <cstdint>
#include <plantaingap/time.h>
#include <random>

namespace plantaingap::platform {

// Exponential backoff with jitter. Each delay is drawn uniformly between half the initial delay and
// the current upper bound, which doubles with each failure, so that instances that failed at the
// same time do not retry at the same time.
class backoff
{
public:
    backoff(duration initial, duration max, std::uint64_t seed);

    void succeeded() { m_failures = 0; }

    // Records a failure and returns the time of the next attempt.
    time_point failed(time_point now);

    // Consecutive failures since the last success.
    std::uint32_t failures() const { return m_failures; }

private:
    duration m_initial;
    duration m_max;
    std::uint32_t m_failures = 0;
    std::mt19937_64 m_random;
};

} // namespace plantaingap::platform

#endif
