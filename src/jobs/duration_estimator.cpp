#include "jobs/duration_estimator.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

// Weight kept by older runs for each new one; about 300 runs count.
constexpr double decay = 0.9967;
// Weight of the prior "as declared" in the offset and in the slope of the line, in runs.
constexpr double priorWeight = 5;
constexpr double priorSlopeWeight = 2;
// An estimate stays within this factor of the declaration, because a single job may declare a
// duration far off in a queue with accurate ones.
constexpr double maxFactor = 10;

} // namespace

void duration_estimator::observe(const std::string &queue, std::chrono::milliseconds declared,
                                 std::chrono::milliseconds actual)
{
    if (declared.count() <= 0 || actual.count() <= 0)
        return;
    const auto x = std::log(static_cast<double>(declared.count()));
    const auto y = std::log(static_cast<double>(actual.count()));
    auto &queueSums = m_queues[queue];
    queueSums.count = queueSums.count * decay + 1;
    queueSums.declared = queueSums.declared * decay + x;
    queueSums.actual = queueSums.actual * decay + y;
    queueSums.declaredSquares = queueSums.declaredSquares * decay + x * x;
    queueSums.products = queueSums.products * decay + x * y;
}

std::chrono::milliseconds duration_estimator::estimate(const std::string &queue,
                                                       std::chrono::milliseconds declared) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || declared.count() <= 0)
        return declared;
    const auto &queueSums = found->second;
    const auto meanDeclared = queueSums.declared / queueSums.count;
    const auto meanActual = queueSums.actual / queueSums.count;
    const auto spread = queueSums.declaredSquares - queueSums.count * meanDeclared * meanDeclared;
    const auto covariance = queueSums.products - queueSums.count * meanDeclared * meanActual;
    const auto slope = std::clamp(
        (covariance + priorSlopeWeight) / (std::max(spread, 0.0) + priorSlopeWeight), 0.0, 1.5);
    const auto confidence = queueSums.count / (queueSums.count + priorWeight);
    const auto x = std::log(static_cast<double>(declared.count()));
    const auto line = meanActual + slope * (x - meanDeclared);
    const auto factor = std::exp(confidence * (line - x));
    const auto clamped = std::clamp(factor, 1 / maxFactor, maxFactor);
    return std::chrono::milliseconds(std::llround(static_cast<double>(declared.count()) * clamped));
}

} // namespace plantaingap::jobs
