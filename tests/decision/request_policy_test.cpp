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
constexpr caller_id accurate {1};
constexpr caller_id understating {2};
constexpr kind_id lookup {1};

// A scheduler with a clock and the actions returned so far.
struct scheduler_fixture
{
    explicit scheduler_fixture(const request_limits &limits = {})
        : scheduler(limits)
    { }

    void addWorkers(std::uint32_t count, std::uint32_t slots, std::uint32_t perRack = 8)
    {
        for (std::uint32_t id = 0; id < count; ++id)
            step(worker_added {worker_id {id}, search, rack_id {id / perRack}, slots, 0});
    }

    std::uint64_t arrive(work_class declared, caller_id caller = accurate, kind_id kind = lookup,
                         duration timeout = 10min)
    {
        const auto id = ++lastId;
        step(
            request_arrived {request_id {id}, search, kind, declared, true, now + timeout, caller});
        return id;
    }

    void end(std::uint64_t id, send_outcome outcome = send_outcome::Completed)
    {
        step(request_ended {request_id {id}, outcome});
    }

    void step(const request_event &event) { scheduler.step(event, now, actions); }

    void advance(duration time)
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

    // Sends one request and ends it, with a failure if it was sent to the given worker.
    void sendOne(worker_id failing, kind_id kind)
    {
        const auto id = arrive(work_class::Quick, caller_id {}, kind);
        const bool failed = workerOf(id) == failing;
        end(id, failed ? send_outcome::WorkerFailed : send_outcome::Completed);
        advance(1ms);
    }

    request_scheduler scheduler;
    std::vector<request_action> actions;
    time_point now {1h};
    std::uint64_t lastId = 0;
};

struct refusal_case
{
    std::string name;
    std::vector<send_outcome> outcomes;
    errc code;
};

struct scenario
{
    std::string name;
    std::function<void(scheduler_fixture &)> run;
    std::function<bool(scheduler_fixture &)> holds;
};

} // namespace

TEST_CASE("a refusal says not run only if no worker may have run the request")
{
    const std::vector<refusal_case> rows = {
        {"not run on either of two workers",
         {send_outcome::NotRun, send_outcome::NotRun},
         errc::NoWorker},
        {"the first may have run",
         {send_outcome::Unknown, send_outcome::NotRun},
         errc::OutcomeUnknown},
        {"the second may have run",
         {send_outcome::NotRun, send_outcome::Unknown},
         errc::OutcomeUnknown},
        {"may have run and then missed its deadline",
         {send_outcome::Unknown},
         errc::OutcomeUnknown},
        {"not run and then missed its deadline", {send_outcome::NotRun}, errc::DeadlinePassed},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        scheduler_fixture fixture;
        fixture.addWorkers(2, 1);
        const auto id = fixture.arrive(work_class::Quick);
        for (const auto outcome : row.outcomes) {
            // No slot is free, so that the resend has to wait.
            if (row.outcomes.size() == 1) {
                fixture.step(worker_leaving {worker_id {0}});
                fixture.step(worker_leaving {worker_id {1}});
            }
            fixture.end(id, outcome);
        }
        fixture.advance(11min);
        REQUIRE(fixture.refusalOf(id));
        CHECK(fixture.refusalOf(id)->code == row.code);
    }
}

// Guards against a request that crashes server after server.
TEST_CASE("a request under which connections to backend servers break is sent to two at most")
{
    scheduler_fixture fixture;
    fixture.addWorkers(8, 1);
    const auto id = fixture.arrive(work_class::Quick);
    int sends = 0;
    while (!fixture.refusalOf(id) && sends < 8) {
        const auto server = fixture.workerOf(id);
        REQUIRE(server);
        ++sends;
        fixture.step(worker_removed {*server});
        fixture.end(id, send_outcome::Unknown);
    }
    CHECK(sends == 2);
    REQUIRE(fixture.refusalOf(id));
    CHECK(fixture.refusalOf(id)->code == errc::OutcomeUnknown);
}

