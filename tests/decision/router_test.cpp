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
    group_summary result;
    result.group = group_id {group};
    result.owner = instance_id {group};
    result.region = region_id {region};
    result.service = search;
    result.slots = 64;
    result.freeSlots = freeSlots;
    result.waiting = {waiting, 0, 0};
    result.serviceTime = {50ms, 1s, 10s};
    result.receivedAt = start;
    return result;
}

struct route_case
{
    std::string name;
    std::vector<group_summary> summaries;
    std::function<void(router &)> prepare;
    time_point now;
    // Expected group; 0 for no route.
    std::uint32_t group;
};

const auto noPreparation = [](router &) {};

} // namespace

TEST_CASE("a request is routed to the group with the lowest cost")
{
    const std::vector<route_case> rows = {
        {"no group is known", {}, noPreparation, start, 0},
        {"prefers the own region", {summary(1, 1, 5), summary(2, 2, 60)}, noPreparation, start, 1},
        {"prefers the shorter wait",
         {summary(1, 1, 0, 500), summary(2, 1, 0, 5)},
         noPreparation,
         start,
         2},
        {"a short queue does not cross regions",
         {summary(1, 1, 0, 100), summary(2, 2, 60)},
         noPreparation,
         start,
         1},
        {"a long queue crosses regions",
         {summary(1, 1, 0, 2000), summary(2, 2, 60)},
         noPreparation,
         start,
         2},
        {"a stale summary is not used", {summary(1, 1, 60)}, noPreparation, start + 6s, 0},
        {"a suspected owner is not used",
         {summary(1, 1, 60), summary(2, 1, 0, 50)},
         [](router &routes) { routes.markSuspected(instance_id {1}); },
         start,
         2},
        {"an owner is used again after the suspicion is cleared",
         {summary(1, 1, 60), summary(2, 1, 0, 50)},
         [](router &routes) {
             routes.markSuspected(instance_id {1});
             routes.clearSuspicion(instance_id {1});
         },
         start,
         1},
        {"forwarded requests count before a summary includes them",
         {summary(1, 1, 10), summary(2, 1, 9)},
         [](router &routes) {
             for (int i = 0; i < 10; ++i)
                 routes.recordForwarded(group_id {1}, search, work_class::Normal, start);
         },
         start,
         2},
        {"an older summary does not replace a newer one",
         {summary(1, 1, 60), summary(2, 1, 0, 50)},
         [](router &routes) {
             auto older = summary(1, 1, 0, 500);
             older.receivedAt = start - 1s;
             routes.updateSummary(older);
         },
         start,
         1},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        router routes({.region = region_id {1}}, 7);
        for (const auto &reported : row.summaries)
            routes.updateSummary(reported);
        row.prepare(routes);
        const auto chosen = routes.choose(search, work_class::Quick, row.now);
        CHECK((chosen ? number(chosen->group) : 0) == row.group);
    }
}

TEST_CASE("a second attempt uses another group and the retry budget")
{
    router routes({.region = region_id {1}, .retryRatio = 0, .retryBurst = 1}, 7);
    routes.updateSummary(summary(1, 1, 60));
    CHECK(!routes.chooseAlternative(search, work_class::Quick, group_id {1}, start));
    routes.updateSummary(summary(2, 1, 10));
    const auto second = routes.chooseAlternative(search, work_class::Quick, group_id {1}, start);
    REQUIRE(second);
    CHECK(second->group == group_id {2});
    CHECK(!routes.chooseAlternative(search, work_class::Quick, group_id {1}, start));
}

TEST_CASE("a request key selects the same group at every instance, or none")
{
    std::vector<group_id> groups = {group_id {1}, group_id {2}, group_id {3}, group_id {4}};
    router idle({.region = region_id {1}}, 7);
    router busy({.region = region_id {2}}, 8);
    for (const auto group : groups) {
        idle.updateSummary(summary(number(group), 1, 60));
        busy.updateSummary(summary(number(group), 1, 0, 900));
    }
    std::map<group_id, int> keysPerGroup;
    for (std::uint64_t key = 0; key < 4000; ++key) {
        const auto group = idle.chooseForKey(search, key, groups, start)->group;
        CHECK(group == busy.chooseForKey(search, key, groups, start)->group);
        ++keysPerGroup[group];
    }
    for (const auto group : groups)
        CHECK(keysPerGroup[group] > 900);
    // While the owner is suspected, no other group may take requests with this key.
    const auto first = idle.chooseForKey(search, 1, groups, start);
    idle.markSuspected(first->owner);
    CHECK(!idle.chooseForKey(search, 1, groups, start));
    // Removing a group moves only the keys of that group.
    const std::vector<group_id> remaining(groups.begin() + 1, groups.end());
    for (std::uint64_t key = 0; key < 400; ++key) {
        const auto before = busy.chooseForKey(search, key, groups, start)->group;
        if (before != groups.front())
            CHECK(busy.chooseForKey(search, key, remaining, start)->group == before);
    }
}
