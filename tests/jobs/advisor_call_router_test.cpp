#include "jobs/advisor_call_router.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace plantaingap;
using plantaingap::jobs::advisor_call_router;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const auto start = time_point(std::chrono::hours(1));
constexpr milliseconds heartbeatInterval {200};
constexpr microseconds shortCall {7'000};
constexpr microseconds mediumCall {130'000};
constexpr microseconds longCall {700'000};

// The leader and six instances with equal round trips.
advisor_call_router routerWithSevenInstances()
{
    advisor_call_router router;
    for (int i = 1; i <= 6; ++i)
        router.heartbeatReceived("e" + std::to_string(i), heartbeatInterval, start);
    return router;
}

int startCalls(advisor_call_router &router, microseconds length, int attempts)
{
    int callStarted = 0;
    for (int i = 0; i < attempts; ++i) {
        const auto instance = router.chooseInstance(length, start);
        if (!instance)
            break;
        router.callStarted(*instance, length, start);
        ++callStarted;
    }
    return callStarted;
}

struct flood_row
{
    const char *name;
    microseconds flood;
    microseconds next;
    bool served;
};

const flood_row floods[] = {
    {"long calls leave instances for short ones", longCall, shortCall, true},
    {"long calls leave an instance for medium ones", longCall, mediumCall, true},
    {"short calls occupy the instances for long ones too", shortCall, longCall, false},
    {"medium calls leave an instance for short ones", mediumCall, shortCall, true},
    {"long calls wait when all instances for them are busy", longCall, longCall, false},
};

} // namespace

// Load: a burst of one kind of step requests more advice than the instances can fetch.
TEST_CASE("A burst of calls of one class leaves capacity for other classes")
{
    for (const auto &row : floods) {
        CAPTURE(std::string(row.name));
        auto router = routerWithSevenInstances();
        startCalls(router, row.flood, 200);
        CHECK(router.chooseInstance(row.next, start).has_value() == row.served);
    }
}

TEST_CASE("The number of calls waiting at the advisor stays below its limit")
{
    advisor_call_router router;
    for (int i = 0; i < 40; ++i)
        router.heartbeatReceived("e" + std::to_string(i), heartbeatInterval, start);
    // Each instance with calls has one in service, which does not wait.
    CHECK(startCalls(router, microseconds(100), 500) <= 41 + 24);
}

TEST_CASE(
    "An instance without a heartbeat for a second gets no calls; the leader itself always does")
{
    advisor_call_router router;
    router.heartbeatReceived("e1", heartbeatInterval, start);
    const auto later = start + milliseconds(1500);
    CHECK(router.chooseInstance(shortCall, later) == std::string());
    CHECK(router.chooseInstance(longCall, later) == std::string());
}

TEST_CASE("A short call is assigned to the instance with the earliest expected response")
{
    advisor_call_router router;
    router.heartbeatReceived("near", heartbeatInterval, start);
    router.heartbeatReceived("far", heartbeatInterval, start);
    auto now = start;
    for (int i = 0; i < 30; ++i) {
        for (const auto &[name, roundTripMs] : {std::pair("near", 3), std::pair("far", 130)}) {
            const auto served = router.callStarted(name, shortCall, now);
            now = served + milliseconds(roundTripMs);
            router.callFinished(name, served, now);
            router.heartbeatReceived("near", heartbeatInterval, now);
            router.heartbeatReceived("far", heartbeatInterval, now);
        }
    }
    // Calls of the leader itself wait behind this one.
    router.callStarted("", milliseconds(300), now);
    CHECK(router.chooseInstance(shortCall, now) == std::string("near"));
}
