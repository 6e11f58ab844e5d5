#include "decision/request_scheduler.h"

#include <doctest/doctest.h>
#include <string>

using namespace plantaingap;
using namespace plantaingap::decision;

namespace {

constexpr service_id search {1};
constexpr worker_id worker {1};
constexpr time_point start {};

request_arrived arrival(std::uint64_t id, work_class declared, bool idempotent = true)
{
    return {request_id {id}, search,     kind_id {1},
            declared,        idempotent, start + std::chrono::seconds(10)};
}

struct outcome_case
{
    std::string name;
    bool idempotent;
    send_outcome outcome;
    // Expected number of sends and refusal code; Ok for no refusal.
    std::size_t sends;
    errc refusal;
};

} // namespace

TEST_CASE("the outcome of a send decides whether the request is resent")
{
    const std::vector<outcome_case> rows = {
        {"a response completes the request", true, send_outcome::Completed, 1, errc::Ok},
        {"not run is resent", false, send_outcome::NotRun, 2, errc::Ok},
        {"unknown and idempotent is resent", true, send_outcome::Unknown, 2, errc::Ok},
        {"unknown and not idempotent is reported as unknown", false, send_outcome::Unknown, 1,
         errc::OutcomeUnknown},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        request_scheduler scheduler({});
        std::vector<request_action> actions;
        scheduler.step(worker_added {worker, search, rack_id {1}, 1, 0}, start, actions);
        scheduler.step(arrival(1, work_class::Quick, row.idempotent), start, actions);
        scheduler.step(request_ended {request_id {1}, row.outcome}, start, actions);
        std::size_t sends = 0;
        errc refusal = errc::Ok;
        for (const auto &action : actions) {
            if (const auto *refused = std::get_if<refuse_request>(&action))
                refusal = refused->code;
            else
                ++sends;
        }
        CHECK(sends == row.sends);
        CHECK(refusal == row.refusal);
    }
}

TEST_CASE("quick requests are sent before long requests that arrived earlier")
{
    request_scheduler scheduler({});
    std::vector<request_action> actions;
    scheduler.step(worker_added {worker, search, rack_id {1}, 1, 0}, start, actions);
    scheduler.step(arrival(1, work_class::Long), start, actions);
    scheduler.step(arrival(2, work_class::Long), start, actions);
    scheduler.step(arrival(3, work_class::Quick), start, actions);
    actions.clear();
    scheduler.step(request_ended {request_id {1}, send_outcome::Completed}, start, actions);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<send_request>(actions[0]).request == request_id {3});
}
