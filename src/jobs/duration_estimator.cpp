#include "jobs/duration_estimator.h"

#include <algorithm>
#include <cmath>

namespace plantaingap::jobs {

namespace {

// Part of the older runs that stays when one is added: some 300 count.
constexpr double memory = 0.9967;
// Runs that "as declared" counts for, in the line's height and in its slope.
constexpr double declaredWeight = 5;
constexpr double declaredSlopeWeight = 2;
// An expectation stays within this many times the declaration: a liar among honest declarations.
constexpr double largestFactor = 10;

} // namespace

void duration_estimator::observe(const std::string &queue, std::chrono::milliseconds declared,
                                 std::chrono::milliseconds seen)
{
    if (declared.count() <= 0 || seen.count() <= 0)
        return;
    const auto x = std::log(static_cast<double>(declared.count()));
    const auto y = std::log(static_cast<double>(seen.count()));
    auto &of = m_queues[queue];
    of.count = of.count * memory + 1;
    of.declared = of.declared * memory + x;
    of.seen = of.seen * memory + y;
    of.declaredSquares = of.declaredSquares * memory + x * x;
    of.products = of.products * memory + x * y;
}

std::chrono::milliseconds duration_estimator::expect(const std::string &queue,
                                                     std::chrono::milliseconds declared) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || declared.count() <= 0)
        return declared;
    const auto &of = found->second;
    const auto meanDeclared = of.declared / of.count;
    const auto meanSeen = of.seen / of.count;
    const auto spread = of.declaredSquares - of.count * meanDeclared * meanDeclared;
    const auto joint = of.products - of.count * meanDeclared * meanSeen;
    const auto slope = std::clamp(
        (joint + declaredSlopeWeight) / (std::max(spread, 0.0) + declaredSlopeWeight), 0.0, 1.5);
    const auto certain = of.count / (of.count + declaredWeight);
    const auto x = std::log(static_cast<double>(declared.count()));
    const auto line = meanSeen + slope * (x - meanDeclared);
    const auto factor = std::exp(certain * (line - x));
    const auto bounded = std::clamp(factor, 1 / largestFactor, largestFactor);
    return std::chrono::milliseconds(std::llround(static_cast<double>(declared.count()) * bounded));
}

} // namespace plantaingap::jobs
