#include "cell/wall_clock_estimator.h"

#include <algorithm>
#include <vector>

namespace plantaingap::cell {

namespace {

// Older readings are left out of the median.
constexpr std::chrono::seconds readingValidity {5};

} // namespace

void wall_clock_estimator::addReading(const std::string &instance, wall_time wallClock,
                                      time_point readAt)
{
    m_readings[instance] = {wallClock.time_since_epoch() - readAt.time_since_epoch(), readAt};
}

wall_time wall_clock_estimator::estimate(time_point now) const
{
    std::vector<duration> offsets;
    for (const auto &[instance, latest] : m_readings) {
        if (now - latest.takenAt <= readingValidity)
            offsets.push_back(latest.offset);
    }
    if (offsets.empty())
        return wall_time {};
    const auto median = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::ranges::nth_element(offsets, median);
    return wall_time(
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch() + *median));
}

} // namespace plantaingap::cell
