#ifndef PLANTAINGAP_PLATFORM_BACKOFF_H
#define PLANTAINGAP_PLATFORM_BACKOFF_H

#include <cstdint>
#include <plantaingap/time.h>
#include <random>

namespace plantaingap::platform {

// Waits that double with each failure, each drawn evenly from the lower bound to the doubled one,
// so that instances that failed together do not come back together.
class backoff
{
public:
    backoff(duration first, duration longest, std::uint64_t seed);

    void succeeded() { m_failures = 0; }

    // Notes a failure and tells when to come again.
    time_point failed(time_point now);

    std::uint32_t failures() const { return m_failures; }

private:
    duration m_first;
    duration m_longest;
    std::uint32_t m_failures = 0;
    std::mt19937_64 m_random;
};

} // namespace plantaingap::platform

#endif