TEST_CASE("scheduling guarantees hold in these scenarios")
{
    const std::vector<scenario> rows = {
        {"long requests leave slots for quick requests that have not arrived",
         [](scheduler_fixture &fixture) {
             fixture.addWorkers(4, 8);
             for (int i = 0; i < 40; ++i)
                 fixture.arrive(work_class::Long, accurate, kind_id {2});
         },
         [](scheduler_fixture &fixture) {
             return fixture.workerOf(fixture.arrive(work_class::Quick)).has_value();
         }},
        {"long requests get their guaranteed slots during an overload of quick requests",
         [](scheduler_fixture &fixture) {
             fixture.addWorkers(1, 8);
             for (int i = 0; i < 20; ++i)
                 fixture.arrive(work_class::Quick, caller_id {});
             fixture.arrive(work_class::Long, accurate, kind_id {2});
             fixture.end(1);
         },
         [](scheduler_fixture &fixture) { return fixture.workerOf(21).has_value(); }},
        {"on a single slot, a long request goes first after the maximum wait",
         [](scheduler_fixture &fixture) {
             fixture.addWorkers(1, 1);
             fixture.arrive(work_class::Quick, caller_id {});
             fixture.arrive(work_class::Long, accurate, kind_id {2});
             fixture.advance(30s);
             fixture.arrive(work_class::Quick, caller_id {});
             fixture.end(1);
         },
         [](scheduler_fixture &fixture) { return fixture.workerOf(2) && !fixture.workerOf(3); }},
        {"a caller that declares long requests as quick is detected by their run time",
         [](scheduler_fixture &fixture) {
             fixture.addWorkers(4, 8);
             for (int i = 0; i < 4; ++i)
                 fixture.arrive(work_class::Quick, understating, kind_id {9});
             fixture.advance(3s);
             for (int i = 0; i < 100; ++i)
                 fixture.arrive(work_class::Quick, understating, kind_id {9});
         },
         [](scheduler_fixture &fixture) {
             return fixture.scheduler.waiting(search, work_class::Quick) == 0
                    && fixture.scheduler.waiting(search, work_class::Long) > 0
                    && fixture.workerOf(fixture.arrive(work_class::Quick)).has_value();
         }},
        {"an unknown caller does not fill the slots reserved for observed quick requests",
         [](scheduler_fixture &fixture) {
             fixture.addWorkers(4, 8);
             for (int i = 0; i < 8; ++i)
                 fixture.arrive(work_class::Quick, caller_id {});
             fixture.advance(100ms);
             for (std::uint64_t id = 1; id <= 8; ++id)
                 fixture.end(id);
             for (int i = 0; i < 100; ++i)
                 fixture.arrive(work_class::Quick, understating, kind_id {9});
         },
         [](scheduler_fixture &fixture) {
             return fixture.workerOf(fixture.arrive(work_class::Quick)).has_value();
         }},
        {"a caller that understates does not change the class of other callers' requests",
         [](scheduler_fixture &fixture) {
             fixture.addWorkers(4, 8);
             for (int i = 0; i < 20; ++i) {
                 const auto id = fixture.arrive(work_class::Quick);
                 fixture.advance(10ms);
                 fixture.end(id);
             }
             for (int i = 0; i < 40; ++i) {
                 const auto id = fixture.arrive(work_class::Quick, understating);
                 fixture.advance(5s);
                 fixture.end(id);
             }
             for (int i = 0; i < 60; ++i)
                 fixture.arrive(work_class::Long, accurate, kind_id {2});
         },
         [](scheduler_fixture &fixture) {
             return fixture.workerOf(fixture.arrive(work_class::Quick)).has_value();
         }},
        {"a cancelled request is not resent",
         [](scheduler_fixture &fixture) {
             fixture.addWorkers(2, 1);
             fixture.arrive(work_class::Quick);
             fixture.step(request_cancelled {request_id {1}});
             fixture.end(1, send_outcome::NotRun);
         },
         [](scheduler_fixture &fixture) {
             return fixture.actions.size() == 1 && fixture.scheduler.running() == 0;
         }},
        {"a request that would miss its deadline is refused on arrival with a later retry time",
         [](scheduler_fixture &fixture) {
             fixture.addWorkers(1, 1);
             for (int i = 0; i < 12; ++i)
                 fixture.arrive(work_class::Quick, caller_id {});
             for (std::uint64_t id = 1; id <= 6; ++id) {
                 fixture.advance(200ms);
                 fixture.end(id);
             }
             fixture.arrive(work_class::Quick, caller_id {}, lookup, 300ms);
         },
         [](scheduler_fixture &fixture) {
             const auto *refused = fixture.refusalOf(13);
             return refused && refused->code == errc::Overloaded
                    && refused->retryAt > fixture.now + 300ms;
         }},
        {"a slot of an earlier worker registration is not freed twice",
         [](scheduler_fixture &fixture) {
             fixture.addWorkers(1, 1);
             fixture.arrive(work_class::Quick);
             fixture.step(worker_removed {worker_id {0}});
             fixture.step(worker_added {worker_id {0}, search, rack_id {0}, 1, 1});
             fixture.end(1);
         },
         [](scheduler_fixture &fixture) { return fixture.scheduler.freeSlots(search) == 0; }},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        scheduler_fixture fixture;
        row.run(fixture);
        CHECK(row.holds(fixture));
    }
}

