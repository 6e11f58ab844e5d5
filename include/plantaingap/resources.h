#ifndef PLANTAINGAP_RESOURCES_H
#define PLANTAINGAP_RESOURCES_H

#include <compare>
#include <cstdint>

namespace plantaingap {

// An amount of each resource that a worker holds and a task asks for.
// Processors are counted in thousandths of a core, memory in MiB, accelerators whole.
struct resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources &) const = default;

    constexpr resources &operator+=(const resources &other)
    {
        milliCores += other.milliCores;
        memoryMib += other.memoryMib;
        accelerators += other.accelerators;
        return *this;
    }

    constexpr resources &operator-=(const resources &other)
    {
        milliCores -= other.milliCores;
        memoryMib -= other.memoryMib;
        accelerators -= other.accelerators;
        return *this;
    }

    // True when this amount can be taken out of the other in every resource.
    constexpr bool fitsIn(const resources &other) const
    {
        return milliCores <= other.milliCores && memoryMib <= other.memoryMib
               && accelerators <= other.accelerators;
    }
};

constexpr resources operator+(resources left, const resources &right)
{
    return left += right;
}

constexpr resources operator-(resources left, const resources &right)
{
    return left -= right;
}

constexpr resources operator*(const resources &each, std::int64_t count)
{
    return {each.milliCores * count, each.memoryMib * count, each.accelerators * count};
}

} // namespace plantaingap

#endif
