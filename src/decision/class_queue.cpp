#include "decision/class_queue.h"

namespace plantaingap::decision {

namespace {

// Weight of the moving average: a start contributes one part in this many.
constexpr int startIntervalSamples = 32;

} // namespace

void class_queue::remove(request_state &request)
{
    m_requests.erase(m_requests.iterator_to(request));
}

void class_queue::recordStart(time_point now)
{
    if (m_backlogged) {
        const auto interval = now - m_lastStart;
        m_startInterval =
            m_startInterval == duration {}
                ? interval
                : m_startInterval + (interval - m_startInterval) / startIntervalSamples;
    }
    m_lastStart = now;
    m_backlogged = m_requests.size() > 1;
}

duration class_queue::expectedWait(std::size_t ahead) const
{
    return m_startInterval * static_cast<duration::rep>(ahead + 1);
}

} // namespace plantaingap::decision
