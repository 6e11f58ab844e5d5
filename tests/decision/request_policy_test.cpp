#include "decision/request_scheduler.h"

#include <doctest/doctest.h>
#include <functional>
#include <set>
#include <string>

using namespace plantaingap;
using namespace plantaingap::decision;
using namespace std::chrono_literals;

namespace {

constexpr service_id search {1};
constexpr caller_id honest {1};
constexpr caller_id liar {2};
constexpr kind_id lookup {1};

// A scheduler with a clock and the actions so far.
struct bench
{
    explicit bench(const request_limits &limits = {})
        : scheduler(limits)
    { }

    void addWorkers(std::uint32_t count, std::uint32_t slots, std::uint32_t perRack = 8)
    {
        for (std::uint32_t id = 0; id < count; ++id)
            step(worker_added {worker_id {id}, search, rack_id {id / perRack}, slots, 0});
    }

    std::uint64_t arrive(work_class declared, caller_id caller = honest, kind_id kind = lookup,
                         duration patience = 10min)
    {
        const auto id = ++last;
        step(request_arrived {request_id {id}, search, kind, declared, true, now + patience,
                              caller});
        return id;
    }

    void end(std::uint64_t id, send_outcome outcome = send_outcome::Completed)
    {
        step(request_ended {request_id {id}, outcome});
    }

    void step(const request_event &event) { scheduler.step(event, now, actions); }

    void pass(duration time)
    {
        const auto until = now + time;
        for (auto next = scheduler.nextDeadline(); next && *next <= until;
             next = scheduler.nextDeadline()) {
            now = std::max(now, *next);
            scheduler.expire(now, actions);
        }
        now = until;
    }

    std::optional<worker_id> workerOf(std::uint64_t id) const
    {
        std::optional<worker_id> worker;
        for (const auto &action : actions) {
            const auto *sent = std::get_if<send_request>(&action);
            if (sent && sent->request == request_id {id})
                worker = sent->worker;
        }
        return worker;
    }

    const refuse_request *refusalOf(std::uint64_t id) const
    {
        for (const auto &action : actions) {
            const auto *refused = std::get_if<refuse_request>(&action);
            if (refused && refused->request == request_id {id})
                return refused;
        }
        return nullptr;
    }

    // Sends one request and ends it with a failure if its worker is the given one.
    void serve(worker_id failing, kind_id kind)
    {
        const auto id = arrive(work_class::Quick, caller_id {}, kind);
        const bool failed = workerOf(id) == failing;
        end(id, failed ? send_outcome::WorkerFailed : send_outcome::Completed);
        pass(1ms);
    }

    request_scheduler scheduler;
    std::vector<request_action> actions;
    time_point now {1h};
    std::uint64_t last = 0;
};

struct refusal_row
{
    std::string name;
    std::vector<send_outcome> outcomes;
    errc code;
};

struct history_row
{
    std::string name;
    std::function<void(bench &)> play;
    std::function<bool(bench &)> holds;
};

} // namespace

TEST_CASE("a refusal says not run only when no send may have run")
{
    const std::vector<refusal_row> rows = {
        {"never run on two workers", {send_outcome::NotRun, send_outcome::NotRun}, errc::NoWorker},
        {"the first may have run",
         {send_outcome::Unknown, send_outcome::NotRun},
         errc::OutcomeUnknown},
        {"the second may have run",
         {send_outcome::NotRun, send_outcome::Unknown},
         errc::OutcomeUnknown},
        {"sent once and then late", {send_outcome::Unknown}, errc::OutcomeUnknown},
        {"refused once and then late", {send_outcome::NotRun}, errc::DeadlinePassed},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        bench cell;
        cell.addWorkers(2, 1);
        const auto id = cell.arrive(work_class::Quick);
        for (const auto outcome : row.outcomes) {
            // Nothing else is free, so that a repeated send has to wait.
            if (row.outcomes.size() == 1) {
                cell.step(worker_leaving {worker_id {0}});
                cell.step(worker_leaving {worker_id {1}});
            }
            cell.end(id, outcome);
        }
        cell.pass(11min);
        REQUIRE(cell.refusalOf(id));
        CHECK(cell.refusalOf(id)->code == row.code);
    }
}

