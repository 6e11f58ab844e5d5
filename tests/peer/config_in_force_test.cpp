#include "peer/active_config.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::peer;

namespace {

constexpr instance_ref self {instance_id {1}, 1};

config_apply_requested request(std::uint64_t ticket, std::uint64_t base, time_point now)
{
    config_apply_requested event;
    event.ticket = ticket;
    event.baseVersion = base;
    event.digest = "digest-" + std::to_string(base + 1);
    event.author = "on-call";
    event.deadline = now + std::chrono::seconds(10);
    return event;
}

const write_head *writeIn(const std::vector<config_action> &actions)
{
    const auto found = std::ranges::find_if(
        actions, [](const auto &action) { return std::holds_alternative<write_head>(action); });
    return found == actions.end() ? nullptr : &std::get<write_head>(*found);
}

} // namespace

TEST_CASE("a change right after another one is written without another read of the head")
{
    const time_point start {std::chrono::hours(1)};
    struct row
    {
        std::string name;
        // Whether a read sent before the first change was written returns after it, without a head.
        bool outdatedRead;
    };
    const std::vector<row> rows = {{"no read in between", false},
                                   {"a read sent before the first change", true}};
    for (const auto &row : rows) {
        CAPTURE(row.name);
        active_config machine(self, {});
        std::vector<config_action> actions;
        machine.step(head_read {start, std::nullopt}, start, actions);
        machine.step(request(1, 0, start), start, actions);
        const auto *first = writeIn(actions);
        REQUIRE(first);
        const auto head = first->head;
        const auto write = head.recent.back().write;
        actions.clear();
        machine.step(head_written {write, write_outcome::Applied}, start, actions);
        if (row.outdatedRead)
            machine.step(head_read {start, std::nullopt}, start, actions);
        actions.clear();
        machine.step(request(2, 1, start), start, actions);
        const auto *second = writeIn(actions);
        REQUIRE(second);
        CHECK(second->head.recent.size() == 2);
        CHECK(second->head.recent.back().version == 2);
    }
}
