#ifndef PLANTAINGAP_BENCHMARKS_CAPACITY_FIT_H
#define PLANTAINGAP_BENCHMARKS_CAPACITY_FIT_H

#include <chrono>
#include <cmath>
#include <cstddef>
#include <ctime>
#include <malloc.h>
#include <vector>

// Measuring and line fitting for the capacity benchmark.
namespace plantaingap::capacity {

struct point
{
    double size = 0;
    double value = 0;
};

// value = base + slope * size, by least squares.
struct line
{
    double base = 0;
    double slope = 0;
    // The largest deviation of a point from the line, as a part of the largest value.
    double worst = 0;

    double at(double size) const { return base + slope * size; }
};

inline line fit(const std::vector<point> &points)
{
    double n = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    double largest = 0;
    for (const auto &[x, y] : points) {
        n += 1;
        sumX += x;
        sumY += y;
        sumXx += x * x;
        sumXy += x * y;
        largest = std::max(largest, std::abs(y));
    }
    line fitted;
    const double spread = n * sumXx - sumX * sumX;
    fitted.slope = spread == 0 ? 0 : (n * sumXy - sumX * sumY) / spread;
    fitted.base = (sumY - fitted.slope * sumX) / n;
    for (const auto &[x, y] : points) {
        const double deviation = std::abs(fitted.at(x) - y) / (largest == 0 ? 1 : largest);
        fitted.worst = std::max(fitted.worst, deviation);
    }
    return fitted;
}

// Processor time of this process.
inline std::chrono::nanoseconds processorTime()
{
    timespec now {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

// Bytes that the program holds on the heap.
inline double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace plantaingap::capacity

#endif
