#include "jobs/workspaces/arrival_meter.h"

#include <algorithm>
#include <chrono>

namespace plantaingap::jobs {

namespace {

// Seconds of the share that may arrive at once.
constexpr double bucketSeconds = 1;
// Arrivals of a workspace with a small share are uneven: 4 jobs may come at once however small it
// is.
constexpr double minBucketJobs = 4;
// Callers give up well before.
constexpr std::chrono::seconds answerRetention {30};
constexpr std::size_t maxAnswers = 20'000;

} // namespace

arrival arrival_meter::classify(const std::string &workspace, double perSecond,
                                const std::string &job, time_point now)
{
    forget(now);
    if (const auto known = m_answers.find(job); known != m_answers.end())
        return {known->second, true};
    const auto depth = std::max(perSecond * bucketSeconds, minBucketJobs);
    auto &filled = m_buckets[workspace];
    const std::chrono::duration<double> elapsed = now - filled.filledAt;
    filled.tokens =
        filled.used ? std::min(filled.tokens + elapsed.count() * perSecond, depth) : depth;
    filled.used = true;
    filled.filledAt = now;
    const bool beyond = filled.tokens < 1;
    if (!beyond)
        filled.tokens -= 1;
    m_answers.emplace(job, beyond);
    m_order.push_back({job, now + answerRetention});
    return {beyond, false};
}

void arrival_meter::forget(time_point now)
{
    while (!m_order.empty() && (m_order.front().forgetAt <= now || m_order.size() > maxAnswers)) {
        m_answers.erase(m_order.front().job);
        m_order.pop_front();
    }
}

} // namespace plantaingap::jobs
