#include "operator/configuration_set.h"

#include "operator/document_values.h"
#include "operator/findings_text.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::operators;

namespace {

struct refused_row
{
    std::string name;
    std::vector<set_file> files;
    std::vector<std::string> findings;
};

const std::string oneTeam = R"({"teams": [{"name": "t", "quota": {"processors": 1}}]})";
const std::string oneRack = R"({"worker_classes": [{"name": "w", "workers": 16,
 "each": {"processors": 16, "memory": "32GiB"}}]})";

std::string job(const std::string &members)
{
    return R"({"jobs": [{"name": "j", "team": "t", )" + members + "}]}";
}

} // namespace

TEST_CASE("a bad set is refused with everything that is wrong with it")
{
    const std::vector<refused_row> rows = {
        {"a misspelt key gets the nearest name",
         {{"a", "{\"services\": [{\"name\": \"s\",\n\"slot_per_worker\": 3}]}"}},
         {"a:2 /services/0/slot_per_worker unknown key (did you mean 'slots_per_worker'?)"}},
        {"a far-off key gets no hint", {{"a", "{\"colour\": 1}"}}, {"a:1 /colour unknown key"}},
        {"all findings of all files come together",
         {{"a", "{\"services\": [{\n\"queue_limit\": \"many\",\n\"deadline\": \"2 s\"}]}"},
          {"b", "{\"teams\": 7}"}},
         {"a:1 /services/0 key 'name' is missing",
          "a:2 /services/0/queue_limit must be a whole number, not a string",
          "a:3 /services/0/deadline '2 s' is no duration: a whole number with ms, s, m or h",
          "b:1 /teams must be a list, not a whole number"}},
        {"a contradiction is told beside a misspelt key elsewhere",
         {{"a", R"({"services": [{"name": "x", "slots_per_worker": 65}, {"name": "y", "z": 1}]})"}},
         {"a:1 /services/1/z unknown key",
          "a:1 /services/0/slots_per_worker 65 slots need as many connections, there are 64"}},
        {"a key that stands twice",
         {{"a", "{\"groups\": \"rack\",\n\"groups\": \"rack\"}"}},
         {"a:2 /groups key stands twice, first in line 1"}},
        {"a value out of bounds",
         {{"a", R"({"services": [{"name": "s", "slots_per_worker": 0}]})"}},
         {"a:1 /services/0/slots_per_worker must be at least 1"}},
        {"an unknown class of work",
         {{"a", R"({"services": [{"name": "s", "kinds": [{"name": "k", "class": "quik"}]}]})"}},
         {"a:1 /services/0/kinds/0/class 'quik' is none of quick, normal, long (did you mean "
          "'quick'?)"}},
        {"a hint longer than the deadline",
         {{"a", R"({"services": [{"name": "s", "kinds": [{"name": "k", "deadline": "1s",
 "expected": "2s"}]}]})"}},
         {"a:2 /services/0/kinds/0/expected expected to run 2s, longer than the deadline 1s"}},
        {"a size without its unit",
         {{"a", R"({"teams": [{"name": "t", "quota": {"memory": "12GB"}}]})"}},
         {"a:1 /teams/0/quota/memory '12GB' is no size: a whole number with MiB, GiB or TiB"}},
        {"a name that cannot stand in a path",
         {{"a", R"({"services": [{"name": "a/b"}]})"}},
         {"a:1 /services/0/name 'a/b' is no name: lower-case letters, digits, '-', '_' and '.', at "
          "most 63, the first a letter or digit"}},
        {"one name in two files",
         {{"a", oneTeam}, {"b", "\n" + oneTeam}},
         {"b:2 /teams/0/name declared twice, first at a:1"}},
        {"the rule of groups in two files",
         {{"a", R"({"groups": "rack"})"}, {"b", R"({"groups": "rack"})"}},
         {"b:1 /groups declared twice, first at a:1"}},
        {"a quota larger than the cell",
         {{"a", oneRack}, {"b", R"({"teams": [{"name": "t", "quota": {"accelerators": 1}}]})"}},
         {"b:1 /teams/0/quota more than the cell holds (256.000000 cores, 512GiB, 0 "
          "accelerators)"}},
        {"a job of an unknown team",
         {{"a", oneTeam},
          {"b",
           R"({"jobs": [{"name": "j", "kind": "batch", "team": "tt", "each": {"processors": 1}}]})"}},
         {"b:1 /jobs/0/team no team 'tt' (did you mean 't'?)"}},
        {"a task larger than any worker",
         {{"a", oneRack},
          {"b", oneTeam},
          {"c", job(R"("kind": "batch", "each": {"processors": 17})")}},
         {"c:1 /jobs/0/each no worker is large enough for one task"}},
        {"an all-or-nothing job larger than any group",
         {{"a", oneRack},
          {"b", oneTeam},
          {"c", job(R"("kind": "all_or_nothing", "tasks": 17, "each": {"processors": 8})")}},
         {"c:1 /jobs/0/tasks no group holds 17 such tasks at once, at most 16"}},
        {"an all-or-nothing job spread over more workers than a group has",
         {{"a", oneRack},
          {"b", oneTeam},
          {"c",
           job(R"("kind": "all_or_nothing", "tasks": 9, "spread": "workers", "each": {"processors": 1})")}},
         {"c:1 /jobs/0/tasks no group holds 9 such tasks at once, at most 8"}},
        {"a task that takes nothing and a start time that is none",
         {{"a", oneTeam},
          {"b",
           job(R"("kind": "batch", "start_by": "2026-02-31T00:00:00Z", "each": {"memory": 1})")}},
         {"b:1 /jobs/0/each/memory must be a string, not a whole number",
          "b:1 /jobs/0/start_by '2026-02-31T00:00:00Z' is no time: write 2026-12-04T06:00:00Z"}},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        const auto set = readSet(row.files);
        REQUIRE(set.has_error());
        CHECK(joined(findingTexts(set.error())) == joined(row.findings));
    }
}

