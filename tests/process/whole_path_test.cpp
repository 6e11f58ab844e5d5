#include "process/test_cluster.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::test;
namespace json = boost::json;

namespace {

struct call_row
{
    std::string name;
    std::string target;
    headers given;
    unsigned status;
    // Of the refusal; empty for an answer.
    std::string code;
    std::string run;
};

struct fault_row
{
    std::string name;
    std::string option;
    unsigned status;
    std::string run;
};

} // namespace

TEST_CASE("a caller's request is answered whole, or refused with a reason")
{
    test_cluster cluster(1, 1, {});
    cluster.awaitService(0);
    const auto &entry = cluster.entry(0);
    const headers idempotent = {{"Plantaingap-Idempotent", "true"}};
    const std::vector<call_row> rows = {
        {"an idempotent request", "/services/register-search/setts?clan=x", idempotent, 200, "",
         "yes"},
        {"an unknown service", "/services/no-such/", idempotent, 404, "no_such_service", "no"},
        {"another path", "/elsewhere", {}, 404, "not_found", "no"},
        {"not idempotent and no key", "/services/register-search/", {}, 400, "malformed", "no"},
        {"an unknown class",
         "/services/register-search/",
         {{"Plantaingap-Idempotent", "true"}, {"Plantaingap-Class", "soon"}},
         400,
         "malformed",
         "no"},
        {"no time left",
         "/services/register-search/",
         {{"Plantaingap-Idempotent", "true"}, {"Plantaingap-Deadline-Ms", "0"}},
         504,
         "deadline_passed",
         "no"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        const auto answer =
            fetch(entry.address("callers"), call(row.target, "sett of " + row.name, row.given));
        CHECK(answer.result_int() == row.status);
        CHECK(answer["Plantaingap-Run"] == row.run);
        if (row.code.empty()) {
            CHECK(answer.body() == "sett of " + row.name);
        } else {
            const auto refusal = json::parse(answer.body());
            CHECK(std::string(refusal.at("code").as_string().c_str()) == row.code);
            CHECK(std::string(refusal.at("run").as_string().c_str()) == row.run);
            CHECK(refusal.as_object().contains("retry_after_ms"));
        }
    }
}

TEST_CASE("what a faulty worker sends is never passed on as an answer")
{
    const std::vector<fault_row> rows = {
        {"a truncated answer", "--truncate-every=1", 504, "unknown"},
        {"an answer to another request", "--cross-every=1", 504, "unknown"},
        {"a failure of the worker's own", "--fail-every=1", 500, "yes"},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        test_cluster cluster(1, 1, {row.option});
        const auto answer = cluster.askUntilRun(
            0, call("/services/register-search/", "body", {{"Plantaingap-Idempotent", "true"}}));
        CHECK(answer.result_int() == row.status);
        CHECK(answer["Plantaingap-Run"] == row.run);
    }
}