TEST_CASE("the scheduler keeps its promises after a history")
{
    const std::vector<history_row> rows = {
        {"long work leaves room for quick work that has not come",
         [](bench &cell) {
             cell.addWorkers(4, 8);
             for (int each = 0; each < 40; ++each)
                 cell.arrive(work_class::Long, honest, kind_id {2});
         },
         [](bench &cell) { return cell.workerOf(cell.arrive(work_class::Quick)).has_value(); }},
        {"long work gets its share under a flood of quick work",
         [](bench &cell) {
             cell.addWorkers(1, 8);
             for (int each = 0; each < 20; ++each)
                 cell.arrive(work_class::Quick, caller_id {});
             cell.arrive(work_class::Long, honest, kind_id {2});
             cell.end(1);
         },
         [](bench &cell) { return cell.workerOf(21).has_value(); }},
        {"on one slot, long work goes first after its patience",
         [](bench &cell) {
             cell.addWorkers(1, 1);
             cell.arrive(work_class::Quick, caller_id {});
             cell.arrive(work_class::Long, honest, kind_id {2});
             cell.pass(30s);
             cell.arrive(work_class::Quick, caller_id {});
             cell.end(1);
         },
         [](bench &cell) { return cell.workerOf(2) && !cell.workerOf(3); }},
        {"a caller that calls long work quick is told by what runs over",
         [](bench &cell) {
             cell.addWorkers(4, 8);
             for (int each = 0; each < 4; ++each)
                 cell.arrive(work_class::Quick, liar, kind_id {9});
             cell.pass(3s);
             for (int each = 0; each < 100; ++each)
                 cell.arrive(work_class::Quick, liar, kind_id {9});
         },
         [](bench &cell) {
             return cell.scheduler.waiting(search, work_class::Quick) == 0
                    && cell.scheduler.waiting(search, work_class::Long) > 0
                    && cell.workerOf(cell.arrive(work_class::Quick)).has_value();
         }},
        {"an unproven caller does not fill the room of quick work that was seen",
         [](bench &cell) {
             cell.addWorkers(4, 8);
             for (int each = 0; each < 8; ++each)
                 cell.arrive(work_class::Quick, caller_id {});
             cell.pass(100ms);
             for (std::uint64_t id = 1; id <= 8; ++id)
                 cell.end(id);
             for (int each = 0; each < 100; ++each)
                 cell.arrive(work_class::Quick, liar, kind_id {9});
         },
         [](bench &cell) { return cell.workerOf(cell.arrive(work_class::Quick)).has_value(); }},
        {"a liar does not change the class of another caller's requests",
         [](bench &cell) {
             cell.addWorkers(4, 8);
             for (int each = 0; each < 20; ++each) {
                 const auto id = cell.arrive(work_class::Quick);
                 cell.pass(10ms);
                 cell.end(id);
             }
             for (int each = 0; each < 40; ++each) {
                 const auto id = cell.arrive(work_class::Quick, liar);
                 cell.pass(5s);
                 cell.end(id);
             }
             for (int each = 0; each < 60; ++each)
                 cell.arrive(work_class::Long, honest, kind_id {2});
         },
         [](bench &cell) { return cell.workerOf(cell.arrive(work_class::Quick)).has_value(); }},
        {"a cancelled request is not sent again",
         [](bench &cell) {
             cell.addWorkers(2, 1);
             cell.arrive(work_class::Quick);
             cell.step(request_cancelled {request_id {1}});
             cell.end(1, send_outcome::NotRun);
         },
         [](bench &cell) { return cell.actions.size() == 1 && cell.scheduler.running() == 0; }},
        {"a request that cannot be sent in time is refused at once with a later hint",
         [](bench &cell) {
             cell.addWorkers(1, 1);
             for (int each = 0; each < 12; ++each)
                 cell.arrive(work_class::Quick, caller_id {});
             for (std::uint64_t id = 1; id <= 6; ++id) {
                 cell.pass(200ms);
                 cell.end(id);
             }
             cell.arrive(work_class::Quick, caller_id {}, lookup, 300ms);
         },
         [](bench &cell) {
             const auto *refused = cell.refusalOf(13);
             return refused && refused->code == errc::Overloaded
                    && refused->retryAt > cell.now + 300ms;
         }},
        {"a slot of an earlier stay is not freed twice",
         [](bench &cell) {
             cell.addWorkers(1, 1);
             cell.arrive(work_class::Quick);
             cell.step(worker_removed {worker_id {0}});
             cell.step(worker_added {worker_id {0}, search, rack_id {0}, 1, 1});
             cell.end(1);
         },
         [](bench &cell) { return cell.scheduler.freeSlots(search) == 0; }},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        bench cell;
        row.play(cell);
        CHECK(row.holds(cell));
    }
}

