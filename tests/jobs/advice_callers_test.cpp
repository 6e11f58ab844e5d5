#include "jobs/advice_callers.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace plantaingap;
using plantaingap::jobs::advice_callers;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const auto start = time_point(std::chrono::hours(1));
constexpr microseconds quick {7'000};
constexpr microseconds middle {130'000};
constexpr microseconds longest {700'000};

// The leader and six instances, all equally near.
advice_callers sevenInstances()
{
    advice_callers callers;
    for (int i = 1; i <= 6; ++i)
        callers.heard("e" + std::to_string(i), start);
    return callers;
}

int begunCalls(advice_callers &callers, microseconds length, int tried)
{
    int begun = 0;
    for (int i = 0; i < tried; ++i) {
        const auto by = callers.choose(length, start);
        if (!by)
            break;
        callers.begun(*by, length, start);
        ++begun;
    }
    return begun;
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
        CHECK(callers.choose(row.next, start).has_value() == row.served);
    }
}

TEST_CASE("Calls that wait at the advisor stay below what it takes")
{
    advice_callers callers;
    for (int i = 0; i < 40; ++i)
        callers.heard("e" + std::to_string(i), start);
    // One is being served for each instance that has any.
    CHECK(begunCalls(callers, microseconds(100), 500) <= 41 + 24);
}

TEST_CASE("An instance that is silent for a second gets no calls; the leader itself always may")
{
    advice_callers callers;
    callers.heard("e1", start);
    const auto later = start + milliseconds(1500);
    CHECK(callers.choose(quick, later) == std::string());
    CHECK(callers.choose(longest, later) == std::string());
}

TEST_CASE("A quick call goes where its answer is expected first")
{
    advice_callers callers;
    callers.heard("near", start);
    callers.heard("far", start);
    auto now = start;
    for (int i = 0; i < 30; ++i) {
        for (const auto &[name, ways] : {std::pair("near", 3), std::pair("far", 130)}) {
            const auto served = callers.begun(name, quick, now);
            now = served + milliseconds(ways);
            callers.ended(name, served, now);
            callers.heard("near", now);
            callers.heard("far", now);
        }
    }
    // The leader's own calls wait behind this one.
    callers.begun("", milliseconds(300), now);
    CHECK(callers.choose(quick, now) == std::string("near"));
}
