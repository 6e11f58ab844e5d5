#include "platform/list_codec.h"
#include "platform/platform_client.h"
#include "support/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::platform;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

struct commit_row
{
    std::string name;
    http::status status;
    std::string body;
    std::vector<write_outcome> expected;
};

} // namespace

TEST_CASE("a commit's response determines the outcomes of its writes")
{
    using enum write_outcome;
    const std::vector<commit_row> rows = {
        {"both outcomes reported",
         http::status::ok,
         R"({"outcomes":["applied","conflict"]})",
         {Applied, Conflict}},
        {"an unavailable table has applied nothing",
         http::status::service_unavailable,
         "{}",
         {NotSent, NotSent}},
        {"a gateway timeout leaves the outcomes unknown",
         http::status::gateway_timeout,
         "{}",
         {Unknown, Unknown}},
        {"a response with too few outcomes leaves them unknown",
         http::status::ok,
         R"({"outcomes":["applied"]})",
         {Unknown, Unknown}},
        {"a response that is no JSON leaves the outcomes unknown",
         http::status::ok,
         "?",
         {Unknown, Unknown}},
        {"an unrecognized outcome is unknown",
         http::status::ok,
         R"({"outcomes":["applied","perhaps"]})",
         {Applied, Unknown}},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        asio::io_context context;
        support::http_server server(context, {},
                                    [&row](support::http_request, support::http_peer)
                                        -> asio::awaitable<support::http_response> {
                                        co_return support::jsonResponse(row.status, row.body);
                                    });
        REQUIRE(!server.listen({asio::ip::address_v4::loopback(), 0}));
        platform_client client(context, {asio::ip::address_v4::loopback(), server.port()});
        std::vector<write_outcome> outcomes;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                std::vector<table_change> changes = {{"a", 0, "1"}, {"b", 3, "2"}};
                outcomes = co_await client.commit(changes, commit_mode::Independent,
                                                  clock::now() + std::chrono::hours(1));
                context.stop();
            },
            asio::detached);
        context.run();
        CHECK((outcomes == row.expected));
    }
}

TEST_CASE("the list survives a JSON round trip")
{
    platform_list list;
    list.revision = 7;
    list.instances = {{"entry-1", false}, {"entry-2", true}};
    list.workers = {{"w-1",
                     "127.0.0.1:9000",
                     {"north", "north-a", "rack-1"},
                     "search",
                     8,
                     64,
                     {64'000, 131'072, 2},
                     true}};
    const auto read = listFromJson(listToJson(list));
    REQUIRE(read.has_value());
    CHECK(listToJson(*read) == listToJson(list));
    CHECK(listFromJson(boost::json::value("text")).has_error());
}
