#include "peer/membership.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace std::chrono_literals;

namespace {

std::vector<instance_ref> instances(std::uint32_t count)
{
    std::vector<instance_ref> live;
    for (std::uint32_t index = 0; index < count; ++index)
        live.push_back({instance_id {index}, 1});
    return live;
}

struct view_row
{
    std::string name;
    bool listed;
    bool receivesOurs;
    bool stopping;
    int failedCalls;
    duration sinceHeartbeat;
    instance_state expected;
};

} // namespace

TEST_CASE("the state of an instance follows from list, heartbeats and calls")
{
    const std::vector<view_row> rows = {
        {"heartbeats in both directions", true, true, false, 0, 0ms, instance_state::Live},
        {"does not receive our heartbeats", true, false, false, 0, 0ms, instance_state::OneWay},
        {"three failed calls", true, true, false, 3, 0ms, instance_state::OneWay},
        {"one failed call is tolerated", true, true, false, 1, 0ms, instance_state::Live},
        {"reports that it is stopping", true, true, true, 0, 0ms, instance_state::Stopping},
        {"no heartbeat, listed", true, true, false, 0, 2s, instance_state::Suspect},
        {"no heartbeat, not listed", false, true, false, 0, 2s, instance_state::Gone},
        {"new, not listed yet", false, true, false, 0, 0ms, instance_state::Live},
    };
    const instance_ref self {instance_id {0}, 1};
    const instance_ref peer {instance_id {1}, 1};
    for (const auto &row : rows) {
        CAPTURE(row.name);
        peer::membership machine(self, region_id {1}, {});
        std::vector<membership_action> actions;
        time_point now {};
        platform_list_read list {1, {}, {}};
        if (row.listed)
            list.instances.push_back({peer.instance, false});
        machine.step(list, now, actions);
        heartbeat_received heartbeat {peer, region_id {1}, 1, row.stopping, {}, {}};
        if (row.receivesOurs)
            heartbeat.recentPeers.push_back(self);
        machine.step(heartbeat, now, actions);
        for (int call = 0; call < row.failedCalls; ++call)
            machine.step(peer_call_finished {peer.instance, false}, now, actions);
        now += row.sinceHeartbeat;
        machine.step(membership_tick {}, now, actions);
        CHECK(machine.stateOf(peer.instance) == row.expected);
    }
}

TEST_CASE("removing an instance moves only the groups that it owned")
{
    const auto before = instances(8);
    auto after = before;
    after.erase(after.begin() + 3);
    std::vector<int> owned(8);
    for (std::uint32_t index = 0; index < 340; ++index) {
        const group_id group {index};
        const auto first = peer::rankCandidates(group, before).front();
        ++owned[number(first.instance)];
        if (first != before[3])
            CHECK(peer::rankCandidates(group, after).front() == first);
    }
    // The average is 42.5 groups; no instance may own more than twice as many.
    CHECK(*std::ranges::max_element(owned) <= 85);
}
