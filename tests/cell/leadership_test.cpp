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

leader_row rowOf(std::uint64_t sequence, bool resigned = false)
{
    return {"one", "10.0.0.1:7000", 1, sequence, resigned};
}

// What a follower sees, in order.
struct sight
{
    enum kind_of { Row, Beat, Silence, Unreadable } kind;
    int ms;
    std::uint64_t revision = 0;
    bool resigned = false;
    int commitAgeMs = 0;
    // When an answered heartbeat was sent.
    int sentMs = 0;
    int readMs = 5;
};

struct watch_row
{
    const char *name;
    std::vector<sight> seen;
    int askedMs;
    bool mayTakeOver;
};

const watch_row rows[] = {
    {"a leader that answers is left alone",
     {{sight::Row, 0, 5}, {sight::Beat, 10}, {sight::Beat, 310}},
     320,
     false},
    {"a row that stands still under a silent leader is taken over",
     {{sight::Row, 0, 5}, {sight::Silence, 100}, {sight::Row, 400, 5}, {sight::Row, 800, 5}},
     810,
     true},
    {"looks that lie far apart show the same",
     {{sight::Row, 0, 5}, {sight::Silence, 600}, {sight::Row, 750, 5}, {sight::Row, 1500, 5}},
     1510,
     true},
    {"a row that moves has a leader, though it is silent here",
     {{sight::Row, 0, 5}, {sight::Silence, 600}, {sight::Row, 750, 6}, {sight::Row, 1400, 7}},
     1410,
     false},
    {"a leader that answers and cannot write is suspected",
     {{sight::Row, 0, 5}, {sight::Beat, 10, 0, false, 1500}, {sight::Row, 900, 5}},
     910,
     true},
    {"a leader that gives way is replaced at once",
     {{sight::Row, 0, 5}, {sight::Silence, 5}, {sight::Row, 10, 6, true}},
     11,
     true},
    {"the revision that the leader told counts from when it told it",
     {{sight::Row, 0, 5},
      {sight::Beat, 330, 9, false, 0, 300},
      {sight::Silence, 1030},
      {sight::Row, 1040, 9}},
     1041,
     true},
    {"a row that moved since the leader told of it has a leader",
     {{sight::Row, 0, 5},
      {sight::Beat, 330, 9, false, 0, 300},
      {sight::Silence, 1030},
      {sight::Row, 1040, 10}},
     1041,
     false},
    {"a leader that goes on answering and has not written is replaced at the first look",
     {{sight::Row, 0, 5},
      {sight::Beat, 330, 9, false, 100, 300},
      {sight::Beat, 630, 9, false, 400, 600},
      {sight::Beat, 1130, 9, false, 900, 1100},
      {sight::Row, 1140, 9}},
     1141,
     true},
    {"a leader that misses two writes is replaced when the row has stood still for long enough",
     {{sight::Row, 0, 5},
      {sight::Beat, 330, 9, false, 40, 310},
      {sight::Beat, 830, 9, false, 500, 810},
      {sight::Row, 840, 9}},
     841,
     true},
    {"a slow store makes for slow writes, not for a lost leader",
     {{sight::Row, 0, 5},
      {sight::Beat, 330, 9, false, 900, 300},
      {sight::Row, 1330, 9, false, 0, 0, 500}},
     1331,
     false},
    {"when the store is back a leader gets its time anew",
     {{sight::Row, 0, 5},
      {sight::Beat, 330, 9, false, 0, 300},
      {sight::Silence, 700},
      {sight::Unreadable, 800},
      {sight::Unreadable, 4000},
      {sight::Row, 5000, 9}},
     5001,
     false},
    {"a leader that does not use that time is replaced",
     {{sight::Row, 0, 5},
      {sight::Silence, 700},
      {sight::Unreadable, 800},
      {sight::Row, 5000, 5},
      {sight::Row, 5750, 5}},
     5751,
     true},
    {"one lost answer of the store does not help a lost leader",
     {{sight::Row, 0, 5}, {sight::Silence, 100}, {sight::Unreadable, 500}, {sight::Row, 800, 5}},
     801,
     true},
    {"without any look at the row nothing is taken over", {{sight::Silence, 5}}, 5000, false},
};

} // namespace

TEST_CASE("When a follower may take the cell over")
{
    for (const auto &row : rows) {
        CAPTURE(row.name);
        leadership_watch watch("two", {});
        for (const auto &one : row.seen) {
            if (one.kind == sight::Row)
                watch.rowSeen(rowOf(one.revision, one.resigned), one.revision,
                              milliseconds(one.readMs), at(one.ms));
            else if (one.kind == sight::Beat)
                watch.leaderAnswered(1, milliseconds(one.commitAgeMs), one.revision, at(one.sentMs),
                                     at(one.ms));
            else if (one.kind == sight::Silence)
                watch.leaderSilent(at(one.ms));
            else
                watch.rowUnreadable(at(one.ms));
        }
        CHECK(watch.mayTakeOver(at(row.askedMs)) == row.mayTakeOver);
    }
}

TEST_CASE("A cell without a leader's row is taken at once")
{
    leadership_watch watch("two", {});
    watch.rowSeen(std::nullopt, 0, milliseconds(5), at(0));
    CHECK(watch.mayTakeOver(at(1)));
}

TEST_CASE("An instance that finds its own earlier process as the leader takes over at once")
{
    leadership_watch watch("one", {});
    watch.rowSeen(rowOf(3), 8, milliseconds(5), at(0));
    CHECK(watch.mayTakeOver(at(1)));
}

TEST_CASE("The leader's row survives its encoding, and what is not one is refused")
{
    const auto row = rowOf(7, true);
    CHECK(decodeLeaderRow(encodeLeaderRow(row)) == row);
    for (const char *text : {"", "{}", "[]", R"({"holder":1})", "\xff"})
        CHECK_FALSE(decodeLeaderRow(text).has_value());
}

TEST_CASE("The store counts as away while reads of the row fail, and no longer")
{
    leadership_watch watch("two", {});
    watch.rowSeen(rowOf(3), 8, milliseconds(5), at(0));
    CHECK_FALSE(watch.storeAway(at(5000)));
    watch.rowUnreadable(at(5000));
    CHECK_FALSE(watch.storeAway(at(5100)));
    watch.rowUnreadable(at(5300));
    CHECK(watch.storeAway(at(5500)));
    watch.rowSeen(rowOf(3), 8, milliseconds(5), at(5600));
    CHECK_FALSE(watch.storeAway(at(5700)));
}

TEST_CASE("A silent leader is asked again when it answers or another leads")
{
    leadership_watch watch("two", {});
    watch.rowSeen(rowOf(3), 8, milliseconds(5), at(0));
    CHECK_FALSE(watch.silent());
    watch.leaderSilent(at(10));
    CHECK(watch.silent());
    watch.rowSeen(rowOf(3), 9, milliseconds(5), at(20));
    CHECK(watch.silent());
    watch.leaderAnswered(3, milliseconds(10), 9, at(25), at(30));
    CHECK_FALSE(watch.silent());
    watch.leaderSilent(at(40));
    auto next = rowOf(0);
    next.term = 2;
    watch.rowSeen(next, 10, milliseconds(5), at(50));
    CHECK_FALSE(watch.silent());
}
