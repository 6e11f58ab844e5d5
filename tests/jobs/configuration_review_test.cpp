#include "jobs/workspaces/configuration_review.h"

#include <doctest/doctest.h>
#include <limits>

using namespace plantaingap;
using namespace plantaingap::jobs;
using std::chrono::microseconds;

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
TEST_CASE("Each finding about a configuration names its entry")
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
        {"a queue that could not be read", [](auto &c) { c.ignored = {"queue 3"}; },
         finding_level::Warning, "queue 3", "left out"},
        {"a prefix without its slash", [](auto &c) { c.queues[1].prefix = "q2/"; },
         finding_level::Warning, "queue q2", "no path begins with its prefix"},
        {"an empty prefix", [](auto &c) { c.queues[1].prefix = ""; }, finding_level::Warning,
         "queue q2", "no path begins with its prefix"},
        {"a prefix with a query", [](auto &c) { c.queues[1].prefix = "/q2?x="; },
         finding_level::Warning, "queue q2", "no path begins with its prefix"},
        {"a host with its port", [](auto &c) { c.queues[1].host = "host:80"; },
         finding_level::Warning, "queue q2", "without their port"},
        {"no attempt", [](auto &c) { c.queues[0].attempts = 0; }, finding_level::Warning,
         "queue q1", "no attempt"},
        {"a stretch below 1 without slack",
         [](auto &c) {
             c.queues[0].stretch = 0.9;
             c.queues[0].slack = milliseconds(0);
         },
         finding_level::Warning, "queue q1", "below 1 without slack"},
        {"tickets that expire during the call",
         [](auto &c) {
             c.queues[0].advisor = {microseconds(450'000), microseconds(50'000), milliseconds(500)};
         },
         finding_level::Warning, "queue q1", "tickets expire"},
        {"an advisor with a negative duration",
         [](auto &c) {
             c.queues[0].advisor = {microseconds(-1), microseconds(0), milliseconds(500)};
         },
         finding_level::Warning, "queue q1", "negative"},
        {"an objective shorter than the advisor's call",
         [](auto &c) {
             c.queues[0].stretch = 0.5;
             c.queues[0].slack = milliseconds(100);
             c.queues[0].advisor = {microseconds(300'000), microseconds(0), milliseconds(500)};
         },
         finding_level::Warning, "queue q1", "shorter than its advisor's own call"},
        {"a limit that holds no task", [](auto &c) { c.workspaces[0].limit.milliCores = 6; },
         finding_level::Warning, "workspace a",
         "limit of cores is smaller than a usual task, so that one task runs at a time and its "
         "limit of memory cannot be used"},
        {"a weight that others make meaningless", [](auto &c) { c.workspaces[1].weight = 0.004; },
         finding_level::Warning, "workspace b", "below a thousandth"},
        {"keys that no queue needs", [](auto &c) { c.queues[0].open = c.queues[1].open = true; },
         finding_level::Warning, "workspaces", "every queue is open"},
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

// Guards against warnings about configurations that work: an operator would learn to ignore them.
TEST_CASE("Unusual entries that work have no finding")
{
    struct row
    {
        const char *name;
        void (*change)(cell_configuration &);
    };
    const row rows[] = {
        {"one prefix on two hosts",
         [](auto &c) { c.queues[1] = {"q2", "other", "/q1/", "service", 1, 3, 2.0, {}, {}}; }},
        {"a prefix within another", [](auto &c) { c.queues[1].prefix = "/q1/more/"; }},
        {"a stretch below 1 with slack", [](auto &c) { c.queues[0].stretch = 0.5; }},
        {"no slack with a stretch", [](auto &c) { c.queues[0].slack = milliseconds(0); }},
        {"an advisor whose tickets outlive its call",
         [](auto &c) {
             c.queues[0].advisor = {microseconds(450'000), microseconds(6'400), milliseconds(457)};
         }},
        {"one open queue beside another", [](auto &c) { c.queues[0].open = true; }},
        {"a limit of a tenth of a core", [](auto &c) { c.workspaces[0].limit.milliCores = 100; }},
        {"no limit of cores", [](auto &c) { c.workspaces[0].limit.milliCores = 0; }},
        {"a weight of a thousandth", [](auto &c) { c.workspaces[1].weight = 0.0051; }},
        {"no workspaces", [](auto &c) { c.workspaces.clear(); }},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        auto configuration = sound();
        row.change(configuration);
        for (const auto &finding : reviewConfiguration(configuration))
            FAIL_CHECK(finding.entry, ": ", finding.message);
    }
}
