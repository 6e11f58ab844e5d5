#include "platform/codecs.h"
#include "platform/json_codec.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <string>

using namespace plantaingap;
using namespace plantaingap::adapter;
using plantaingap::jobs::run_outcome;

namespace {

const std::string fullJob =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},)"
    R"({"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000,"after":[0],"checkpoint":true,)"
    R"("gang":true,"max_per_server":3,"requires":"a"}],"times":3,"start_ms":1000,"interval_ms":50})";

const std::string fullWorkerEntry =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready",)"
    R"("cold_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpus":1},"labels":["a","r1-2"],)"
    R"("time_ms":5,"seq":4,"born":77})";

const std::string fullReport =
    R"({"time_ms":482113,"born":9,"active":[["a.0.1.17",2,"saved",41,12.5]],)"
    R"("ended":[[59,"a.0.1.8",1,"failed",""],[58,"a.0.1.9",1,"done",""]]})";

struct malformed_case
{
    const char *name;
    std::string text;
};

} // namespace

TEST_CASE("A submission is decoded field by field")
{
    const auto job = decodeSubmission(fullJob);
    REQUIRE(job);
    CHECK(job->payload == "text");
    CHECK(job->occurrences == 3);
    CHECK(job->interval == std::chrono::milliseconds(50));
    REQUIRE(job->steps.size() == 2);
    CHECK(job->steps[0].dataRack == "r1-3");
    CHECK(job->steps[0].demand == resources {500, 256, 0});
    CHECK(job->steps[1].after == std::vector<std::uint32_t> {0});
    CHECK(job->steps[1].gang);
    CHECK(job->steps[1].checkpoints);
    CHECK(job->steps[1].maxPerWorker == 3);
    CHECK(job->steps[1].label == "a");
}

TEST_CASE("Malformed submissions are rejected")
{
    const malformed_case cases[] = {
        {"empty", ""},
        {"not JSON", "{\"steps\":"},
        {"no steps", R"({"spec":"x"})"},
        {"steps of another type", R"({"spec":"x","steps":{}})"},
        {"more tasks over all steps than a record holds",
         R"({"spec":"x","steps":[{"count":2500},{"count":2500}]})"},
        {"no tasks", R"({"spec":"x","steps":[{"count":0}]})"},
        {"a negative amount", R"({"spec":"x","steps":[{"count":1,"cpu":-5}]})"},
        {"a step that depends on itself", R"({"spec":"x","steps":[{"count":1,"after":[0]}]})"},
        {"a flag of another type", R"({"spec":"x","steps":[{"count":1,"gang":1}]})"},
        {"too many tasks", R"({"spec":"x","steps":[{"count":1000000000}]})"},
    };
    for (const auto &row : cases) {
        CAPTURE(std::string(row.name));
        CHECK_FALSE(decodeSubmission(row.text).has_value());
    }
}

TEST_CASE("Worker entries are decoded, and malformed ones rejected")
{
    const auto entry = decodeWorkerEntry("i-1", fullWorkerEntry);
    REQUIRE(entry);
    CHECK(entry->id == "i-1");
    CHECK(entry->capacity == resources {16000, 32768, 1});
    CHECK(entry->labels == std::vector<std::string> {"a", "r1-2"});
    CHECK(entry->incarnationMs == 77);
    CHECK_FALSE(entry->draining);
    const malformed_case cases[] = {
        {"not UTF-8", "\xff\xfe"},
        {"nothing", ""},
        {"an array", "[]"},
        {"an unknown state", R"({"service":"s","address":"a","zone":"z","state":"odd",)"
                             R"("capacity":{"cpu":1,"mem_mb":1},"labels":[]})"},
        {"no capacity", R"({"service":"s","address":"a","zone":"z","state":"ready","labels":[]})"},
        {"a label of another type", R"({"service":"s","address":"a","zone":"z","state":"ready",)"
                                    R"("capacity":{"cpu":1,"mem_mb":1},"labels":[1]})"},
    };
    for (const auto &row : cases) {
        CAPTURE(std::string(row.name));
        CHECK_FALSE(decodeWorkerEntry("i-1", row.text).has_value());
    }
}

