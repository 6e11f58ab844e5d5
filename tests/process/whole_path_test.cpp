#include "process/child_process.h"
#include "support/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <map>

using namespace plantaingap;
using namespace plantaingap::support;
using test::child_process;
using test::temporary_file;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace {

// Long enough for a loaded machine; no test expects it to pass.
constexpr std::chrono::minutes patience {2};

using headers = std::map<std::string, std::string>;

http_response fetch(const tcp::endpoint &server, http_request request)
{
    asio::io_context context;
    http_client client(context, server, 0);
    http_response response;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            auto outcome = co_await client.fetch(std::move(request), clock::now() + patience);
            if (outcome.has_value())
                response = std::move(*outcome);
        },
        asio::detached);
    context.run();
    return response;
}

http_request call(const std::string &target, const std::string &body, const headers &given)
{
    auto request = makeRequest(http::verb::post, target, body, "text/plain");
    for (const auto &[name, value] : given)
        request.set(name, value);
    return request;
}

std::string addressOf(const child_process &process, const std::string &key)
{
    return formatEndpoint(process.address(key));
}

// Settings of one instance that serves register-search on these workers.
std::string settingsFor(const std::vector<const child_process *> &workers)
{
    json::array list;
    for (const auto *worker : workers) {
        list.push_back({{"name", "worker-" + std::to_string(list.size())},
                        {"address", addressOf(*worker, "workers")},
                        {"service", "register-search"},
                        {"slots", 8},
                        {"connections", 64},
                        {"rack", "rack-1"},
                        {"data_centre", "north-1"},
                        {"region", "tt-north"}});
    }
    const json::object settings = {
        {"name", "entry-1"},        {"region", "tt-north"},
        {"data_centre", "north-1"}, {"caller_listen", "127.0.0.1:0"},
        {"workers", list},          {"services", {{{"name", "register-search"}}}}};
    return "// One instance\n" + json::serialize(settings);
}

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
    const child_process worker("worker-stand-in", {});
    const temporary_file settings(settingsFor({&worker}));
    const child_process entry("plantaingapd", {settings.path()});
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
        const child_process worker("worker-stand-in", {row.option});
        const temporary_file settings(settingsFor({&worker}));
        const child_process entry("plantaingapd", {settings.path()});
        const auto answer =
            fetch(entry.address("callers"),
                  call("/services/register-search/", "body", {{"Plantaingap-Idempotent", "true"}}));
        CHECK(answer.result_int() == row.status);
        CHECK(answer["Plantaingap-Run"] == row.run);
    }
}
