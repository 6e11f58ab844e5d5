#include "jobs/advisor_call_router.h"

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

using call_class = advisor_call_router::call_class;

// The longest calls that an instance takes, by its place in the order of distance: the nearest
// sixth is kept for quick calls, the next eighth for middling ones.
call_class longestAt(std::size_t place, std::size_t count)
{
    if (count == 1)
        return call_class::Long;
    const auto quick = std::max<std::size_t>(1, count / 6);
    const auto middle = std::max<std::size_t>(1, count / 8);
    if (place < quick)
        return count == 2 ? call_class::Medium : call_class::Short;
    return count > 2 && place < quick + middle ? call_class::Medium : call_class::Long;
}

} // namespace

call_class advisor_call_router::classOf(microseconds length)
{
    if (length <= quickCall)
        return call_class::Short;
    return length <= middleCall ? call_class::Medium : call_class::Long;
}

void advisor_call_router::heartbeatReceived(const std::string &instance, time_point now)
{
    m_callers[instance].heartbeatReceived = now;
}

std::vector<const std::pair<const std::string, advisor_call_router::caller> *>
advisor_call_router::nearestFirst(time_point now) const
{
    std::vector<const std::pair<const std::string, caller> *> found;
    for (const auto &entry : m_callers) {
        if (entry.first.empty() || now - entry.second.heartbeatReceived <= validity)
            found.push_back(&entry);
    }
    std::ranges::stable_sort(found, [](const auto *a, const auto *b) {
        return a->second.distance < b->second.distance;
    });
    return found;
}

std::optional<std::string> advisor_call_router::chooseInstance(microseconds length,
                                                               time_point now) const
{
    const bool mayQueue = waiting() < mostWaiting;
    const auto callers = nearestFirst(now);
    const auto wanted = classOf(length);
    const duration mayWait = wanted == call_class::Short ? quickPatience : patience;
    const std::string *best = nullptr;
    time_point bestAt {};
    for (std::size_t place = 0; place < callers.size(); ++place) {
        const auto &[name, one] = *callers[place];
        const auto free = std::max(one.freeAt, now);
        if (wanted > longestAt(place, callers.size()) || free - now > mayWait
            || one.openCalls >= (mayQueue ? mostOpenEach : 1)) {
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

time_point advisor_call_router::callStarted(const std::string &instance, microseconds length,
                                            time_point now)
{
    auto &one = m_callers[instance];
    ++one.openCalls;
    one.freeAt = std::max(one.freeAt, now) + length;
    return one.freeAt;
}

void advisor_call_router::callFinished(const std::string &instance, time_point servedAt,
                                       time_point now)
{
    auto &one = m_callers[instance];
    const auto beyond = std::max(now - servedAt, duration(0));
    one.distance += (beyond - one.distance) / distanceWeight;
    one.openCalls -= std::min<std::uint32_t>(one.openCalls, 1);
    if (one.openCalls == 0)
        one.freeAt = now;
}

std::uint32_t advisor_call_router::waiting() const
{
    std::uint32_t sum = 0;
    for (const auto &[name, one] : m_callers)
        sum += one.openCalls > 1 ? one.openCalls - 1 : 0;
    return sum;
}

std::uint32_t advisor_call_router::openCalls() const
{
    std::uint32_t sum = 0;
    for (const auto &[name, one] : m_callers)
        sum += one.openCalls;
    return sum;
}

} // namespace plantaingap::jobs
