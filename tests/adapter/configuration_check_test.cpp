#include "platform/configuration_check.h"

#include "operator/cli.h"
#include "platform/codecs.h"
#include "temporary_folder.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <sstream>

using namespace plantaingap;
using namespace plantaingap::adapter;

namespace {

const std::string route = R"({"name":"r","host":"h","prefix":"/r/","service":"s"})";
const std::string service = R"({"name":"s","spare":false,"max_conns":64})";
const std::string tenant =
    R"({"name":"a","api_keys":["KEY-ONE","KEY-TWO"],"priority":1,"weight":54,)"
    R"("max_count":{"cpu":6405683,"mem_mb":11578325,"gpus":0}})";

// Each list stands on a line of its own: routes on line 2, services on line 3, tenants on line 4.
std::string document(const std::string &routes = route, const std::string &services = service,
                     const std::string &tenants = "[" + tenant + "]",
                     const std::string &rest = R"("limits":{"body_bytes":1000})")
{
    return "{\"version\":7,\n\"routes\":[" + routes + "],\n\"services\":[" + services
           + "],\n\"tenants\":" + tenants + ",\n" + rest + "}\n";
}

std::string withRoute(const std::string &fields)
{
    return document(R"({"name":"r","host":"h","prefix":"/r/","service":"s",)" + fields + "}");
}

std::string withTenant(const std::string &fields)
{
    return document(route, service, R"([{"name":"a",)" + fields + "}]");
}

std::string findingText(const cell_finding &finding)
{
    return std::string(finding.level == cell_finding_level::Error ? "error" : "warning") + " "
           + std::to_string(finding.line) + " " + finding.entry + ": " + finding.message;
}

std::vector<std::string> findingTexts(const std::string &text)
{
    std::vector<std::string> texts;
    for (const auto &finding : checkConfiguration({"file", text}, {}).findings) {
        CHECK(finding.file == "file");
        texts.push_back(findingText(finding));
    }
    return texts;
}

bool hasErrors(const cell_check_report &report)
{
    return std::ranges::count(report.findings, cell_finding_level::Error, &cell_finding::level) > 0;
}

struct reading_row
{
    const char *name;
    std::string text;
    std::vector<std::string> findings;
};

struct command_row
{
    const char *name;
    std::string text;
    // The version in force; not given if empty.
    std::string inForce;
    operators::exit_code code;
    std::vector<std::string> told;
};

std::string hexadecimal(const jobs::key_digest &digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const auto byte : digest.bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

} // namespace

// Guards against entries that instances drop or replace by a default without a message.
TEST_CASE("What instances cannot read is told with its line")
{
    const reading_row rows[] = {
        {"a sound configuration", document(), {}},
        {"fields that are known but not read",
         withRoute(R"("type":"non_idempotent","timeout_ms":3000)"),
         {}},
        {"a route without a host",
         document(R"({"name":"r","prefix":"/r/","service":"s"})"),
         {R"(warning 2 queue r: "host" is missing)",
          "warning 2 queue 1: it cannot be read and is left out"}},
        {"a route that is no object",
         document(route + ",\n5"),
         {"warning 3 queue 2: it is a whole number, not an object",
          "warning 3 queue 2: it cannot be read and is left out"}},
        {"an optional field of another type",
         withRoute("\n\"priority\":\"high\""),
         {R"(warning 3 queue r: "priority" is a string, not a number; the default is used)"}},
        {"a negative priority",
         withRoute(R"("priority":-1)"),
         {R"(warning 2 queue r: "priority" is out of range)"}},
        {"no attempts",
         withRoute(R"("attempts":0)"),
         {R"(warning 2 queue r: "attempts" is out of range)"}},
        {"a number that is too large",
         withRoute(R"("slo_ms":1e16)"),
         {R"(warning 2 queue r: "slo_ms" is out of range; the default is used)"}},
        {"an advisor that is no object",
         withRoute(R"("placement_advisor":[])"),
         {R"(warning 2 queue r: "placement_advisor" is a list, not an object; the default is used)"}},
        {"a field of an advisor",
         withRoute(R"("placement_advisor":{"decide_ms":1,"each_ms":"1","valid_ms":50})"),
         {R"(warning 2 queue r: "each_ms" is a string, not a number; the default is used)"}},
        {"a queue that is open in words",
         withRoute(R"("public":"false")"),
         {R"(warning 2 queue r: "public" is a string, not a boolean; the default is used)"}},
        {"a field that is declared twice",
         withRoute(R"("attempts":2,"attempts":3)"),
         {R"(warning 2 queue r: "attempts" is declared twice; the last value is used)"}},
        {"an unknown field of several routes",
         document(R"({"name":"r","host":"h","prefix":"/r/","service":"s","retries":1},)"
                  R"({"name":"q","host":"h","prefix":"/q/","service":"s","retries":1})"),
         {R"(warning 2 queue r: "retries" is unknown and ignored, here and in 1 other entries)"}},
        {"a service that is not declared",
         document(route, R"({"name":"t"})"),
         {"warning 2 queue r: its service s is not declared"}},
        {"a service that is no object",
         document(route, service + ",\"t\""),
         {"warning 3 service 2: it is a string, not an object"}},
        {"limits that are no object",
         document(route, service, "[" + tenant + "]", R"("limits":5)"),
         {R"(warning 5 configuration: "limits" is a whole number, not an object; the default is used)"}},
        {"an unknown field of the whole",
         document(route, service, "[" + tenant + "]", R"("colour":5)"),
         {R"(warning 5 configuration: "colour" is unknown and ignored)"}},
        {"workspaces that are no list",
         document(route, service, "{}"),
         {R"(error 4 configuration: "tenants" is an object, not a list)",
          "error 4 workspaces: it cannot be read"}},
        {"an empty list of workspaces",
         document(route, service, "[]"),
         {"warning 4 workspaces: the list is empty, so that no request needs a key"}},
        {"keys that are no list",
         withTenant(R"("weight":1,"api_keys":{"KEY-ONE":1})"),
         {R"(error 4 workspace a: "api_keys" is an object, not a list)",
          "error 4 workspace a: it cannot be read",
          "warning 4 workspace a: it has no key, so that no caller can use it"}},
        {"a key that is no string",
         withTenant(R"("weight":1,"api_keys":["KEY-ONE",5])"),
         {"error 4 workspace a: key 2 is a whole number, not a string",
          "error 4 workspace a: it cannot be read"}},
        {"an empty key",
         withTenant(R"("weight":1,"api_keys":["KEY-ONE",""])"),
         {"error 4 workspace a: key 2 is empty", "error 4 workspace a: it cannot be read"}},
        {"a weight that is no number",
         withTenant(R"("weight":"1","api_keys":["KEY-ONE"])"),
         {R"(error 4 workspace a: "weight" is a string, not a number)",
          "error 4 workspace a: it cannot be read",
          "warning 4 workspace a: its weight is 0, so that all of its jobs are beyond its share"}},
        {"a limit that is no number",
         withTenant(R"("weight":1,"api_keys":["KEY-ONE"],"max_count":{"cpu":"5"})"),
         {R"(error 4 workspace a: "cpu" is a string, not a number)",
          "error 4 workspace a: it cannot be read"}},
        {"no version",
         R"({"routes":[],"services":[]})",
         {R"(error 1 configuration: "version" is missing)"}},
        {"a negative version",
         R"({"version":-1,"routes":[],"services":[]})",
         {R"(error 1 configuration: "version" is out of range)"}},
        {"no routes",
         R"({"version":1,"services":[]})",
         {R"(error 1 configuration: "routes" is missing)"}},
        {"no object", "[]", {"error 1 configuration: it is a list, not an object"}},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        CHECK(findingTexts(row.text) == row.findings);
    }
}

// Guards against a check that accepts more than the instances' parser, such as comments.
TEST_CASE("A text that instances cannot parse has one error with its line")
{
    struct row
    {
        const char *name;
        std::string text;
        int line;
    };
    const row rows[] = {
        {"an empty file", "", 1},
        {"no JSON", "version 7", 1},
        {"a missing comma", "{\"version\":7\n\"routes\":[]}", 2},
        {"a comment", "{\"version\":7,\n\"routes\":[], // none\n\"services\":[]}", 2},
        {"a trailing comma", "{\"version\":7,\n\"routes\":[],\n\"services\":[],\n}", 4},
        {"a text that ends early", "{\"version\":7,\n\"routes\":[", 2},
        {"more after the end", document() + "\n}", 7},
        {"a key that is cut off", "{\"tenants\":[{\"api_keys\":[\"KEY-ONE\n\"]}]}", 1},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        const auto report = checkConfiguration({"file", row.text}, {});
        REQUIRE(report.findings.size() == 1);
        CHECK(report.findings[0].level == cell_finding_level::Error);
        CHECK(report.findings[0].line == row.line);
        CHECK(report.findings[0].message.find("KEY") == std::string::npos);
        CHECK_FALSE(decodeConfiguration(row.text).has_value());
    }
}

// Guards against wrong exit codes, and against a key or its digest in any output.
TEST_CASE("The command check-cell tells findings and differences, but no key")
{
    using operators::exit_code;
    const auto next = document(route, service,
                               R"([{"name":"a","api_keys":["KEY-TWO","KEY-THREE"],"weight":5},)"
                               R"({"name":"b","api_keys":["KEY-FOUR"],"weight":5}])");
    const auto lower = "{\"version\":6" + document().substr(document().find(','));
    const auto higher = "{\"version\":8" + next.substr(next.find(','));
    const command_row rows[] = {
        {"sound", document(), "", exit_code::Ok, {"sound, 0 warnings"}},
        {"warnings only", withRoute(R"("colour":1)"), "", exit_code::Ok, {"colour"}},
        {"a key of two workspaces",
         document(route, service,
                  R"([{"name":"a","api_keys":["KEY-ONE"],"weight":5},)"
                  R"({"name":"b","api_keys":["KEY-FOUR","KEY-ONE"],"weight":5}])"),
         "",
         exit_code::Findings,
         {"workspace b", "key 2 is also a key of workspace a"}},
        {"keys in a wrong place",
         withTenant(R"("weight":1,"api_keys":{"KEY-ONE":["KEY-TWO"]})"),
         "",
         exit_code::Findings,
         {"api_keys"}},
        {"no JSON", "{\"tenants\":[\"KEY-ONE\" \"KEY-TWO\"]}", "", exit_code::Findings, {"JSON"}},
        {"the version in force itself", document(), document(), exit_code::Ok, {}},
        {"changes of keys",
         higher,
         document(),
         exit_code::Ok,
         {"key 1", "key 2", "workspace b", "weight"}},
        {"other content under the same version", next, document(), exit_code::Ok, {"the same"}},
        {"a lower version", lower, document(), exit_code::Findings, {"it is lower"}},
        {"a version in force that is no configuration",
         document(),
         "{}",
         exit_code::Findings,
         {"it is not a configuration"}},
        {"a version in force with an unreadable workspace",
         document(),
         withTenant(R"("weight":1,"api_keys":["KEY-ONE",5])"),
         exit_code::Ok,
         {"it cannot be read and is not compared in full"}},
    };
    const temporary_folder folder;
    for (const auto &row : rows) {
        for (const std::string format : {"table", "json"}) {
            CAPTURE(std::string(row.name));
            CAPTURE(format);
            std::vector<std::string> arguments {"check-cell", folder.write("cell.json", row.text),
                                                "--output", format};
            if (!row.inForce.empty()) {
                arguments.emplace_back("--in-force");
                arguments.push_back(folder.write("in-force.json", row.inForce));
            }
            std::ostringstream out;
            std::ostringstream err;
            CHECK(operators::runCommandLine(arguments, out, err, checkConfiguration) == row.code);
            const auto told = out.str() + err.str();
            CAPTURE(told);
            if (format == "table") {
                for (const auto &part : row.told)
                    CHECK(told.find(part) != std::string::npos);
            }
            for (const std::string key : {"KEY-ONE", "KEY-TWO", "KEY-THREE", "KEY-FOUR"}) {
                const auto digest = jobs::digestOfKey(key);
                const std::string bytes(digest.bytes.begin(), digest.bytes.end());
                // A prefix would still identify the key among those of the configuration.
                constexpr std::size_t prefix = 8;
                CHECK(told.find(key) == std::string::npos);
                CHECK(told.find(hexadecimal(digest).substr(0, prefix)) == std::string::npos);
                CHECK(told.find(encodeBase64(bytes).substr(0, prefix)) == std::string::npos);
            }
        }
    }
}

// Guards against a check that calls a configuration sound which instances refuse, whatever is wrong
// with it.
TEST_CASE("A configuration without errors is one that instances read")
{
    std::mt19937 random(17);
    constexpr int rounds = 20'000;
    const auto full = document(
        R"({"name":"r","host":"h","prefix":"/r/","service":"s","priority":1,"stretch":2.5,)"
        R"("slo_ms":5,"placement_advisor":{"decide_ms":1,"each_ms":2,"valid_ms":9}})");
    const std::string characters = "{}[]\",:0129.-e \nnulltruefalse";
    int sound = 0;
    for (int i = 0; i < rounds; ++i) {
        auto text = full;
        const auto mutations = random() % 3;
        for (unsigned m = 0; m < mutations; ++m) {
            const auto position = random() % text.size();
            if (random() % 2 == 0)
                text.erase(position, random() % 4);
            else
                text[position] = characters[random() % characters.size()];
        }
        const auto report = checkConfiguration({"file", text}, named_text {"in-force", full});
        if (hasErrors(report))
            continue;
        ++sound;
        const auto configuration = decodeConfiguration(text);
        CAPTURE(text);
        REQUIRE(configuration);
        CHECK(configuration->unreadable.empty());
    }
    CHECK(sound > rounds / 10);
}