TEST_CASE("A worker report is decoded with its ended runs sorted by number")
{
    const auto report = decodeReport(fullReport);
    REQUIRE(report);
    CHECK(report->clockMs == 482113);
    CHECK(report->incarnationMs == 9);
    REQUIRE(report->active.size() == 1);
    CHECK(report->active[0].percent == 41);
    CHECK(report->active[0].checkpoint == "saved");
    REQUIRE(report->ended.size() == 2);
    CHECK(report->ended[0].number == 58);
    CHECK(report->ended[0].outcome == run_outcome::Done);
    CHECK(report->ended[1].outcome == run_outcome::Failed);
    for (const char *text : {"", "{}", R"({"time_ms":1,"active":[],"ended":[[1,"t",1,"odd",""]]})",
                             R"({"time_ms":1,"active":[["t"]],"ended":[]})"}) {
        CHECK_FALSE(decodeReport(text).has_value());
    }
}

TEST_CASE("A report with as many ends as fit may omit further ones")
{
    struct report_row
    {
        int ends;
        bool endsOmitted;
    };
    for (const auto &row :
         {report_row {0, false}, report_row {499, false}, report_row {500, true}}) {
        CAPTURE(row.ends);
        std::string ended;
        for (int i = 1; i <= row.ends; ++i) {
            ended += (ended.empty() ? "[" : ",[") + std::to_string(i)
                     + R"(,"00000000000000a1.0.0.0",1,"done",""])";
        }
        const auto report = decodeReport(R"({"time_ms":1,"active":[],"ended":[)" + ended + "]}");
        REQUIRE(report);
        CHECK(report->ended.size() == static_cast<std::size_t>(row.ends));
        CHECK(report->endsOmitted == row.endsOmitted);
    }
}

TEST_CASE("Order replies are decoded from status and reason")
{
    using cell::order_status;
    struct reply_case
    {
        unsigned status;
        const char *body;
        order_status expected;
    };
    for (const auto &row : {
             reply_case {200, R"({"time_ms":5})", order_status::Accepted},
             reply_case {409, R"({"time_ms":5,"reason":"fence"})", order_status::StaleTerm},
             reply_case {409, R"({"time_ms":5,"reason":"old"})", order_status::OldAttempt},
             reply_case {409, R"({"time_ms":5,"reason":"late"})", order_status::Expired},
             reply_case {409, R"({"time_ms":5,"reason":"room"})", order_status::NoCapacity},
             reply_case {409, R"({"time_ms":5,"reason":"ticket"})", order_status::InvalidTicket},
             reply_case {409, R"({"reason":"new"})", order_status::Refused},
             reply_case {421, "", order_status::OtherIncarnation},
             reply_case {503, "", order_status::WorkerUnhealthy},
             reply_case {500, "", order_status::Unknown},
         }) {
        CAPTURE(std::string(row.body));
        CHECK(decodeOrderReply(row.status, row.body).status == row.expected);
    }
    CHECK(decodeOrderReply(200, R"({"time_ms":5})").workerClockMs == 5);
    CHECK_FALSE(decodeOrderReply(200, "?").workerClockMs.has_value());
}

TEST_CASE("A configuration is decoded without its malformed queues")
{
    const auto configuration = decodeConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s","slo_ms":1200,)"
        R"("priority":1,"attempts":2,"stretch":2.2,)"
        R"("placement_advisor":{"decide_ms":450.0,"each_ms":6.4,"valid_ms":1500}},{"name":3}],)"
        R"("services":[{"name":"s","spare":true}],"limits":{"body_bytes":1000}})");
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    REQUIRE(configuration->queues.size() == 1);
    CHECK(configuration->ignored == std::vector<std::string> {"queue 2"});
    CHECK(configuration->unreadable.empty());
    const auto &queue = configuration->queues[0];
    CHECK(queue.slack == std::chrono::milliseconds(1200));
    REQUIRE(queue.advisor);
    CHECK(queue.advisor->perWorker == std::chrono::microseconds(6400));
    CHECK(configuration->bodyBytes == 1000);
    CHECK(configuration->find("h", "/p/x") == &queue);
    CHECK(configuration->find("h", "/q/x") == nullptr);
    CHECK(configuration->find("i", "/p/x") == nullptr);
    CHECK_FALSE(decodeConfiguration("{}").has_value());
}