TEST_CASE("requests are spread over racks and workers")
{
    bench cell;
    cell.addWorkers(6, 2, 2);
    std::set<std::uint32_t> racks;
    std::set<worker_id> workers;
    for (int each = 0; each < 3; ++each)
        racks.insert(number(*cell.workerOf(cell.arrive(work_class::Quick, caller_id {}))) / 2);
    for (std::uint64_t id = 1; id <= 3; ++id)
        workers.insert(*cell.workerOf(id));
    for (int each = 0; each < 3; ++each)
        workers.insert(*cell.workerOf(cell.arrive(work_class::Quick, caller_id {})));
    CHECK(racks.size() == 3);
    CHECK(workers.size() == 6);
}

TEST_CASE("a worker that fails everything is quarantined, probed and returned")
{
    bench cell;
    cell.addWorkers(8, 2);
    constexpr worker_id broken {3};
    for (int each = 0; each < 60; ++each)
        cell.serve(broken, kind_id {static_cast<std::uint32_t>(each % 3)});
    CHECK(cell.scheduler.quarantined(search) == 1);
    cell.pass(2s);
    cell.serve(broken, lookup);
    CHECK(cell.scheduler.quarantined(search) == 1);
    cell.pass(5s);
    for (int each = 0; each < 3; ++each)
        cell.serve(worker_id {99}, lookup);
    CHECK(cell.scheduler.quarantined(search) == 0);
}

TEST_CASE("a quarantined worker that leaves or is full keeps no other from its probe")
{
    for (const bool leaves : {true, false}) {
        CAPTURE(leaves);
        bench cell;
        cell.addWorkers(8, 2);
        for (int each = 0; each < 60; ++each)
            cell.serve(worker_id {3}, lookup);
        cell.pass(10ms);
        for (int each = 0; each < 60; ++each)
            cell.serve(worker_id {4}, lookup);
        REQUIRE(cell.scheduler.quarantined(search) == 2);
        if (leaves)
            cell.step(worker_leaving {worker_id {3}});
        else
            cell.step(worker_slots_confirmed {worker_id {3}, 2});
        cell.pass(5s);
        for (int each = 0; each < 3; ++each)
            cell.serve(worker_id {99}, lookup);
        CHECK(cell.scheduler.quarantined(search) == (leaves ? 0 : 1));
    }
}

TEST_CASE("a kind that fails on every worker is not blamed on the workers")
{
    bench cell;
    cell.addWorkers(8, 2);
    for (int each = 0; each < 300; ++each) {
        cell.end(cell.arrive(work_class::Quick, honest, kind_id {7}), send_outcome::WorkerFailed);
        cell.end(cell.arrive(work_class::Quick, honest, lookup));
    }
    CHECK(cell.scheduler.quarantined(search) == 0);
}

TEST_CASE("repeated sends stay within their budget")
{
    request_limits limits;
    limits.retryBurst = 5;
    bench cell(limits);
    cell.addWorkers(4, 8);
    for (int each = 0; each < 20; ++each)
        cell.arrive(work_class::Quick, caller_id {});
    for (std::uint64_t id = 1; id <= 20; ++id)
        cell.end(id, send_outcome::NotRun);
    // Five at once; the arrivals came when the budget was full.
    CHECK(cell.scheduler.running() == 5);
}

TEST_CASE("a step takes a bounded number of actions and goes on in expire")
{
    request_limits limits;
    limits.maxActionsPerStep = 10;
    bench cell(limits);
    for (int each = 0; each < 100; ++each)
        cell.arrive(work_class::Quick, caller_id {});
    cell.addWorkers(1, 64);
    CHECK(cell.actions.size() == 10);
    cell.pass(0ms);
    CHECK(cell.actions.size() == 64);
}
