#include "cell/leadership.h"

#include <doctest/doctest.h>
#include <vector>

using namespace plantaingap;
using namespace plantaingap::cell;
using std::chrono::milliseconds;

namespace {

time_point at(int ms)
{
    return time_point(std::chrono::seconds(100) + milliseconds(ms));
}

leader_row makeRow(std::uint64_t sequence, bool resigned = false)
{
    return {"one", "10.0.0.1:7000", 1, sequence, resigned};
}

// An event that the monitor receives.
struct monitor_event
{
    enum event_kind { RowRead, LeaderReplied, LeaderCallFailed, RowReadFailed } kind;
    int atMs;
    std::uint64_t revision = 0;
    bool resigned = false;
    int commitAgeMs = 0;
    // When a heartbeat with a reply was sent.
    int sentAtMs = 0;
    int readTimeMs = 5;
};

struct takeover_case
{
    const char *name;
    std::vector<monitor_event> events;
    int checkedAtMs;
    bool canTakeOver;
};

const takeover_case cases[] = {
    {"a leader that replies is not replaced",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderReplied, 10},
      {monitor_event::LeaderReplied, 310}},
     320,
     false},
    {"an unchanged row of an unresponsive leader is taken over",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderCallFailed, 100},
      {monitor_event::RowRead, 400, 5},
      {monitor_event::RowRead, 800, 5}},
     810,
     true},
    {"reads of the row that are far apart give the same result",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderCallFailed, 600},
      {monitor_event::RowRead, 750, 5},
      {monitor_event::RowRead, 1500, 5}},
     1510,
     true},
    {"a leader that is unresponsive but changes the row is not replaced",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderCallFailed, 600},
      {monitor_event::RowRead, 750, 6},
      {monitor_event::RowRead, 1400, 7}},
     1410,
     false},
    {"a leader that replies but cannot write is replaced",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderReplied, 10, 0, false, 1500},
      {monitor_event::RowRead, 900, 5}},
     910,
     true},
    {"a leader that resigned is replaced at once",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderCallFailed, 5},
      {monitor_event::RowRead, 10, 6, true}},
     11,
     true},
    {"the timeout starts at the leader's first report of the revision",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderReplied, 330, 9, false, 0, 300},
      {monitor_event::LeaderCallFailed, 1030},
      {monitor_event::RowRead, 1040, 9}},
     1041,
     true},
    {"a leader that changed the row after its last report is not replaced",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderReplied, 330, 9, false, 0, 300},
      {monitor_event::LeaderCallFailed, 1030},
      {monitor_event::RowRead, 1040, 10}},
     1041,
     false},
    {"a leader that replies without writing is replaced at the first read of the row",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderReplied, 330, 9, false, 100, 300},
      {monitor_event::LeaderReplied, 630, 9, false, 400, 600},
      {monitor_event::LeaderReplied, 1130, 9, false, 900, 1100},
      {monitor_event::RowRead, 1140, 9}},
     1141,
     true},
    {"a leader that misses two writes is replaced after the unchanged timeout",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderReplied, 330, 9, false, 40, 310},
      {monitor_event::LeaderReplied, 830, 9, false, 500, 810},
      {monitor_event::RowRead, 840, 9}},
     841,
     true},
    {"a leader with slow writes to a slow store is not replaced",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderReplied, 330, 9, false, 900, 300},
      {monitor_event::RowRead, 1330, 9, false, 0, 0, 500}},
     1331,
     false},
    {"the timeout starts again after a store outage",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderReplied, 330, 9, false, 0, 300},
      {monitor_event::LeaderCallFailed, 700},
      {monitor_event::RowReadFailed, 800},
      {monitor_event::RowReadFailed, 4000},
      {monitor_event::RowRead, 5000, 9}},
     5001,
     false},
    {"a leader that does not write after a store outage is replaced",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderCallFailed, 700},
      {monitor_event::RowReadFailed, 800},
      {monitor_event::RowRead, 5000, 5},
      {monitor_event::RowRead, 5750, 5}},
     5751,
     true},
    {"one failed read of the row does not restart the timeout",
     {{monitor_event::RowRead, 0, 5},
      {monitor_event::LeaderCallFailed, 100},
      {monitor_event::RowReadFailed, 500},
      {monitor_event::RowRead, 800, 5}},
     801,
     true},
    {"nothing is taken over without a read of the row",
     {{monitor_event::LeaderCallFailed, 5}},
     5000,
     false},
};

} // namespace

