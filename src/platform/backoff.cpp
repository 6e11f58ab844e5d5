#include "platform/backoff.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::platform {

backoff::backoff(duration initial, duration max, std::uint64_t seed)
    : m_initial(initial)
    , m_max(max)
    , m_random(seed)
{ }

time_point backoff::failed(time_point now)
{
    constexpr std::uint32_t maxDoublings = 20;
    const auto doublings = std::min(m_failures, maxDoublings);
    ++m_failures;
    const duration bound = std::min(m_max, m_initial * (std::int64_t {1} << doublings));
    if (mutated("store.skip_jitter"))
        return now + bound;
    std::uniform_int_distribution<std::int64_t> delay(m_initial.count() / 2, bound.count());
    return now + duration(delay(m_random));
}

} // namespace plantaingap::platform
