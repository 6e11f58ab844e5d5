#include "jobs/advisor_call_router.h"

#include <algorithm>

namespace plantaingap::jobs {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// An instance stays available for this many heartbeat intervals, and this much longer.
constexpr int heartbeatValidityIntervals = 2;
constexpr milliseconds heartbeatMargin {600};
// Upper limits of short and medium calls: a tenth and a half of the objective of a quick step.
constexpr microseconds maxShortCall {40'000};
constexpr microseconds maxMediumCall {200'000};
// Max time that a call may wait at the advisor behind others of its instance.
constexpr milliseconds maxShortCallWait {60};
constexpr milliseconds maxCallWait {25};
constexpr std::uint32_t maxOpenCallsPerInstance = 5;
// The newest call has a weight of one in this many in the average round trip.
constexpr int roundTripSmoothing = 4;

using call_class = advisor_call_router::call_class;

// Longest class of calls for the instance at this rank by round trip. The nearest sixth takes only
// short calls, the next eighth up to medium ones.
call_class longestClassAt(std::size_t rank, std::size_t count)
{
    if (count == 1)
        return call_class::Long;
    const auto shortOnly = std::max<std::size_t>(1, count / 6);
    const auto mediumOnly = std::max<std::size_t>(1, count / 8);
    if (rank < shortOnly)
        return count == 2 ? call_class::Medium : call_class::Short;
    return count > 2 && rank < shortOnly + mediumOnly ? call_class::Medium : call_class::Long;
}

} // namespace

call_class advisor_call_router::classOf(microseconds serviceTime)
{
    if (serviceTime <= maxShortCall)
        return call_class::Short;
    return serviceTime <= maxMediumCall ? call_class::Medium : call_class::Long;
}

advisor_call_router::advisor_call_router(std::uint32_t maxWaitingCalls)
    : m_maxWaitingCalls(maxWaitingCalls)
{ }

void advisor_call_router::heartbeatReceived(const std::string &instance, milliseconds nextIn,
                                            time_point now)
{
    m_instances[instance].availableUntil =
        now + nextIn * heartbeatValidityIntervals + heartbeatMargin;
}

void advisor_call_router::instanceUnresponsive(const std::string &instance)
{
    if (const auto found = m_instances.find(instance); found != m_instances.end())
        found->second.availableUntil = {};
}

std::vector<const std::pair<const std::string, advisor_call_router::instance_state> *>
advisor_call_router::instancesByRoundTrip(time_point now) const
{
    std::vector<const std::pair<const std::string, instance_state> *> found;
    for (const auto &entry : m_instances) {
        if (entry.first.empty() || now <= entry.second.availableUntil)
            found.push_back(&entry);
    }
    std::ranges::stable_sort(found, [](const auto *a, const auto *b) {
        return a->second.roundTrip < b->second.roundTrip;
    });
    return found;
}

std::optional<std::string> advisor_call_router::chooseInstance(microseconds serviceTime,
                                                               time_point now) const
{
    const bool canQueue = waitingCalls() < m_maxWaitingCalls;
    const auto instances = instancesByRoundTrip(now);
    const auto wanted = classOf(serviceTime);
    const duration maxWait = wanted == call_class::Short ? maxShortCallWait : maxCallWait;
    const std::string *best = nullptr;
    time_point bestResponseAt {};
    for (std::size_t rank = 0; rank < instances.size(); ++rank) {
        const auto &[name, state] = *instances[rank];
        const auto free = std::max(state.idleAt, now);
        if (wanted > longestClassAt(rank, instances.size()) || free - now > maxWait
            || state.openCalls >= (canQueue ? maxOpenCallsPerInstance : 1)) {
            continue;
        }
        const auto responseAt = free + state.roundTrip;
        if (!best || responseAt < bestResponseAt) {
            best = &name;
            bestResponseAt = responseAt;
        }
    }
    return best ? std::optional(*best) : std::nullopt;
}

time_point advisor_call_router::callStarted(const std::string &instance, microseconds serviceTime,
                                            time_point now)
{
    auto &state = m_instances[instance];
    ++state.openCalls;
    state.idleAt = std::max(state.idleAt, now) + serviceTime;
    return state.idleAt;
}

void advisor_call_router::callFinished(const std::string &instance, time_point servedAt,
                                       time_point now)
{
    auto &state = m_instances[instance];
    const auto roundTrip = std::max(now - servedAt, duration(0));
    state.roundTrip += (roundTrip - state.roundTrip) / roundTripSmoothing;
    state.openCalls -= std::min<std::uint32_t>(state.openCalls, 1);
    if (state.openCalls == 0)
        state.idleAt = now;
}

std::uint32_t advisor_call_router::waitingCalls() const
{
    std::uint32_t sum = 0;
    for (const auto &[name, state] : m_instances)
        sum += state.openCalls > 1 ? state.openCalls - 1 : 0;
    return sum;
}

std::uint32_t advisor_call_router::openCalls() const
{
    std::uint32_t sum = 0;
    for (const auto &[name, state] : m_instances)
        sum += state.openCalls;
    return sum;
}

} // namespace plantaingap::jobs
