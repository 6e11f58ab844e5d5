#include "backend/worker_order_handler.h"

#include <doctest/doctest.h>

using namespace plantaingap;
using namespace std::chrono_literals;

namespace {

constexpr worker_id worker {1};
constexpr task_id task {job_id {1}, 0, 1};

start_order startOrder(epoch authority, std::uint64_t boot, duration latest, duration until)
{
    return {worker, authority, task, {boot, latest}, {boot, until}};
}

struct start_row
{
    std::string name;
    start_order order;
    errc expected;
};

} // namespace

TEST_CASE("a worker executes a start only if every rule allows it")
{
    const std::vector<start_row> rows = {
        {"in time under the highest epoch", startOrder({2, 0}, 7, 2s, 9s), errc::Ok},
        {"under a successor's rank", startOrder({2, 1}, 7, 2s, 9s), errc::Ok},
        {"under a lower generation", startOrder({1, 5}, 7, 2s, 9s), errc::StaleEpoch},
        {"after its latest start", startOrder({2, 0}, 7, 500ms, 9s), errc::DeadlinePassed},
        {"for an earlier run of the worker", startOrder({2, 0}, 6, 2s, 9s), errc::DeadlinePassed},
        {"with a lease that has lapsed", startOrder({2, 0}, 7, 2s, 1s), errc::DeadlinePassed},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        backend::worker_order_handler handler(worker, 7);
        handler.step(query_order {worker, {2, 0}}, 100ms);
        const auto reply = handler.step(row.order, 1s);
        CHECK(reply.code == row.expected);
        CHECK(reply.running.size() == (row.expected == errc::Ok ? 1U : 0U));
    }
}

TEST_CASE("a task stops when its lease expires, and a late renewal does not restart it")
{
    backend::worker_order_handler handler(worker, 7);
    handler.step(startOrder({2, 0}, 7, 2s, 5s), 1s);
    handler.step(renew_order {worker, {2, 0}, {7, 4s}}, 1s);
    CHECK(handler.leaseEnd() == 5s);
    handler.expire(4999ms);
    CHECK(handler.running().size() == 1);
    const auto reply = handler.step(renew_order {worker, {2, 0}, {7, 9s}}, 5s);
    CHECK(reply.running.empty());
}
