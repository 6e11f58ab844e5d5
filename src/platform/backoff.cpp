#include "platform/backoff.h"

#include <algorithm>
#include <plantaingap/mutation.h>

namespace plantaingap::platform {

backoff::backoff(duration first, duration longest, std::uint64_t seed)
    : m_first(first)
    , m_longest(longest)
    , m_random(seed)
{ }

time_point backoff::failed(time_point now)
{
    constexpr std::uint32_t mostDoublings = 20;
    const auto doublings = std::min(m_failures, mostDoublings);
    ++m_failures;
    const duration most = std::min(m_longest, m_first * (std::int64_t {1} << doublings));
    if (mutated("store.skip_jitter"))
        return now + most;
    std::uniform_int_distribution<std::int64_t> wait(m_first.count() / 2, most.count());
    return now + duration(wait(m_random));
}

} // namespace plantaingap::platform
