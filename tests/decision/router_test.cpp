#include "decision/router.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <random>

using namespace plantaingap;
using namespace plantaingap::decision;
using namespace std::chrono_literals;

namespace {

constexpr service_id search {1};
constexpr time_point start {1h};

group_summary summary(std::uint32_t group, std::uint32_t region, std::uint32_t freeSlots,
                      std::uint32_t waiting = 0)
{
    group_summary made;
    made.group = group_id {group};
    made.owner = instance_id {group};
    made.region = region_id {region};
    made.service = search;
    made.slots = 64;
    made.freeSlots = freeSlots;
    made.waiting = {waiting, 0, 0};
    made.serviceTime = {50ms, 1s, 10s};
    made.receivedAt = start;
    return made;
}

struct choice_row
{
    std::string name;
    std::vector<group_summary> summaries;
    std::function<void(router &)> prepare;
    time_point at;
    // 0 for none.
    std::uint32_t group;
};

const auto nothing = [](router &) {};

} // namespace

TEST_CASE("a request goes to the group that takes it soonest at a fair cost")
{
    const std::vector<choice_row> rows = {
        {"no group is known", {}, nothing, start, 0},
        {"own region first", {summary(1, 1, 5), summary(2, 2, 60)}, nothing, start, 1},
        {"the shorter wait of two",
         {summary(1, 1, 0, 500), summary(2, 1, 0, 5)},
         nothing,
         start,
         2},
        {"a short queue does not cross regions",
         {summary(1, 1, 0, 100), summary(2, 2, 60)},
         nothing,
         start,
         1},
        {"a long queue crosses regions",
         {summary(1, 1, 0, 2000), summary(2, 2, 60)},
         nothing,
         start,
         2},
        {"a stale summary is not used", {summary(1, 1, 60)}, nothing, start + 6s, 0},
        {"a suspected owner is not used",
         {summary(1, 1, 60), summary(2, 1, 0, 50)},
         [](router &one) { one.markSuspected(instance_id {1}); },
         start,
         2},
        {"a trusted owner is used again",
         {summary(1, 1, 60), summary(2, 1, 0, 50)},
         [](router &one) {
             one.markSuspected(instance_id {1});
             one.clearSuspicion(instance_id {1});
         },
         start,
         1},
        {"what was forwarded counts before a summary shows it",
         {summary(1, 1, 10), summary(2, 1, 9)},
         [](router &one) {
             for (int each = 0; each < 10; ++each)
                 one.recordForwarded(group_id {1}, search, work_class::Normal, start);
         },
         start,
         2},
        {"an older summary does not replace a newer one",
         {summary(1, 1, 60), summary(2, 1, 0, 50)},
         [](router &one) {
             auto older = summary(1, 1, 0, 500);
             older.receivedAt = start - 1s;
             one.updateSummary(older);
         },
         start,
         1},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        router one({.region = region_id {1}}, 7);
        for (const auto &each : row.summaries)
            one.updateSummary(each);
        row.prepare(one);
        const auto chosen = one.choose(search, work_class::Quick, row.at);
        CHECK((chosen ? number(chosen->group) : 0) == row.group);
    }
}

TEST_CASE("a second try goes elsewhere and spends a budget")
{
    router one({.region = region_id {1}, .retryRatio = 0, .retryBurst = 1}, 7);
    one.updateSummary(summary(1, 1, 60));
    CHECK(!one.chooseAlternative(search, work_class::Quick, group_id {1}, start));
    one.updateSummary(summary(2, 1, 10));
    const auto second = one.chooseAlternative(search, work_class::Quick, group_id {1}, start);
    REQUIRE(second);
    CHECK(second->group == group_id {2});
    CHECK(!one.chooseAlternative(search, work_class::Quick, group_id {1}, start));
}

TEST_CASE("a request key names the same group at every instance, or none")
{
    std::vector<group_id> groups = {group_id {1}, group_id {2}, group_id {3}, group_id {4}};
    router idle({.region = region_id {1}}, 7);
    router busy({.region = region_id {2}}, 8);
    for (const auto group : groups) {
        idle.updateSummary(summary(number(group), 1, 60));
        busy.updateSummary(summary(number(group), 1, 0, 900));
    }
    std::map<group_id, int> taken;
    for (std::uint64_t key = 0; key < 4000; ++key) {
        const auto group = idle.chooseForKey(search, key, groups, start)->group;
        CHECK(group == busy.chooseForKey(search, key, groups, start)->group);
        ++taken[group];
    }
    for (const auto group : groups)
        CHECK(taken[group] > 900);
    // While its owner is suspected, no other group may take the key's request.
    const auto first = idle.chooseForKey(search, 1, groups, start);
    idle.markSuspected(first->owner);
    CHECK(!idle.chooseForKey(search, 1, groups, start));
    // Without one group, only that group's keys move.
    const std::vector<group_id> fewer(groups.begin() + 1, groups.end());
    for (std::uint64_t key = 0; key < 400; ++key) {
        const auto before = busy.chooseForKey(search, key, groups, start)->group;
        if (before != groups.front())
            CHECK(busy.chooseForKey(search, key, fewer, start)->group == before);
    }
}
