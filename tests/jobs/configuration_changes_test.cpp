#include "jobs/workspaces/configuration_changes.h"

#include <doctest/doctest.h>
#include <limits>

using namespace plantaingap;
using namespace plantaingap::jobs;
using std::chrono::microseconds;
using kind = configuration_change_kind;

namespace {

cell_configuration inForce()
{
    cell_configuration configuration;
    configuration.version = 3;
    configuration.queues = {
        {"q1", "host", "/q1/", "service", 0, 3, 2.0, milliseconds(600), {}},
        {"q2", "host", "/q2/", "service", 1, 3, 2.0, milliseconds(600),
         advisor_cost {microseconds(450'000), microseconds(6'400), milliseconds(1'500)}}};
    configuration.workspaces = {{"a", {digestOfKey("k1"), digestOfKey("k2")}, 5, {1000, 2000, 0}},
                                {"b", {digestOfKey("k3")}, 1, {}}};
    configuration.spareServices = {"spare"};
    configuration.connectionLimits = {{"service", 64}, {"spare", 16}};
    return configuration;
}

struct change_row
{
    const char *name;
    void (*change)(cell_configuration &);
    std::vector<configuration_change> expected;
};

struct version_row
{
    const char *name;
    void (*change)(cell_configuration &);
    std::vector<finding_level> expected;
};

} // namespace

// Guards against a difference that an operator does not see before the configuration takes effect,
// and against a key that is told by more than its number.
TEST_CASE("Differences from the version in force are told by entry and field")
{
    const change_row rows[] = {
        {"nothing", [](auto &) {}, {}},
        {"the version",
         [](auto &c) { c.version = 4; },
         {{kind::Changed, "configuration", "version", "3", "4"}}},
        {"a new queue",
         [](auto &c) {
             c.queues.push_back({"q3", "host", "/q3/", "service", 0, 1, 1.0, {}, {}});
         },
         {{kind::Added, "queue q3", "", "", ""}}},
        {"a removed queue",
         [](auto &c) { c.queues.erase(c.queues.begin()); },
         {{kind::Removed, "queue q1", "", "", ""}}},
        {"a renamed queue",
         [](auto &c) { c.queues[0].name = "q0"; },
         {{kind::Added, "queue q0", "", "", ""}, {kind::Removed, "queue q1", "", "", ""}}},
        {"another order", [](auto &c) { std::swap(c.queues[0], c.queues[1]); }, {}},
        {"a second queue of a name",
         [](auto &c) { c.queues.push_back(c.queues[0]); },
         {{kind::Added, "queue q1 (2)", "", "", ""}}},
        {"each field of a queue",
         [](auto &c) {
             c.queues[0] = {"q1", "i", "/r/", "t", 2, 4, 2.5, milliseconds(7), {}, true};
         },
         {{kind::Changed, "queue q1", "host", "host", "i"},
          {kind::Changed, "queue q1", "prefix", "/q1/", "/r/"},
          {kind::Changed, "queue q1", "service", "service", "t"},
          {kind::Changed, "queue q1", "priority", "0", "2"},
          {kind::Changed, "queue q1", "attempts", "3", "4"},
          {kind::Changed, "queue q1", "stretch", "2", "2.5"},
          {kind::Changed, "queue q1", "slack", "600ms", "7ms"},
          {kind::Changed, "queue q1", "open", "false", "true"}}},
        {"each field of an advisor",
         [](auto &c) {
             c.queues[1].advisor = {microseconds(1'000), microseconds(1), milliseconds(2)};
         },
         {{kind::Changed, "queue q2", "advisor per call", "450ms", "1ms"},
          {kind::Changed, "queue q2", "advisor per worker", "6.4ms", "0.001ms"},
          {kind::Changed, "queue q2", "advisor validity", "1500ms", "2ms"}}},
        {"a new advisor",
         [](auto &c) { c.queues[0].advisor = c.queues[1].advisor; },
         {{kind::Added, "queue q1", "advisor", "", ""}}},
        {"a removed advisor",
         [](auto &c) { c.queues[1].advisor.reset(); },
         {{kind::Removed, "queue q2", "advisor", "", ""}}},
        {"a new workspace",
         [](auto &c) {
             c.workspaces.push_back({"c", {digestOfKey("k4")}, 1, {}});
         },
         {{kind::Added, "workspace c", "", "", ""}}},
        {"a removed workspace",
         [](auto &c) { c.workspaces.pop_back(); },
         {{kind::Removed, "workspace b", "", "", ""}}},
        {"the last workspaces",
         [](auto &c) { c.workspaces.clear(); },
         {{kind::Changed, "configuration", "keys needed", "true", "false"},
          {kind::Removed, "workspace a", "", "", ""},
          {kind::Removed, "workspace b", "", "", ""}}},
        {"an added key",
         [](auto &c) { c.workspaces[0].keys.push_back(digestOfKey("k4")); },
         {{kind::Added, "workspace a", "key 3", "", ""}}},
        {"a removed key",
         [](auto &c) { c.workspaces[0].keys.pop_back(); },
         {{kind::Removed, "workspace a", "key 2", "", ""}}},
        {"a replaced key",
         [](auto &c) { c.workspaces[0].keys[1] = digestOfKey("k4"); },
         {{kind::Added, "workspace a", "key 2", "", ""},
          {kind::Removed, "workspace a", "key 2", "", ""}}},
        {"keys in another order",
         [](auto &c) { std::swap(c.workspaces[0].keys[0], c.workspaces[0].keys[1]); },
         {}},
        {"a new key declared twice",
         [](auto &c) {
             c.workspaces[1].keys.insert(c.workspaces[1].keys.end(), 2, digestOfKey("k4"));
         },
         {{kind::Added, "workspace b", "key 2", "", ""}}},
        {"a key that moves",
         [](auto &c) {
             c.workspaces[1].keys.push_back(c.workspaces[0].keys.back());
             c.workspaces[0].keys.pop_back();
         },
         {{kind::Removed, "workspace a", "key 2", "", ""},
          {kind::Added, "workspace b", "key 2", "", ""}}},
        {"weight and limits",
         [](auto &c) {
             c.workspaces[0].weight = 0.1;
             c.workspaces[0].limit = {1001, 0, 4};
         },
         {{kind::Changed, "workspace a", "weight", "5", "0.1"},
          {kind::Changed, "workspace a", "limit of cores", "1000", "1001"},
          {kind::Changed, "workspace a", "limit of memory", "2000", "0"},
          {kind::Changed, "workspace a", "limit of accelerators", "0", "4"}}},
        {"services and sizes",
         [](auto &c) {
             c.spareServices = {"other"};
             c.bodyBytes = 1000;
         },
         {{kind::Changed, "configuration", "body bytes", "262144", "1000"},
          {kind::Added, "spare service other", "", "", ""},
          {kind::Removed, "spare service spare", "", "", ""}}},
        {"connections of workers",
         [](auto &c) {
             c.connectionLimits = {{"service", 32}, {"other", 8}};
         },
         {{kind::Changed, "service other", "worker connections", "", "8"},
          {kind::Changed, "service service", "worker connections", "64", "32"},
          {kind::Changed, "service spare", "worker connections", "16", ""}}},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        auto next = inForce();
        row.change(next);
        const auto changes = configurationChanges(inForce(), next);
        REQUIRE(changes.size() == row.expected.size());
        for (std::size_t i = 0; i < changes.size(); ++i) {
            CHECK(changes[i].kind == row.expected[i].kind);
            CHECK(changes[i].entry == row.expected[i].entry);
            CHECK(changes[i].field == row.expected[i].field);
            CHECK(changes[i].before == row.expected[i].before);
            CHECK(changes[i].after == row.expected[i].after);
        }
    }
}

// Guards against a configuration that is sent in vain, because instances ignore a lower version.
TEST_CASE("A version must not be lower than the one in force")
{
    const version_row rows[] = {
        {"the same configuration", [](auto &) {}, {}},
        {"a higher version", [](auto &c) { c.version = 4; }, {}},
        {"a lower version", [](auto &c) { c.version = 2; }, {finding_level::Error}},
        {"the same version with another content",
         [](auto &c) { c.queues.pop_back(); },
         {finding_level::Warning}},
        {"the highest version",
         [](auto &c) { c.version = std::numeric_limits<std::uint64_t>::max(); },
         {}},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        auto next = inForce();
        row.change(next);
        std::vector<finding_level> levels;
        for (const auto &found : reviewVersion(inForce(), next)) {
            CHECK(found.entry == "version");
            levels.push_back(found.level);
        }
        CHECK(levels == row.expected);
    }
}
