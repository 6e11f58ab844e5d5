#include "backend/order_codec.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using namespace plantaingap::backend;
namespace json = boost::json;

namespace {

constexpr worker_id worker {3};
constexpr epoch authority {7, 1};
const task_id task {job_id {11}, 2, 5};
const worker_timestamp stamp {4, std::chrono::seconds(9)};

struct order_row
{
    std::string name;
    worker_order order;
};

struct malformed_row
{
    std::string name;
    // The member whose value is replaced.
    std::string member;
    json::value replacement;
};

json::value validOrder()
{
    return orderToJson({"rack-1",
                        start_order {worker, authority, task, stamp, stamp},
                        {{1, 2, 3}, "cut", duration(5), true},
                        {task}});
}

} // namespace

TEST_CASE("every type of order survives a JSON round trip")
{
    const std::vector<order_row> rows = {
        {"a query", query_order {worker, authority}},
        {"a renewal", renew_order {worker, authority, stamp}},
        {"a start", start_order {worker, authority, task, stamp, {4, std::chrono::seconds(20)}}},
        {"a stop", stop_order {worker, authority, task}},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        const order_message sent {
            "rack-1", row.order, {{1, 2, 3}, "cut", duration(5), true}, {task}};
        const auto read = orderFromJson(orderToJson(sent));
        REQUIRE(read.has_value());
        CHECK(orderToJson(*read) == orderToJson(sent));
        CHECK(read->order.index() == row.order.index());
    }
}

TEST_CASE("an order with an invalid member is malformed")
{
    const std::vector<malformed_row> rows = {
        {"an unknown order type", "order", "dance"}, {"no epoch", "epoch", nullptr},
        {"a task that is a text", "task", "t"},      {"no payload", "payload", nullptr},
        {"a worker that is a text", "worker", "w"},  {"a list of texts", "acknowledged", {"x"}},
        {"a stamp without boot", "until", {}},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        auto document = validOrder();
        document.as_object()[row.member] = row.replacement;
        CHECK(orderFromJson(document).has_error());
    }
    CHECK(orderFromJson(validOrder()).has_value());
}

TEST_CASE("a reply survives a JSON round trip")
{
    reply_message sent;
    sent.reply = {worker, errc::StaleEpoch, {}, authority, stamp, {task}};
    sent.held = {{1, 2, 3}};
    sent.ended = {{task, decision::task_outcome::Failed}};
    sent.busySlots = 6;
    const auto read = replyFromJson(replyToJson(sent), worker);
    REQUIRE(read.has_value());
    CHECK(replyToJson(*read) == replyToJson(sent));
    CHECK(replyFromJson(json::array {}, worker).has_error());
}