TEST_CASE("When a follower may take the cell over")
{
    for (const auto &row : cases) {
        CAPTURE(row.name);
        leadership_monitor monitor("two", {});
        for (const auto &event : row.events) {
            if (event.kind == monitor_event::RowRead)
                monitor.rowRead(makeRow(event.revision, event.resigned), event.revision,
                                milliseconds(event.readTimeMs), at(event.atMs));
            else if (event.kind == monitor_event::LeaderReplied)
                monitor.leaderReplied(
                    {true, 1, milliseconds(event.commitAgeMs), event.revision, milliseconds(0)},
                    at(event.sentAtMs), at(event.atMs));
            else if (event.kind == monitor_event::LeaderCallFailed)
                monitor.leaderCallFailed(at(event.atMs));
            else
                monitor.rowReadFailed(at(event.atMs));
        }
        CHECK(monitor.canTakeOver(at(row.checkedAtMs)) == row.canTakeOver);
    }
}

TEST_CASE("A cell without a leader row is taken over at once")
{
    leadership_monitor monitor("two", {});
    monitor.rowRead(std::nullopt, 0, milliseconds(5), at(0));
    CHECK(monitor.canTakeOver(at(1)));
}

TEST_CASE("An instance whose earlier process led takes over at once")
{
    leadership_monitor monitor("one", {});
    monitor.rowRead(makeRow(3), 8, milliseconds(5), at(0));
    CHECK(monitor.canTakeOver(at(1)));
}

TEST_CASE("The leader row round-trips through its encoding, and malformed rows are rejected")
{
    const auto row = makeRow(7, true);
    CHECK(decodeLeaderRow(encodeLeaderRow(row)) == row);
    for (const char *text : {"", "{}", "[]", R"({"holder":1})", "\xff"})
        CHECK_FALSE(decodeLeaderRow(text).has_value());
}

TEST_CASE("The store is unavailable while reads of the row fail")
{
    leadership_monitor monitor("two", {});
    monitor.rowRead(makeRow(3), 8, milliseconds(5), at(0));
    CHECK_FALSE(monitor.storeUnavailable(at(5000)));
    monitor.rowReadFailed(at(5000));
    CHECK_FALSE(monitor.storeUnavailable(at(5100)));
    monitor.rowReadFailed(at(5300));
    CHECK(monitor.storeUnavailable(at(5500)));
    monitor.rowRead(makeRow(3), 8, milliseconds(5), at(5600));
    CHECK_FALSE(monitor.storeUnavailable(at(5700)));
}

TEST_CASE("A leader is unresponsive until it replies or another leads")
{
    leadership_monitor monitor("two", {});
    monitor.rowRead(makeRow(3), 8, milliseconds(5), at(0));
    CHECK_FALSE(monitor.leaderUnresponsive());
    monitor.leaderCallFailed(at(10));
    CHECK(monitor.leaderUnresponsive());
    monitor.rowRead(makeRow(3), 9, milliseconds(5), at(20));
    CHECK(monitor.leaderUnresponsive());
    monitor.leaderReplied({true, 3, milliseconds(10), 9, {}}, at(25), at(30));
    CHECK_FALSE(monitor.leaderUnresponsive());
    monitor.leaderCallFailed(at(40));
    auto next = makeRow(0);
    next.term = 2;
    monitor.rowRead(next, 10, milliseconds(5), at(50));
    CHECK_FALSE(monitor.leaderUnresponsive());
}

namespace {

struct claim_case
{
    const char *name;
    bool resigned;
    std::uint64_t lostBefore;
    std::chrono::minutes passed;
    std::uint64_t lost;
};

const claim_case claims[] = {
    {"the leader resigned", true, 0, std::chrono::minutes(1), 0},
    {"the leader is lost", false, 0, std::chrono::minutes(1), 1000},
    {"the second one is lost an hour later", false, 1000, std::chrono::minutes(60), 1500},
    {"one is lost two hours before the leader resigns", true, 1000, std::chrono::minutes(120), 250},
    {"the wall clock goes back", false, 3000, std::chrono::minutes(-5), 4000},
};

} // namespace

// Guards against leaders that leave their successors no connections to the workers (review/11).
TEST_CASE("The row of a new leader counts the leaders that were lost before it")
{
    const wall_time then {std::chrono::hours(24 * 365 * 50)};
    CHECK(claimRow(std::nullopt, "one", "10.0.0.1:7000", then).lostLeaderThousandths == 0);
    for (const auto &row : claims) {
        CAPTURE(std::string(row.name));
        auto former = makeRow(7, row.resigned);
        former.lostLeaderThousandths = row.lostBefore;
        former.lostLeadersAtMs = then.time_since_epoch().count();
        const auto claimed = claimRow(former, "two", "10.0.0.2:7000", then + row.passed);
        CHECK(claimed.lostLeaderThousandths == row.lost);
        CHECK(claimed.term == former.term + 1);
        CHECK(claimed.holder == "two");
        // A claim whose reply was lost is recognised by its row.
        CHECK(decodeLeaderRow(encodeLeaderRow(claimed)) == claimed);
    }
    const auto earlier = decodeLeaderRow(
        R"({"holder":"one","address":"10.0.0.1:7000","term":1,"sequence":7,"resigned":false})");
    REQUIRE(earlier);
    CHECK(*earlier == makeRow(7));
}