TEST_CASE("requests are spread over racks and workers")
{
    scheduler_fixture fixture;
    fixture.addWorkers(6, 2, 2);
    std::set<std::uint32_t> racks;
    std::set<worker_id> workers;
    for (int i = 0; i < 3; ++i)
        racks.insert(number(*fixture.workerOf(fixture.arrive(work_class::Quick, caller_id {})))
                     / 2);
    for (std::uint64_t id = 1; id <= 3; ++id)
        workers.insert(*fixture.workerOf(id));
    for (int i = 0; i < 3; ++i)
        workers.insert(*fixture.workerOf(fixture.arrive(work_class::Quick, caller_id {})));
    CHECK(racks.size() == 3);
    CHECK(workers.size() == 6);
}

TEST_CASE("a worker that fails everything is quarantined, probed and returned")
{
    scheduler_fixture fixture;
    fixture.addWorkers(8, 2);
    constexpr worker_id broken {3};
    for (int i = 0; i < 60; ++i)
        fixture.sendOne(broken, kind_id {static_cast<std::uint32_t>(i % 3)});
    CHECK(fixture.scheduler.quarantined(search) == 1);
    fixture.advance(2s);
    fixture.sendOne(broken, lookup);
    CHECK(fixture.scheduler.quarantined(search) == 1);
    fixture.advance(5s);
    for (int i = 0; i < 3; ++i)
        fixture.sendOne(worker_id {99}, lookup);
    CHECK(fixture.scheduler.quarantined(search) == 0);
}

TEST_CASE("a quarantined worker that leaves or is full does not block the probes of others")
{
    for (const bool leaves : {true, false}) {
        CAPTURE(leaves);
        scheduler_fixture fixture;
        fixture.addWorkers(8, 2);
        for (int i = 0; i < 60; ++i)
            fixture.sendOne(worker_id {3}, lookup);
        fixture.advance(10ms);
        for (int i = 0; i < 60; ++i)
            fixture.sendOne(worker_id {4}, lookup);
        REQUIRE(fixture.scheduler.quarantined(search) == 2);
        if (leaves)
            fixture.step(worker_leaving {worker_id {3}});
        else
            fixture.step(worker_slots_confirmed {worker_id {3}, 2});
        fixture.advance(5s);
        for (int i = 0; i < 3; ++i)
            fixture.sendOne(worker_id {99}, lookup);
        CHECK(fixture.scheduler.quarantined(search) == (leaves ? 0 : 1));
    }
}

TEST_CASE("a kind that fails on every worker quarantines no worker")
{
    scheduler_fixture fixture;
    fixture.addWorkers(8, 2);
    for (int i = 0; i < 300; ++i) {
        fixture.end(fixture.arrive(work_class::Quick, accurate, kind_id {7}),
                    send_outcome::WorkerFailed);
        fixture.end(fixture.arrive(work_class::Quick, accurate, lookup));
    }
    CHECK(fixture.scheduler.quarantined(search) == 0);
}

TEST_CASE("resends stay within the retry budget")
{
    request_limits limits;
    limits.retryBurst = 5;
    scheduler_fixture fixture(limits);
    fixture.addWorkers(4, 8);
    for (int i = 0; i < 20; ++i)
        fixture.arrive(work_class::Quick, caller_id {});
    for (std::uint64_t id = 1; id <= 20; ++id)
        fixture.end(id, send_outcome::NotRun);
    // Only the burst of five: the budget was already full when the requests arrived.
    CHECK(fixture.scheduler.running() == 5);
}

TEST_CASE("a step returns a bounded number of actions and expire continues")
{
    request_limits limits;
    limits.maxActionsPerStep = 10;
    scheduler_fixture fixture(limits);
    for (int i = 0; i < 100; ++i)
        fixture.arrive(work_class::Quick, caller_id {});
    fixture.addWorkers(1, 64);
    CHECK(fixture.actions.size() == 10);
    fixture.advance(0ms);
    CHECK(fixture.actions.size() == 64);
}
