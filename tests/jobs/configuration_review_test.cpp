#include "jobs/workspaces/configuration_review.h"

#include <doctest/doctest.h>
#include <limits>

using namespace plantaingap;
using namespace plantaingap::jobs;

namespace {

cell_configuration sound()
{
    cell_configuration configuration;
    configuration.version = 3;
    configuration.queues = {{"q1", "host", "/q1/", "service", 0, 3, 2.0, milliseconds(600), {}},
                            {"q2", "host", "/q2/", "service", 1, 3, 2.0, milliseconds(600), {}}};
    configuration.workspaces = {{"a", {digestOfKey("k1"), digestOfKey("k2")}, 5, {1000, 2000, 0}},
                                {"b", {digestOfKey("k3")}, 1, {}}};
    configuration.spareServices = {"spare"};
    return configuration;
}

struct review_row
{
    const char *name;
    void (*change)(cell_configuration &);
    finding_level level;
    std::string entry;
    // A part of the message.
    std::string message;
};

constexpr double notANumber = std::numeric_limits<double>::quiet_NaN();

} // namespace

// Guards against a configuration that takes effect although an operator cannot have meant it.
TEST_CASE("What is wrong with a configuration is told by entry")
{
    for (const auto &finding : reviewConfiguration(sound()))
        FAIL_CHECK(finding.entry, ": ", finding.message);
    const review_row rows[] = {
        {"the same key in two workspaces",
         [](auto &c) { c.workspaces[1].keys.push_back(digestOfKey("k2")); }, finding_level::Error,
         "workspace b", "key 2 is also a key of workspace a"},
        {"the same key twice in one",
         [](auto &c) { c.workspaces[0].keys.push_back(digestOfKey("k1")); }, finding_level::Warning,
         "workspace a", "key 3 is declared twice"},
        {"two workspaces of one name", [](auto &c) { c.workspaces[1].name = "a"; },
         finding_level::Error, "workspace a", "declared twice"},
        {"a negative limit", [](auto &c) { c.workspaces[0].limit.memoryMib = -1; },
         finding_level::Error, "workspace a", "memory is negative"},
        {"a limit that overflows sums",
         [](auto &c) {
             c.workspaces[1].limit.milliCores = std::numeric_limits<std::int64_t>::max();
         },
         finding_level::Error, "workspace b", "cores is out of range"},
        {"a negative weight", [](auto &c) { c.workspaces[0].weight = -1; }, finding_level::Error,
         "workspace a", "weight is out of range"},
        {"a weight that is no number", [](auto &c) { c.workspaces[0].weight = notANumber; },
         finding_level::Error, "workspace a", "weight is out of range"},
        {"no weight", [](auto &c) { c.workspaces[0].weight = 0; }, finding_level::Warning,
         "workspace a", "beyond its share"},
        {"no key", [](auto &c) { c.workspaces[1].keys.clear(); }, finding_level::Warning,
         "workspace b", "no key"},
        {"an entry that could not be read", [](auto &c) { c.unreadable = {"workspace 3"}; },
         finding_level::Error, "workspace 3", "cannot be read"},
        {"a queue behind another", [](auto &c) { c.queues[1].prefix = "/q1/"; },
         finding_level::Warning, "queue q2", "never matches: queue q1"},
        {"two queues of one name", [](auto &c) { c.queues[1].name = "q1"; }, finding_level::Warning,
         "queue q1", "declared twice"},
        {"a queue of a spare service", [](auto &c) { c.queues[0].service = "spare"; },
         finding_level::Warning, "queue q1", "spare"},
        {"an objective that no job can meet", [](auto &c) { c.queues[0].stretch = 0; },
         finding_level::Warning, "queue q1", "stretch"},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        auto configuration = sound();
        row.change(configuration);
        const auto findings = reviewConfiguration(configuration);
        REQUIRE(findings.size() == 1);
        CHECK(findings[0].level == row.level);
        CHECK(findings[0].entry == row.entry);
        CHECK(findings[0].message.find(row.message) != std::string::npos);
        CHECK(hasErrors(findings) == (row.level == finding_level::Error));
    }
}