TEST_CASE("The workspaces of a configuration are decoded, with their keys as digests")
{
    const auto configuration = decodeConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s","public":true},)"
        R"({"name":"q","host":"h","prefix":"/q/","service":"s"}],"services":[],"tenants":[)"
        R"({"name":"a","api_keys":["k1","k2"],"priority":1,"weight":54,"new_field":{},)"
        R"("max_count":{"cpu":6405683,"mem_mb":11578325,"gpus":0}},)"
        R"({"name":"b","api_keys":[],"weight":0.5}]})");
    REQUIRE(configuration);
    CHECK(configuration->unreadable.empty());
    CHECK(configuration->queues.at(0).open);
    CHECK_FALSE(configuration->queues.at(1).open);
    REQUIRE(configuration->workspaces.size() == 2);
    CHECK(configuration->workspaces[0]
          == jobs::workspace_definition {"a",
                                         {jobs::digestOfKey("k1"), jobs::digestOfKey("k2")},
                                         54,
                                         {6'405'683, 11'578'325, 0}});
    CHECK(configuration->workspaces[1] == jobs::workspace_definition {"b", {}, 0.5, {}});
    CHECK(configuration->workspace("b") == &configuration->workspaces[1]);
    CHECK(configuration->workspace("c") == nullptr);
}

struct unreadable_row
{
    const char *name;
    std::string tenants;
    std::vector<std::string> unreadable;
    // Workspaces with keys that are known in spite of it.
    std::ptrdiff_t kept;
};

// Guards against a workspace that is dropped without a finding, or whose keys vanish with a wrong
// limit.
TEST_CASE("Workspaces that cannot be read are named")
{
    const std::string sound = R"({"name":"a","api_keys":["k"]})";
    const unreadable_row rows[] = {
        {"no list", R"({"name":"a"})", {"workspaces"}, 0},
        {"no name", "[" + sound + R"(,{"api_keys":["k2"]}])", {"workspace 2"}, 2},
        {"no keys", "[" + sound + R"(,{"name":"b"}])", {"workspace b"}, 1},
        {"a key that is no text",
         "[" + sound + R"(,{"name":"b","api_keys":[5,"k2"]}])",
         {"workspace b"},
         2},
        {"an empty key",
         "[" + sound + R"(,{"name":"b","api_keys":["","k2"]}])",
         {"workspace b"},
         2},
        {"a weight that is no number",
         R"([{"name":"a","api_keys":["k"],"weight":"5"}])",
         {"workspace a"},
         1},
        {"limits that are no object",
         R"([{"name":"a","api_keys":["k"],"max_count":5}])",
         {"workspace a"},
         1},
        {"a limit that is no number",
         R"([{"name":"a","api_keys":["k"],"max_count":{"cpu":"5"}}])",
         {"workspace a"},
         1},
        {"another field", R"([{"name":"a","api_keys":["k"],"colour":5}])", {}, 1},
    };
    for (const auto &row : rows) {
        CAPTURE(std::string(row.name));
        const auto configuration = decodeConfiguration(
            R"({"version":7,"routes":[],"services":[],"tenants":)" + row.tenants + "}");
        REQUIRE(configuration);
        CHECK(configuration->unreadable == row.unreadable);
        const auto kept = std::ranges::count_if(
            configuration->workspaces,
            [](const jobs::workspace_definition &workspace) { return !workspace.keys.empty(); });
        CHECK(kept == row.kept);
    }
}

TEST_CASE("Store rows are decoded, with values that are not base64 left empty")
{
    cell::transaction changes;
    changes.puts.emplace_back(cell::row_key {"t", "k", "p1"}, "value \x01");
    CHECK(encodeTransaction(changes).find(encodeBase64("value \x01")) != std::string::npos);
    for (const char *bytes : {"", "a", "ab", "abc", "abcd"})
        CHECK(decodeBase64(encodeBase64(bytes)) == std::string(bytes));
    const auto page =
        decodeRows(R"({"rows":[{"table":"t","key":"k","value":"bm9kZS0x","api_version":4},)"
                   R"({"table":"t","key":"l","value":"??","api_version":5},{"table":1}],)"
                   R"("has_more":true,"api_version":9})");
    REQUIRE(page);
    CHECK(page->hasMore);
    CHECK(page->revision == 9);
    REQUIRE(page->rows.size() == 2);
    CHECK(page->rows[0].value == "node-1");
    CHECK(page->rows[1].value.empty());
}

TEST_CASE("Decoders survive mutated messages")
{
    std::mt19937 random(11);
    constexpr int rounds = 20'000;
    for (int i = 0; i < rounds; ++i) {
        for (std::string text : {fullJob, fullWorkerEntry, fullReport}) {
            const auto mutations = random() % 4;
            for (unsigned m = 0; m < mutations; ++m)
                text[random() % text.size()] = static_cast<char>(random());
            if (random() % 3 == 0)
                text.resize(random() % text.size());
            decodeSubmission(text);
            decodeWorkerEntry("i-1", text);
            decodeReport(text);
            decodeRows(text);
            decodeAdvice(text);
            decodeConfiguration(text);
        }
    }
    CHECK(decodeSubmission(fullJob).has_value());
}
