#include "cell/wall_estimate.h"

#include <algorithm>
#include <vector>

namespace plantaingap::cell {

namespace {

constexpr std::chrono::seconds readingValidity {5};

} // namespace

void wall_estimate::told(const std::string &instance, wall_time shown, time_point at)
{
    m_readings[instance] = {shown.time_since_epoch() - at.time_since_epoch(), at};
}

wall_time wall_estimate::at(time_point now) const
{
    std::vector<duration> offsets;
    for (const auto &[instance, last] : m_readings) {
        if (now - last.heard <= readingValidity)
            offsets.push_back(last.offset);
    }
    if (offsets.empty())
        return wall_time {};
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::ranges::nth_element(offsets, middle);
    return wall_time(
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch() + *middle));
}

} // namespace plantaingap::cell
