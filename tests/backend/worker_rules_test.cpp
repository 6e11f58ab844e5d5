#include "backend/worker_rules.h"

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

TEST_CASE("a worker obeys a start only when every rule allows it")
{
    const std::vector<start_row> rows = {
        {"in time under the highest epoch", startOrder({2, 0}, 7, 2s, 9s), errc::Ok},
        {"under a successor's rank", startOrder({2, 1}, 7, 2s, 9s), errc::Ok},
        {"under a lower generation", startOrder({1, 5}, 7, 2s, 9s), errc::StaleEpoch},
        {"past its latest start", startOrder({2, 0}, 7, 500ms, 9s), errc::DeadlinePassed},
        {"for a former run of the worker", startOrder({2, 0}, 6, 2s, 9s), errc::DeadlinePassed},
        {"with a lease that has lapsed", startOrder({2, 0}, 7, 2s, 1s), errc::DeadlinePassed},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        backend::worker_rules rules(worker, 7);
        rules.step(query_order {worker, {2, 0}}, 100ms);
        const auto answer = rules.step(row.order, 1s);
        CHECK(answer.code == row.expected);
        CHECK(answer.running.size() == (row.expected == errc::Ok ? 1U : 0U));
    }
}

TEST_CASE("a task stops at the lease's end, and a late renewal does not bring it back")
{
    backend::worker_rules rules(worker, 7);
    rules.step(startOrder({2, 0}, 7, 2s, 5s), 1s);
    rules.step(renew_order {worker, {2, 0}, {7, 4s}}, 1s);
    CHECK(rules.leaseEnd() == 5s);
    rules.expire(4999ms);
    CHECK(rules.running().size() == 1);
    const auto answer = rules.step(renew_order {worker, {2, 0}, {7, 9s}}, 5s);
    CHECK(answer.running.empty());
}
