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

// Which instance makes a call to the placement advisor. Load pattern that it answers: the advisor
// serves one call of each instance at a time, calls take from milliseconds to a second, and a short
// call behind a long one makes its step late.
class advisor_call_router
{
public:
    // Calls by their length; the shorter ones have instances that the longer ones do not get.
    enum class call_class : std::uint8_t { Short, Medium, Long };
    static constexpr std::size_t callClassCount = 3;
    static call_class classOf(std::chrono::microseconds length);

    // The instance is there to make calls. The leader's own has the empty name and always is.
    void heartbeatReceived(const std::string &instance, time_point now);
    // The instance that would have the answer to a call of that length first; none while all that
    // take such calls are busy.
    std::optional<std::string> chooseInstance(std::chrono::microseconds length,
                                              time_point now) const;
    // The instance was told to make a call. Returns when the advisor will have served it, not
    // counting the ways there and back.
    time_point callStarted(const std::string &instance, std::chrono::microseconds length,
                           time_point now);
    // A call that should have been served then ended, with an answer or without.
    void callFinished(const std::string &instance, time_point servedAt, time_point now);
    // Calls without an answer yet.
    std::uint32_t openCalls() const;

private:
    // Longer than any distance between regions until a call has told.
    static constexpr std::chrono::milliseconds initialRoundTrip {80};

    struct instance_state
    {
        time_point lastHeartbeat {};
        std::uint32_t openCalls = 0;
        // When the advisor will have served the calls that are open.
        time_point idleAt {};
        // What a call takes beyond the advisor's time, from the leader and back.
        duration roundTrip = initialRoundTrip;
    };

    // Calls that wait at the advisor for another of their instance.
    std::uint32_t waitingCalls() const;
    std::vector<const std::pair<const std::string, instance_state> *>
    instancesByRoundTrip(time_point now) const;

    std::map<std::string, instance_state> m_instances {{std::string(), {{}, 0, {}, duration(0)}}};
};

} // namespace plantaingap::jobs

#endif
