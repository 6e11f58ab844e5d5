#ifndef PLANTAINGAP_JOBS_ADVISOR_CALL_ROUTER_H
#define PLANTAINGAP_JOBS_ADVISOR_CALL_ROUTER_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <plantaingap/time.h>
#include <string>
#include <vector>

namespace plantaingap::jobs {

// Chooses the instance that makes each call to the placement advisor. The advisor serves one call
// of each instance at a time, calls take from milliseconds to a second, and a short call queued
// behind a long one delays its step.
class advisor_call_router
{
public:
    // Classes of calls by duration. Some instances are reserved for shorter calls.
    enum class call_class : std::uint8_t { Short, Medium, Long };
    static constexpr std::size_t callClassCount = 3;
    static call_class classOf(std::chrono::microseconds serviceTime);

    // At most maxWaitingCalls may wait at the advisor behind other calls of their instance.
    explicit advisor_call_router(std::uint32_t maxWaitingCalls = defaultWaitingCalls);

    // Records a heartbeat of an instance that can make calls, and when its next one is expected.
    // The leader itself has the empty name and is always available.
    void heartbeatReceived(const std::string &instance, std::chrono::milliseconds nextIn,
                           time_point now);
    // The instance did not reply; it gets no calls until its next heartbeat.
    void instanceUnresponsive(const std::string &instance);
    // Returns the instance that is expected to receive the response to a call with that service
    // time first, or nothing while all instances for this class of calls are busy.
    std::optional<std::string> chooseInstance(std::chrono::microseconds serviceTime,
                                              time_point now) const;
    // Records that a call was assigned to the instance. Returns the time at which the advisor is
    // expected to have served it, without network latency.
    time_point callStarted(const std::string &instance, std::chrono::microseconds serviceTime,
                           time_point now);
    // Records the end of a call with the expected service time servedAt, whether it succeeded or
    // failed.
    void callFinished(const std::string &instance, time_point servedAt, time_point now);
    // Number of calls without a response.
    std::uint32_t openCalls() const;

    // The advisor refuses calls when 32 wait, and some calls are still on their way.
    static constexpr std::uint32_t defaultWaitingCalls = 24;

private:
    // Assumed before the first call; longer than the latency between any two regions.
    static constexpr std::chrono::milliseconds initialRoundTrip {80};

    struct instance_state
    {
        // Without another heartbeat by then, the instance gets no calls.
        time_point availableUntil {};
        std::uint32_t openCalls = 0;
        // When the advisor is expected to have served all open calls.
        time_point idleAt {};
        // Time of a call beyond the time that the advisor needs, from the leader and back.
        duration roundTrip = initialRoundTrip;
    };

    // Calls queued at the advisor behind another call of their instance.
    std::uint32_t waitingCalls() const;
    std::vector<const std::pair<const std::string, instance_state> *>
    instancesByRoundTrip(time_point now) const;

    std::uint32_t m_maxWaitingCalls;
    std::map<std::string, instance_state> m_instances {{std::string(), {{}, 0, {}, duration(0)}}};
};

} // namespace plantaingap::jobs

#endif
