#include "platform/row_codec.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::platform;

namespace {

constexpr instance_ref first {instance_id {1}, 10};
constexpr instance_ref second {instance_id {2}, 20};

const config_change change {4, "d1", "an operator", {"/services/0"}, {first, 3}};

} // namespace

TEST_CASE("rows survive a JSON round trip")
{
    const group_row row {9, first, {second}, {second, first}, {first, 7}};
    CHECK(groupRowFrom(groupRowText(row), 9) == row);

    const config_head head {{change, change}};
    const auto readHead = configHeadFrom(configHeadText(head));
    REQUIRE(readHead);
    CHECK(readHead->recent == head.recent);

    const config_audit_entry entry {change, 3, errc::VersionConflict};
    const auto readEntry = auditFrom(auditText(entry));
    REQUIRE(readEntry);
    CHECK(readEntry->change == change);
    CHECK(readEntry->baseVersion == 3);
    CHECK(readEntry->outcome == errc::VersionConflict);
}

TEST_CASE("a text that is no valid row reads as nothing")
{
    const std::vector<std::string> rows = {"", "{}", "[]", "no JSON",
                                           R"({"owner":{"instance":1,"incarnation":"x"}})"};
    for (const auto &text : rows) {
        CAPTURE(text);
        CHECK(!groupRowFrom(text, 1));
        CHECK(!configHeadFrom(text));
        CHECK(!auditFrom(text));
    }
}
