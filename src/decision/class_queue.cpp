#include "decision/class_queue.h"

namespace plantaingap::decision {

namespace {

// Each start moves the mean gap by one part in so many.
constexpr int gapMemory = 32;

} // namespace

void class_queue::remove(request_state &request)
{
    m_requests.erase(m_requests.iterator_to(request));
}

void class_queue::noteStart(time_point now)
{
    if (m_backlogged) {
        const auto gap = now - m_lastStart;
        m_gap = m_gap == duration {} ? gap : m_gap + (gap - m_gap) / gapMemory;
    }
    m_lastStart = now;
    m_backlogged = m_requests.size() > 1;
}

duration class_queue::expectedWait(std::size_t ahead) const
{
    return m_gap * static_cast<duration::rep>(ahead + 1);
}

} // namespace plantaingap::decision
