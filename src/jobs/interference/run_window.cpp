#include "jobs/interference/run_window.h"

namespace plantaingap::jobs {

namespace {

// Neighbours may have come and gone unseen between reports that are further apart.
constexpr duration maxReportGap = std::chrono::milliseconds(1500);

} // namespace

std::optional<run_span> run_window::add(kind_set beside, std::uint32_t percent,
                                        std::uint32_t minGained, duration minSpan, time_point now)
{
    if (!m_open || beside != m_beside || percent < m_percent || now - m_last > maxReportGap) {
        open(beside, percent, now);
        return std::nullopt;
    }
    m_last = now;
    const run_span joined {beside, now - m_from, percent - m_percent};
    if (joined.gained < minGained || joined.span < minSpan)
        return std::nullopt;
    open(beside, percent, now);
    return joined;
}

void run_window::open(kind_set beside, std::uint32_t percent, time_point now)
{
    m_open = true;
    m_beside = beside;
    m_percent = percent;
    m_from = now;
    m_last = now;
}

} // namespace plantaingap::jobs
