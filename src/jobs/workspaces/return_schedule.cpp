#include "jobs/workspaces/return_schedule.h"

#include <algorithm>

namespace plantaingap::jobs {

namespace {

using std::chrono::seconds;

constexpr seconds minDelay {1};
// Load changes within seconds, so jobs are not spread over a longer time.
constexpr seconds maxDelay {8};

} // namespace

std::uint32_t return_schedule::assign(const std::string &workspace, double perSecond,
                                      bool refusedBefore, seconds earliest, time_point now)
{
    const auto first = now + std::max(earliest, minDelay);
    const auto latest = now + std::max(earliest, maxDelay);
    auto &next = m_nextReturn[workspace];
    auto returnAt = refusedBefore ? first : std::max(next, first);
    if (returnAt > latest)
        returnAt = first;
    if (!refusedBefore) {
        const std::chrono::duration<double> spacing(1 / std::max(perSecond, 0.1));
        next = returnAt + std::chrono::duration_cast<duration>(spacing);
    }
    return static_cast<std::uint32_t>(std::chrono::ceil<seconds>(returnAt - now).count());
}

} // namespace plantaingap::jobs
