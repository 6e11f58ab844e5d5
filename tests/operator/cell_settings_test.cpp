#include "operator/cell_settings.h"

#include <doctest/doctest.h>
#include <string>

using namespace plantaingap;
using namespace plantaingap::operators;

namespace {

const std::string whole = R"({
    // As the platform fills in the template.
    "instance": "edge-1", "region": "north", "data_centre": "north-a",
    "caller_listen": "10.1.0.13:8161", "ready_listen": "10.1.0.13:8167",
    "peer_listen": "10.1.0.13:7720", "store": "10.200.1.7:8169", "advisor": "10.200.1.9:8169",
    "longest_lease": "10000ms", "longest_stop": "400ms", "stop_grace": "6s"
})";

std::string replaced(const std::string &from, const std::string &to)
{
    auto text = whole;
    text.replace(text.find(from), from.size(), to);
    return text;
}

struct fault_row
{
    const char *name;
    std::string text;
    std::vector<std::string> paths;
};

} // namespace

TEST_CASE("Settings on the platform are read whole")
{
    const auto settings = parseCellSettings("file", whole);
    REQUIRE(settings.has_value());
    CHECK(settings->instance == "edge-1");
    CHECK(settings->peerListen.port() == 7720);
    CHECK(settings->longestLease == std::chrono::milliseconds(10'000));
    CHECK(settings->longestStop == std::chrono::milliseconds(400));
    CHECK(settings->stopGrace == std::chrono::milliseconds(6'000));
    // New behaviour takes effect only where it is switched on.
    CHECK_FALSE(settings->separateInterfering);
    const auto separating = parseCellSettings(
        "file", replaced("\"stop_grace\": \"6s\"", "\"separate_interfering\": true"));
    REQUIRE(separating.has_value());
    CHECK(separating->separateInterfering);
}

TEST_CASE("All that is wrong with settings on the platform is told at once")
{
    const fault_row rows[] = {
        {"no JSON", "{", {""}},
        {"an address without a port", replaced("10.1.0.13:8161", "10.1.0.13"), {"/caller_listen"}},
        {"a store that cannot be called", replaced("10.200.1.7:8169", "10.200.1.7:0"), {"/store"}},
        {"an unknown key and a bad span",
         replaced("\"stop_grace\": \"6s\"", "\"stop_grase\": \"6s\", \"log_level\": \"loud\""),
         {"/stop_grase", "/log_level"}},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        const auto settings = parseCellSettings("file", row.text);
        REQUIRE(settings.has_error());
        std::vector<std::string> paths;
        for (const auto &one : settings.error())
            paths.push_back(one.path);
        CHECK(paths == row.paths);
    }
}