TEST_CASE("the examples are sound and survive the canonical text")
{
    for (const std::string folder : {"registry", "workshop"}) {
        CAPTURE(folder);
        const auto set = loadSet(std::string(PLANTAINGAP_SOURCE) + "/examples/" + folder);
        if (set.has_error())
            CHECK(joined(findingTexts(set.error())).empty());
        REQUIRE(set.has_value());
        const auto again = parseSet("canonical", canonicalText(set->declared));
        REQUIRE(again.has_value());
        CHECK(again->declared == set->declared);
        CHECK(again->digest == set->digest);
    }
}

TEST_CASE("comments, order and files do not change the digest, declarations do")
{
    const auto one = readSet({{"a", oneTeam}, {"b", oneRack}});
    const auto two = readSet({{"b", "// comment\n" + oneRack}, {"c", oneTeam}});
    const auto three = readSet({{"a", oneTeam}});
    REQUIRE((one && two && three));
    CHECK(one->digest == two->digest);
    CHECK(one->digest != three->digest);
    CHECK(one->digest.size() == 64);
}

TEST_CASE("a folder that cannot be read or holds nothing is a finding")
{
    for (const std::string folder : {"examples", "no-such-folder"}) {
        CAPTURE(folder);
        const auto set = loadSet(std::string(PLANTAINGAP_SOURCE) + "/examples/" + folder);
        REQUIRE(set.has_error());
        CHECK(set.error().size() == 1);
    }
}

TEST_CASE("values with units are written as they are read")
{
    for (const std::string text : {"0ms", "1ms", "250ms", "2s", "90s", "5m", "24h"})
        CHECK(formatDuration(parseDuration(text).value()) == text);
    for (const std::string text : {"0MiB", "1MiB", "1536MiB", "128GiB", "2TiB"})
        CHECK(formatMemory(parseMemory(text).value()) == text);
    for (const std::string text :
         {"", "s", "1", "-1s", "1 s", "1.5s", "99999999999999999h", "1S"}) {
        CAPTURE(text);
        CHECK(!parseDuration(text));
    }
    CHECK(formatWallTime(parseWallTime("2026-12-04T06:00:00Z").value()) == "2026-12-04T06:00:00Z");
}
