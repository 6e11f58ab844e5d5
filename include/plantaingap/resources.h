#ifndef PLANTAINGAP_RESOURCES_H
#define PLANTAINGAP_RESOURCES_H

#include <compare>
#include <cstdint>

namespace plantaingap {

// Resource amounts: a worker's capacity, or a task's demand or limit. Processors are counted in
// thousandths of a core, memory in MiB and accelerators in whole devices.
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

    // True when no resource exceeds that of other.
    constexpr bool fitsIn(const resources &other) const
    {
        return milliCores <= other.milliCores && memoryMib <= other.memoryMib
               && accelerators <= other.accelerators;
    }
};

// The greater amount of each resource.
constexpr resources greatest(const resources &left, const resources &right)
{
    return {left.milliCores > right.milliCores ? left.milliCores : right.milliCores,
            left.memoryMib > right.memoryMib ? left.memoryMib : right.memoryMib,
            left.accelerators > right.accelerators ? left.accelerators : right.accelerators};
}

constexpr resources operator+(resources left, const resources &right)
{
    return left += right;
}

constexpr resources operator-(resources left, const resources &right)
{
    return left -= right;
}

constexpr resources operator*(const resources &amount, std::int64_t count)
{
    return {amount.milliCores * count, amount.memoryMib * count, amount.accelerators * count};
}

} // namespace plantaingap

#endif
