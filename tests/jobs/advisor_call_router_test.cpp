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
constexpr microseconds quick {7'000};
constexpr microseconds middle {130'000};
constexpr microseconds longest {700'000};

// The leader and six instances, all equally near.
advisor_call_router sevenInstances()
{
    advisor_call_router callers;
    for (int i = 1; i <= 6; ++i)
        callers.heartbeatReceived("e" + std::to_string(i), start);
    return callers;
}

int begunCalls(advisor_call_router &callers, microseconds length, int tried)
{
    int callStarted = 0;
    for (int i = 0; i < tried; ++i) {
        const auto by = callers.chooseInstance(length, start);
        if (!by)
            break;
        callers.callStarted(*by, length, start);
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
    {"long calls leave instances for quick ones", longest, quick, true},
    {"long calls leave an instance for middling ones", longest, middle, true},
    {"quick calls do not shut out long ones", quick, longest, false},
    {"middling calls leave an instance for quick ones", middle, quick, true},
    {"long calls wait when all instances that take them are busy", longest, longest, false},
};

} // namespace

// Load pattern: a burst of one kind of step asks for more advice than the instances can fetch.
TEST_CASE("A flood of calls of one length leaves room for others")
{
    for (const auto &row : floods) {
        CAPTURE(std::string(row.name));
        auto callers = sevenInstances();
        begunCalls(callers, row.flood, 200);
        CHECK(callers.chooseInstance(row.next, start).has_value() == row.served);
    }
}

TEST_CASE("Calls that wait at the advisor stay below what it takes")
{
    advisor_call_router callers;
    for (int i = 0; i < 40; ++i)
        callers.heartbeatReceived("e" + std::to_string(i), start);
    // One is being served for each instance that has any.
    CHECK(begunCalls(callers, microseconds(100), 500) <= 41 + 24);
}

TEST_CASE("An instance that is silent for a second gets no calls; the leader itself always may")
{
    advisor_call_router callers;
    callers.heartbeatReceived("e1", start);
    const auto later = start + milliseconds(1500);
    CHECK(callers.chooseInstance(quick, later) == std::string());
    CHECK(callers.chooseInstance(longest, later) == std::string());
}

TEST_CASE("A quick call goes where its answer is expected first")
{
    advisor_call_router callers;
    callers.heartbeatReceived("near", start);
    callers.heartbeatReceived("far", start);
    auto now = start;
    for (int i = 0; i < 30; ++i) {
        for (const auto &[name, ways] : {std::pair("near", 3), std::pair("far", 130)}) {
            const auto served = callers.callStarted(name, quick, now);
            now = served + milliseconds(ways);
            callers.callFinished(name, served, now);
            callers.heartbeatReceived("near", now);
            callers.heartbeatReceived("far", now);
        }
    }
    // The leader's own calls wait behind this one.
    callers.callStarted("", milliseconds(300), now);
    CHECK(callers.chooseInstance(quick, now) == std::string("near"));
}
