#include "jobs/advice_callers.h"

#include <algorithm>

namespace plantaingap::jobs {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// An instance that was not heard for this long gets no calls: some three heartbeats.
constexpr milliseconds validity {1000};
// Calls up to these lengths are quick, or middling; a tenth, and half, of a quick step's objective.
constexpr microseconds quickCall {40'000};
constexpr microseconds middleCall {200'000};
// How long a call may wait at the advisor for others of its instance.
constexpr milliseconds quickPatience {60};
constexpr milliseconds patience {25};
// Calls that one instance may have open, and all that may wait behind others: the advisor refuses
// calls when 32 wait, and some are on their way there.
constexpr std::uint32_t mostOpenEach = 5;
constexpr std::uint32_t mostWaiting = 24;
// Weight of the newest call in an instance's distance.
constexpr int distanceWeight = 4;

using call_class = advice_callers::call_class;

// The longest calls that an instance takes, by its place in the order of distance: the nearest
// sixth is kept for quick calls, the next eighth for middling ones.
call_class longestAt(std::size_t place, std::size_t count)
{
    if (count == 1)
        return call_class::Long;
    const auto quick = std::max<std::size_t>(1, count / 6);
    const auto middle = std::max<std::size_t>(1, count / 8);
    if (place < quick)
        return count == 2 ? call_class::Middle : call_class::Quick;
    return count > 2 && place < quick + middle ? call_class::Middle : call_class::Long;
}

} // namespace

call_class advice_callers::classOf(microseconds length)
{
    if (length <= quickCall)
        return call_class::Quick;
    return length <= middleCall ? call_class::Middle : call_class::Long;
}

void advice_callers::heard(const std::string &instance, time_point now)
{
    m_callers[instance].heard = now;
}

std::vector<const std::pair<const std::string, advice_callers::caller> *>
advice_callers::nearestFirst(time_point now) const
{
    std::vector<const std::pair<const std::string, caller> *> found;
    for (const auto &entry : m_callers) {
        if (entry.first.empty() || now - entry.second.heard <= validity)
            found.push_back(&entry);
    }
    std::ranges::stable_sort(found, [](const auto *a, const auto *b) {
        return a->second.distance < b->second.distance;
    });
    return found;
}

std::optional<std::string> advice_callers::choose(microseconds length, time_point now) const
{
    const bool mayQueue = waiting() < mostWaiting;
    const auto callers = nearestFirst(now);
    const auto wanted = classOf(length);
    const duration mayWait = wanted == call_class::Quick ? quickPatience : patience;
    const std::string *best = nullptr;
    time_point bestAt {};
    for (std::size_t place = 0; place < callers.size(); ++place) {
        const auto &[name, one] = *callers[place];
        const auto free = std::max(one.freeAt, now);
        if (wanted > longestAt(place, callers.size()) || free - now > mayWait
            || one.open >= (mayQueue ? mostOpenEach : 1)) {
            continue;
        }
        const auto answered = free + one.distance;
        if (!best || answered < bestAt) {
            best = &name;
            bestAt = answered;
        }
    }
    return best ? std::optional(*best) : std::nullopt;
}

time_point advice_callers::begun(const std::string &instance, microseconds length, time_point now)
{
    auto &one = m_callers[instance];
    ++one.open;
    one.freeAt = std::max(one.freeAt, now) + length;
    return one.freeAt;
}

void advice_callers::ended(const std::string &instance, time_point servedAt, time_point now)
{
    auto &one = m_callers[instance];
    const auto beyond = std::max(now - servedAt, duration(0));
    one.distance += (beyond - one.distance) / distanceWeight;
    one.open -= std::min<std::uint32_t>(one.open, 1);
    if (one.open == 0)
        one.freeAt = now;
}

std::uint32_t advice_callers::waiting() const
{
    std::uint32_t sum = 0;
    for (const auto &[name, one] : m_callers)
        sum += one.open > 1 ? one.open - 1 : 0;
    return sum;
}

std::uint32_t advice_callers::open() const
{
    std::uint32_t sum = 0;
    for (const auto &[name, one] : m_callers)
        sum += one.open;
    return sum;
}

} // namespace plantaingap::jobs
